#!/bin/bash
# The seeds of the fault soak that once failed, each with its cause; CI runs
# them, one with hubs and one without.
#   122, 153: after the store had forgotten its history instances took each
#             other's older lists over and over, until none had a server.
#   601, 602 with a fatal request: relays took connections for servers that had
#             ended, so no end was ever sure, and servers ended on and on.
set -u
cd "$(dirname "$0")/.."
for seed in 122 153; do
	tests/soak.sh $seed 10 || exit 1
done
# 903 and 904 play limits that servers name; 1023 and 1032 a server that should name
# one and sends what is no number instead, which the stand-in held against instances.
for seed in 903 904 1023 1032; do
	tests/soak.sh $seed 10 0 limits || exit 1
done
# 2801 and 2802 play servers that ask to back off, and draining ones; both failed while nobody read that.
for seed in 2801 2802; do
	tests/soak.sh $seed 10 0 backoff || exit 1
done
# 3101 and 3102 play drills: a number given out again ended all instances; leases of the copy.
for seed in 3101 3102; do
	tests/soak.sh $seed 10 0 drills || exit 1
done
for seed in 601 602; do
	tests/soak.sh $seed 10 0 fatal || exit 1
done
