#!/bin/bash
# Measures the slopes behind docs/CAPACITY.md on one machine, with a simulated
# store and simulated servers: an instance's control cost (CPU, bytes, store
# calls, memory) against the number of listed backend servers and against the
# rate of configuration changes, and its traffic CPU against the call rate.
# Prints CSV rows "what,x,value,unit". Every process started here is stopped
# here, by pid.
#   scripts/capacity.sh [SERVICES] > docs/capacity/slopes.csv
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
services=${1:-62}
dir=$(mktemp -d)
ini=$dir/bench.ini
# Stops all processes and removes the scratch directory.
stop_all() {
	local_stop
	rm -rf "$dir"
}
trap stop_all EXIT

{
	printf '[platform]\nlisten = 127.0.0.1:19000\n'
	printf 'member_ttl_ms = 600000\nappend_limit_per_s = 100000\n\n'
	printf '[entry]\nplatform = 127.0.0.1:19000\ngrace_s = 1\n\n'
	printf '[entry.e1]\nlisten = 127.0.0.1:19101\ndc = hala-cluj\n\n'
	for ((s = 0; s < services; s++)); do
		printf '[service.s%d]\ntenant = strada\nworkers = 13\n' $s
		printf 'slots = 2\nbase_port = %d\nwork_ms = 2\n\n' $((25000 + s * 20))
	done
	printf '[service.t0]\ntenant = strada\nworkers = 8\nslots = 4\n'
	printf 'base_port = 30000\nwork_ms = 1\n\n'
} >"$ini"

# Prints one metric of the instance.
metric() { # name
	curl -s -m 2 http://127.0.0.1:19101/admin/metrics | awk -v n="$1" '$1 == n {print $2}'
}
# Prints the CPU time of a process, utime + stime, in us.
process_cpu_us() { # pid
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000000 / hz}' "/proc/$1/stat"
}
# Prints the instance's resident memory.
resident_kib() { awk '/^VmRSS/{print $2}' "/proc/$entry_pid/status"; }
# Prints the control cost per second over a period, and the memory at its end.
measure_control() { # label, x, seconds
	local before after name
	declare -A before after
	for name in control_cpu_us control_bytes_in control_bytes_out store_calls; do before[$name]=$(metric $name); done
	sleep "$3"
	for name in control_cpu_us control_bytes_in control_bytes_out store_calls; do
		after[$name]=$(metric $name)
		echo "$1_$name,$2,$(((after[$name] - before[$name]) / $3)),per_s"
	done
	echo "$1_rss,$2,$(resident_kib),kib"
}

$bin store --deployment "$ini" 2>"$dir/store.log" &
local_pids+=($!)
sleep 0.3
$bin entry --deployment "$ini" --name e1 >"$dir/entry.log" 2>&1 &
entry_pid=$!
local_pids+=($entry_pid)
sleep 1
$bin ctl --deployment "$ini" patch --base 0 policy=load >/dev/null

echo "what,x,value,unit"
listed=0
for w in ${SERVERS:-0 100 400 790}; do
	[ "$w" -gt $listed ] && $bin fill --deployment "$ini" --index $listed --version "$w"
	listed=$w
	sleep 2
	measure_control servers $w 8
done
# All servers renew their records about every 1.5 s, 790 records each time.
(for k in 1 2 3 4 5 6; do
	$bin fill --deployment "$ini" --index 0 --version 790
	sleep 1.2
done) &
renewer_pid=$!
sleep 1
measure_control beating_servers 790 6
wait $renewer_pid
for period in ${PERIODS:-2 0.5}; do
	(end=$((SECONDS + 9))
	while [ $SECONDS -lt $end ]; do
		$bin ctl --deployment "$ini" patch "k=$RANDOM" >/dev/null 2>&1
		sleep $period
	done) &
	patcher_pid=$!
	sleep 1
	measure_control config_changes_per_s "$(awk "BEGIN{print 1/$period}")" 8
	wait $patcher_pid
done

# Traffic: 8 running servers in service t0, in addition to the 790 records.
for i in 0 1 2 3 4 5 6 7; do
	$bin backend --deployment "$ini" --service t0 --index $i --seed 5 2>>"$dir/backends.log" &
	local_pids+=($!)
done
sleep 2
for i in 0 1 2 3 4 5 6 7; do
	curl -s -m 2 -X POST "http://127.0.0.1:$((30000 + i))/stand/faults?quiet=1" >/dev/null
done
for rate in 250 1000 2000; do
	cpu_before=$(process_cpu_us $entry_pid) control_before=$(metric control_cpu_us)
	$bin load --deployment "$ini" --seconds 6 --rate $rate --concurrency 128 --seed $rate --service t0 >"$dir/load-$rate.txt" 2>&1
	cpu_after=$(process_cpu_us $entry_pid) control_after=$(metric control_cpu_us)
	calls=$(awk '/^calls [0-9]/{print $2}' "$dir/load-$rate.txt")
	echo "traffic_cpu,$rate,$(((${cpu_after%.*} - ${cpu_before%.*} - (control_after - control_before)) / 6)),us_per_s"
	echo "traffic_calls,$rate,$((calls / 6)),calls_per_s"
	awk -v r=$rate '$2 == "t0" {print "traffic_done," r "," $4 ",calls"; print "traffic_p99_ms," r "," $9 ",ms"}' "$dir/load-$rate.txt"
	echo "traffic_rss,$rate,$(resident_kib),kib"
done
