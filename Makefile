# One binary, mimosapitch, and one cmocka test program per module.
PKGS := glib-2.0 json-glib-1.0 libmicrohttpd libcurl popt ck msgpack
CC ?= cc
CFLAGS ?= -O2 -g
CFLAGS += -MMD -MP -std=gnu11 -Wall -Wextra -Werror -Wno-unused-parameter -I. \
	  $(shell pkg-config --cflags $(PKGS))
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lpthread -lm

LIB_SRC := misc/arena.c misc/hist.c misc/findings.c misc/http.c misc/httpd.c common/event.c common/signals.c \
	   options/settings.c options/deploy.c options/default_ini.c \
	   conf/fold.c conf/reader.c route/policy.c platform/client.c backend/client.c \
	   entry/core.c entry/dedup.c entry/run.c caller/front.c stand/platform.c stand/worker.c \
	   tools/ctl.c tools/load.c
LIB_OBJ := $(LIB_SRC:.c=.o)
TESTS := tests/test_arena tests/test_hist tests/test_settings \
	 tests/test_fold tests/test_policy tests/test_dedup

all: mimosapitch

deps:
	@pkg-config --exists $(PKGS) cmocka || scripts/install-deps.sh

mimosapitch: app/main.o libmp.a
	$(CC) $(CFLAGS) -o $@ $^ $(LDLIBS)

libmp.a: $(LIB_OBJ)
	ar rcs $@ $^

tests/test_%: tests/test_%.c libmp.a
	$(CC) $(CFLAGS) -o $@ $< libmp.a $(LDLIBS) -lcmocka

# The README's two commands. Each first installs what a fresh machine
# lacks, then builds in a second make, which reads pkg-config anew.
check: deps
	$(MAKE) mimosapitch $(TESTS)
	scripts/run-tests.sh $(TESTS)

run: deps
	$(MAKE) mimosapitch
	scripts/run-local.sh

clean:
	rm -f mimosapitch libmp.a $(LIB_OBJ) app/main.o $(TESTS) \
	      $(LIB_OBJ:.o=.d) app/main.d tests/*.d

.PHONY: all deps check run clean

-include $(LIB_OBJ:.o=.d) app/main.d
