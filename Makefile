# One binary, mimosapitch, and one cmocka test program per module.
PKGS := glib-2.0 json-glib-1.0 libmicrohttpd libcurl popt ck msgpack
CC ?= cc
CFLAGS ?= -O2 -g
CFLAGS += -MMD -MP -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror -Wno-unused-parameter -I. \
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

# The program as it runs on the users' machines: entry instances only, with
# the few libraries these need (see docs/PLATFORM-DESIGN.md).
INSTANCE_SRC := misc/arena.c misc/buf.c misc/hist.c misc/findings.c misc/mailbox.c \
	common/event.c options/settings.c options/instance.c \
	http/head.c http/message.c http/socket.c http/server.c http/client.c \
	core/config.c core/backend.c core/budget.c core/outlier.c core/place.c \
	core/hedge.c core/ask_budget.c core/retry_after.c member/peers.c member/gossip.c \
	platform/codec.c platform/records.c platform/store.c platform/exchange.c \
	platform/directory.c control/backend_list.c \
	control/backend_watch.c control/config_watch.c control/member_record.c \
	control/control.c traffic/upstream.c traffic/traffic.c traffic/metrics.c \
	traffic/request.c traffic/request_place.c traffic/request_send.c
INSTANCE_OBJ := $(INSTANCE_SRC:%.c=target/obj/%.o)
INSTANCE_PKGS := glib-2.0 popt ck msgpack
INSTANCE_CFLAGS = -O2 -g -MMD -MP -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror \
	-Wno-unused-parameter -I. $(shell pkg-config --cflags $(INSTANCE_PKGS))
INSTANCE_LIBS = $(shell pkg-config --libs $(INSTANCE_PKGS)) -lev -lhttp_parser \
	-lpthread -lm

target/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(INSTANCE_CFLAGS) -c -o $@ $<

target/libinstance.a: $(INSTANCE_OBJ)
	ar rcs $@ $^

target/mimosapitch: target/obj/app/instance.o target/libinstance.a
	$(CC) -o $@ $^ $(INSTANCE_LIBS)

-include $(INSTANCE_OBJ:.o=.d) target/obj/app/instance.d

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
	rm -rf target
	rm -f mimosapitch libmp.a $(LIB_OBJ) app/main.o $(TESTS) \
	      $(LIB_OBJ:.o=.d) app/main.d tests/*.d

.PHONY: all deps check run clean

-include $(LIB_OBJ:.o=.d) app/main.d
