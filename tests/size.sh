#!/bin/bash
# Regression test: a hundred instances start together, are all killed and start
# again, and lose the store for a while. An instance that writes and reads its
# membership alone queues behind all others: calls time out, are repeated into
# the same queue, and each instance then reads everything for itself. The store
# takes 20 ms for an append, one at a time, and counts the calls.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
N=${INSTANCES:-100}
port=14900
ini=$logs/deployment.ini
cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:$port
append_limit_per_s = 1000
member_ttl_ms = 3000
[entry]
platform = 127.0.0.1:$port
[entry.e1]
listen = 127.0.0.1:$((port + 1))
dc = dc-0
[service.harta]
tenant = strada
workers = 3
slots = 8
base_port = $((port + 10))
work_ms = 4
dcs = dc-0
INI
pids=()
# Kills all processes that the test started.
stop_all() {
	kill -KILL "${pids[@]}" ${entries[@]+"${entries[@]}"} 2>/dev/null
	wait 2>/dev/null
}
trap stop_all EXIT
# Prints the address of an instance.
ip() { echo 127.9.$((1 + $1 / 200)).$((1 + $1 % 200)); }
# Writes the settings of an instance; every port is the same on all addresses.
write_settings() { # instance, first start
	local ip
	ip=$(ip "$1")
	cat >"$logs/e$1.ini" <<INI
[instance]
name = e$(printf %03d "$1")
dc = dc-$(($1 % 4))
region = r
ip = $ip
seeds = $(ip 7):1,$(ip 42):1,$(ip 250):1
first_start = $2
[listen]
callers = $ip:8001
ready = $ip:8002
directory = $ip:8003
peers = $ip:8004
metrics = $ip:8005
[platform]
store = 127.0.0.1:$port
[bounds]
questions_per_s = 200
INI
}
entries=()
# Starts all instances; the log of each is started anew.
start_all() { # first start
	local i
	entries=()
	for ((i = 0; i < N; i++)); do
		write_settings $i "$1"
		$bin instance --settings "$logs/e$i.ini" >"$logs/e$i.log" 2>&1 &
		entries+=($!)
	done
}
# Prints the number of calls that the store got.
calls() { curl -s -m 2 "http://127.0.0.1:$port/stand/calls"; }
set_store_faults() { curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?$1" >/dev/null; }
# Prints the numbers of the given instances that don't serve a request now. They
# are asked side by side, so that the time is theirs and not that of the asking.
not_serving() { # instance ...
	local i next=
	for i in "$@"; do
		printf "$next"
		next='next\n'
		printf 'url = "http://%s:8001/work/1"\noutput = /dev/null\nwrite-out = "%d %%{http_code}\\n"\nheader = "Host: harta.example"\nheader = "Attempt-Id: a-%d%d"\nheader = "Deadline-Remaining-Ms: 900"\nmax-time = 1\n' \
			"$(ip "$i")" "$i" $RANDOM $RANDOM
	done | curl -s -Z --parallel-max 20 -K - 2>/dev/null | awk '$2 != 200 { print $1 }'
}
# Succeeds once all instances serve a request, within so many seconds.
all_serve_within() { # seconds
	local end=$((SECONDS + $1)) left
	mapfile -t left < <(seq 0 $((N - 1)))
	while ((SECONDS < end && ${#left[@]})); do
		mapfile -t left < <(not_serving "${left[@]}")
		((${#left[@]} == 0)) || sleep 0.1
	done
	echo "$((N - ${#left[@]})) of $N serve"
	((${#left[@]} == 0))
}
# Succeeds once all instances know all others, within so many seconds.
all_know_all_within() { # seconds
	local end=$((SECONDS + $1)) known
	while ((SECONDS < end)); do
		known=$(for ((i = 0; i < N; i++)); do grep 'ev=322' "$logs/e$i.log" | tail -1; done | grep -c "instances=$N ")
		((known == N)) && break
		sleep 0.2
	done
	echo "$known of $N know all"
	((known == N))
}
# Succeeds if the store got at most so many calls.
calls_at_most() { # calls before, allowed
	local n
	n=$(calls)
	n=$((${n:-999999} - ${1:-0}))
	echo "$n calls, $2 allowed"
	((n <= $2))
}

$bin store --deployment "$ini" 2>"$logs/store.log" &
pids+=($!)
sleep 0.3
set_store_faults append_ms=20
for i in 0 1 2; do
	$bin backend --deployment "$ini" --service harta --index $i --seed 5 2>"$logs/server-$i.log" &
	pids+=($!)
done
$bin operator --deployment "$ini" --version 5 >>"$logs/checks.log" 2>&1
sleep 0.5

before=$(calls)
start_all true
check "first start: all serve" all_serve_within 20
check "first start: all know all" all_know_all_within 10
check "first start: fewer calls than two for each instance" calls_at_most "$before" $((2 * N))

kill -KILL "${entries[@]}"
wait "${entries[@]}" 2>/dev/null
before=$(calls)
start_all false
check "after a kill of all: all serve" all_serve_within 20
check "after a kill of all: all know all" all_know_all_within 10
check "after a kill of all: fewer calls than two for each instance" calls_at_most "$before" $((2 * N))

# One that is killed alone finds the others by its seeds.
for i in 3 42; do
	kill -KILL "${entries[$i]}"
	wait "${entries[$i]}" 2>/dev/null
	$bin instance --settings "$logs/e$i.ini" >"$logs/e$i.log" 2>&1 &
	entries[$i]=$!
done
check "two restarted: all serve" all_serve_within 5
check "two restarted: all know all" all_know_all_within 10

before=$(calls)
set_store_faults down=busy
sleep 6
set_store_faults down=no
check "after an outage of 6 s: all serve" all_serve_within 5
check "during an outage: fewer calls than four for each instance" calls_at_most "$before" $((4 * N))
check "no invariant violated in any log" sh -c "! grep -l 'ev=900' $logs/*.log"

if [ $fails -ne 0 ]; then
	echo "size: $fails check(s) failed; logs in $logs"
	tail -30 "$logs/checks.log"
	exit 1
fi
rm -rf "$logs"
echo "size: ok"
