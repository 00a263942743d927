#!/bin/bash
# Measures the latency that an instance adds to a call: the same seeded load
# runs alternately through one instance and directly to the servers, PAIRS times
# each, on one machine. The servers are simulated, without noise. Prints one CSV
# row per run. Every process started here is stopped here, by pid.
#   scripts/added-latency.sh [RATE] [PAIRS]
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
rate=${1:-500}
pairs=${2:-3}
dir=$(mktemp -d)
ini=$dir/bench.ini
# Stops all processes and removes the scratch directory.
stop_all() {
	local_stop
	rm -rf "$dir"
}
trap stop_all EXIT
cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:19500
[entry]
platform = 127.0.0.1:19500
grace_s = 1
[entry.e1]
listen = 127.0.0.1:19501
dc = hala-cluj
[service.t0]
tenant = strada
workers = 8
slots = 8
base_port = 19600
work_ms = 1
INI
$bin store --deployment "$ini" 2>/dev/null &
local_pids+=($!)
sleep 0.3
for i in 0 1 2 3 4 5 6 7; do
	$bin backend --deployment "$ini" --service t0 --index $i 2>/dev/null &
	local_pids+=($!)
done
$bin entry --deployment "$ini" --name e1 >/dev/null 2>&1 &
local_pids+=($!)
sleep 1.5
for i in 0 1 2 3 4 5 6 7; do
	curl -s -m 2 -X POST "http://127.0.0.1:$((19600 + i))/stand/faults?quiet=1" >/dev/null
done
$bin ctl --deployment "$ini" patch --base 0 policy=load >/dev/null
echo "run,mode,p50_ms,p99_ms,p999_ms"
for ((k = 1; k <= pairs; k++)); do
	for mode in entry direct; do
		flag=
		[ $mode = direct ] && flag=--direct
		$bin load --deployment "$ini" --seconds 5 --rate "$rate" --seed $k $flag 2>/dev/null |
			awk -v k=$k -v m=$mode '$2=="t0"{print k "," m "," $8 "," $9 "," $10}'
	done
done
