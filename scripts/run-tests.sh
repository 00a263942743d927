#!/bin/sh
# Runs every unit test program, then the end-to-end test and the
# seeds of the fault soak; prints one
# closing line "N passed, N failed".
pass=0
fail=0
for t in "$@" tests/e2e.sh tests/soak-seeds.sh; do
	if "./$t"; then
		pass=$((pass + 1))
	else
		echo "FAILED: $t"
		fail=$((fail + 1))
	fi
done
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ]
