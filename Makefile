# One binary, mimosapitch, and one cmocka test program a module. All that is
# built stands under target/.
PKGS := glib-2.0 popt ck msgpack zlib
CC ?= cc
CFLAGS ?= -O2 -g
ALL_CFLAGS = $(CFLAGS) -MMD -MP -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Werror \
	     -Wno-unused-parameter -I. $(shell pkg-config --cflags $(PKGS))
# libev and http-parser come without a pkg-config file.
LDLIBS = $(shell pkg-config --libs $(PKGS)) -lev -lhttp_parser -lpthread -lm

DIRS := misc common options http core conf member platform control traffic \
	caller tools stand
LIB_SRC := $(foreach d,$(DIRS),$(wildcard $(d)/*.c))
LIB_OBJ := $(LIB_SRC:%.c=target/obj/%.o)
APP_OBJ := $(patsubst %.c,target/obj/%.o,$(wildcard app/*.c))
TESTS := $(patsubst tests/%.c,target/tests/%,$(wildcard tests/test_*.c))

all: target/mimosapitch

deps:
	@pkg-config --exists $(PKGS) cmocka && [ -f /usr/include/ev.h ] && \
		[ -f /usr/include/http_parser.h ] || scripts/install-deps.sh

target/obj/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c -o $@ $<

target/libmp.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

target/mimosapitch: $(APP_OBJ) target/libmp.a
	$(CC) -o $@ $^ $(LDLIBS)

target/tests/%: tests/%.c target/libmp.a
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -o $@ $< target/libmp.a $(LDLIBS) -lcmocka

# The README's two commands. Each first installs what a fresh machine
# lacks, then builds in a second make, which reads pkg-config anew.
check: deps
	$(MAKE) target/mimosapitch $(TESTS)
	scripts/run-tests.sh $(TESTS)

run: deps
	$(MAKE) target/mimosapitch
	scripts/run-local.sh

clean:
	rm -rf target

.PHONY: all deps check run clean
.SECONDARY:

-include $(LIB_OBJ:.o=.d) $(APP_OBJ:.o=.d) $(TESTS:=.d)
