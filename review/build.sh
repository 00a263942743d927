#!/bin/sh
# Builds all that the cases start: the project's binary with its stand-ins, and
# the review's own backend server.
set -eu
cd "$(dirname "$0")/.."
make -j8 target/mimosapitch
mkdir -p target/review
${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-parameter \
	-o target/review/worker review/worker.c -lpthread
