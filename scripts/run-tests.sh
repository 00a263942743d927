#!/bin/sh
# Runs the given unit tests, then the end-to-end tests and the seeds of the
# fault soak, and prints a last line "N passed, N failed, N known red". A test
# that is listed in KNOWN-RED.txt may fail: its entry is printed, and it is
# counted separately.
pass=0
fail=0
known=0
# Prints a test's entry in KNOWN-RED.txt; fails if it has none.
known_red() { # test
	[ -f KNOWN-RED.txt ] && grep "^$1 " KNOWN-RED.txt
}
for t in "$@" tests/e2e.sh tests/repeated-crashes.sh \
	tests/retry-budget.sh tests/server-limit.sh tests/server-backoff.sh tests/store-restore.sh tests/restore-many.sh tests/evacuation.sh tests/partition.sh tests/size.sh \
	tests/soak-seeds.sh; do
	if "./$t"; then
		pass=$((pass + 1))
		! known_red "$t" || echo "NO LONGER RED, take it off the list: $t"
	elif known_red "$t"; then
		known=$((known + 1))
	else
		echo "FAILED: $t"
		fail=$((fail + 1))
	fi
done
echo "$pass passed, $fail failed, $known known red"
[ "$fail" -eq 0 ]
