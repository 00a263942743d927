#!/bin/bash
# Overload with backoffs: two of four servers reject requests and ask for
# backoffs, while callers send more than the other two can serve. Prints the
# outcomes of the calls and what the servers rejected.
#   scripts/backoff-overload.sh [BACKOFF_MS [SHED_PCT [RATE [SECONDS [SEED]]]]]
# With BACKOFF_MS -1 they ask for no backoff. MP_BIN selects another program to
# compare with, MP_PORT the base port.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
backoff=${1:-1000} shed=${2:-100} rate=${3:-250} seconds=${4:-10} seed=${5:-1}
logs=$(mktemp -d)
ini=$logs/deployment.ini
base=${MP_PORT:-13000}
declare -a pids=()
# Kills all processes and removes the scratch directory.
stop_all() {
	kill -KILL "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$logs"
}
trap stop_all EXIT
cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:$base
append_limit_per_s = 300
[entry]
platform = 127.0.0.1:$base
[service.harta]
tenant = strada
workers = 4
slots = 4
base_port = $((base + 300))
work_ms = 20
dcs = hala-cluj
INI
for i in 0 1 2 3 4 5; do
	printf '[entry.e%d]\nlisten = 127.0.0.1:%d\ndc = hala-cluj\n' $i $((base + 100 + i))
done >>"$ini"
$bin store --deployment "$ini" 2>/dev/null &
pids+=($!)
sleep 0.2
for i in 0 1 2 3; do
	$bin backend --deployment "$ini" --service harta --index $i --seed "$seed" 2>/dev/null &
	pids+=($!)
done
for i in 0 1 2 3 4 5; do
	$bin entry --deployment "$ini" --name e$i >/dev/null 2>&1 &
	pids+=($!)
done
sleep 3
for i in 0 1; do
	curl -s -m 2 -X POST "http://127.0.0.1:$((base + 300 + i))/stand/faults?backoff_milli=$backoff&shed_pct=$shed" >/dev/null
done
$bin load --deployment "$ini" --seconds "$seconds" --rate "$rate" --seed "$seed" >"$logs/load.txt" 2>&1
awk '$1 == "strada" {printf "calls=%d done=%d not_run=%d unknown=%d p50_ms=%s p99_ms=%s ", $3, $4, $5, $6, $8, $9}' "$logs/load.txt"
for i in 0 1 2 3 4 5; do curl -s -m 2 "http://127.0.0.1:$((base + 4100 + i))/metrics"; done |
	awk '/^class_served/ {s += $2} /^class_late{/ {l += $2} END {printf "in_time=%d ", s - l}'
for i in 0 1 2 3; do curl -s -m 2 "http://127.0.0.1:$((base + 300 + i))/stand/stats"; done |
	awk '$1 == "calls" {c += $2} $1 == "shed" {s += $2} $1 == "backoffs" {r += $2} $1 == "backoff_got" {g += $2}
		END {print "sends=" c " turned_away=" s " backoffs=" r " in_backoffs=" g}'
