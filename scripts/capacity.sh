#!/bin/bash
# Measures the slopes behind docs/CAPACITY.md on one machine, with the
# stand-ins: an entry's control cost (CPU, bytes, memory) against the
# number of workers on the member list and against the rate of config
# changes, and its traffic CPU and added latency against the call rate.
# Prints CSV rows "what,x,value,unit" to stdout. Stops what it started.
#   scripts/capacity.sh [SERVICES] > docs/capacity/slopes.csv
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
services=${1:-62}
dir=$(mktemp -d)
ini=$dir/bench.ini
stop_all() {
	local_stop
	[ -n "${KEEP:-}" ] || rm -rf "$dir"; [ -n "${KEEP:-}" ] && echo "kept $dir" >&2
}
trap stop_all EXIT

{
	printf '[platform]\nlisten = 127.0.0.1:19000\nmember_lag_ms = 200\n'
	printf 'member_ttl_ms = 600000\nappend_limit_per_s = 1000\n\n'
	printf '[entry]\nplatform = 127.0.0.1:19000\ndrain_ms = 0\n\n'
	printf '[entry.e1]\nlisten = 127.0.0.1:19101\ndc = hala-cluj\n\n'
	for ((s = 0; s < services; s++)); do
		printf '[service.s%d]\ntenant = strada\nworkers = 13\n' $s
		printf 'slots = 2\nbase_port = %d\nwork_ms = 2\n\n' $((20000 + s * 20))
	done
	printf '[service.t0]\ntenant = strada\nworkers = 8\nslots = 4\n'
	printf 'base_port = 30000\nwork_ms = 1\n\n'
} >"$ini"

metric() { # field of the entry's metrics
	curl -s -m 2 http://127.0.0.1:19101/admin/metrics |
		grep -o "\"$1\":[0-9]*" | head -1 | cut -d: -f2
}
proc_cpu_us() { # utime+stime of a pid, in us
	awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000000 / hz}' "/proc/$1/stat"
}
register() { # workers from..to-1, spread over the services
	for ((i = $1; i < $2; i++)); do
		s=$((i % services)) k=$((i / services))
		curl -s -m 2 -X PUT -d "{\"role\":\"worker\",\"addr\":\"127.0.0.1:$((20000 + s * 20 + k))\",\"dc\":\"hala-cluj\",\"state\":\"live\"}" \
			"http://127.0.0.1:19000/v1/members/s$s-$k" >/dev/null
	done
}
window() { # label x seconds: control cost over a window
	local c0 b0 o0 c1 b1 o1
	c0=$(metric control_cpu_us) b0=$(metric control_bytes_in) o0=$(metric control_bytes_out)
	sleep "$3"
	c1=$(metric control_cpu_us) b1=$(metric control_bytes_in) o1=$(metric control_bytes_out)
	echo "$1_control_cpu,$2,$(((c1 - c0) / $3)),us_per_s"
	echo "$1_control_bytes_in,$2,$(((b1 - b0) / $3)),bytes_per_s"
	echo "$1_control_bytes_out,$2,$(((o1 - o0) / $3)),bytes_per_s"
	echo "$1_rss,$2,$(metric rss_kib),kib"
}

$bin platform --settings "$ini" 2>"$dir/platform.log" &
local_pids+=($!)
sleep 0.3
$bin entry --settings "$ini" --name e1 2>"$dir/entry.log" &
entry_pid=$!
local_pids+=($entry_pid)
sleep 1
$bin ctl --settings "$ini" patch --base 0 policy=p2c >/dev/null

echo "what,x,value,unit"
have=0
for w in ${WORKERS:-0 100 400 790}; do
	register $have $w
	have=$w
	sleep 2
	window workers $w 8
done
for period in ${PERIODS:-2 0.5}; do
	( end=$((SECONDS + 9)); while [ $SECONDS -lt $end ]; do
		$bin ctl --settings "$ini" patch "k=$RANDOM" >/dev/null 2>&1; sleep $period; done ) &
	patcher=$!
	sleep 1
	window config_changes_per_s "$(echo "scale=1; 1/$period" | bc)" 8
	wait $patcher
done

# Traffic: 8 real workers in service t0, beside the 790 listed ones.
for i in 0 1 2 3 4 5 6 7; do
	$bin worker --settings "$ini" --service t0 --index $i --seed 5 2>>"$dir/workers.log" &
	local_pids+=($!)
done
sleep 2
for rate in 250 1000 2000; do
	p0=$(proc_cpu_us $entry_pid) c0=$(metric control_cpu_us)
	$bin load --settings "$ini" --seconds 6 --rate $rate --concurrency 128 --seed $rate --service t0 >"$dir/load-$rate.txt" 2>&1
	p1=$(proc_cpu_us $entry_pid) c1=$(metric control_cpu_us)
	calls=$(awk '/^calls/{print $2}' "$dir/load-$rate.txt")
	echo "traffic_cpu,$rate,$(((p1 - p0 - (c1 - c0)) / 6)),us_per_s"
	echo "traffic_calls,$rate,$((calls / 6)),calls_per_s"
	echo "traffic_added_p99,$rate,$(curl -s http://127.0.0.1:19101/admin/metrics | grep -o '"service":"t0"[^}]*' | grep -o '"added_p99_us":[0-9]*' | cut -d: -f2),us"
	grep -E ' t0 ' "$dir/load-$rate.txt" | head -1 | awk -v r=$rate '{print "traffic_p99_ms," r "," $9 ",ms"}'
done
