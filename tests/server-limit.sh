#!/bin/bash
# Regression test: a backend server must not get more than the rate limit that
# it announces, summed over all instances, while these are killed, stopped and
# paused. The simulated servers check every request that they get.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=14000 ENTRIES=10 RATE=150 TTL_MS=3000
. tests/small_system.sh
RANDOM=25

# Instances that are shutting down: a graceful stop takes seconds, and the test
# goes on meanwhile.
stopping=()
# Begins the graceful stop of an instance.
stop_gracefully() { # instance
	kill -TERM "${pids[e$1]}"
	stopping+=("$1")
}
# Starts the instances again that have finished their graceful stop.
restart_stopped() {
	local left=() i
	for i in "${stopping[@]}"; do
		if kill -0 "${pids[e$i]}" 2>/dev/null; then
			left+=("$i")
		else
			wait "${pids[e$i]}" 2>/dev/null
			start_entry "$i"
		fi
	done
	stopping=("${left[@]}")
}
# Succeeds if an instance is still in its graceful stop.
is_stopping() { # instance
	case " ${stopping[*]} " in *" $1 "*) return 0 ;; esac
	return 1
}
# Suspends an instance for half a second.
pause_instance() { # instance
	kill -STOP "${pids[e$1]}"
	sleep 0.5
	kill -CONT "${pids[e$1]}"
}
# Kills, stops and pauses random instances, and waits for the last stop.
disrupt_instances() { # seconds
	local end=$((SECONDS + $1)) i
	while ((SECONDS < end)); do
		restart_stopped
		sleep 0.7
		i=$((RANDOM % ENTRIES))
		is_stopping $i && continue
		case $((RANDOM % 4)) in
		0 | 1) kill_and_restart $i ;;
		2) stop_gracefully $i ;;
		3) pause_instance $i ;;
		esac
	done
	while ((${#stopping[@]})); do
		sleep 0.2
		restart_stopped
	done
}
# Succeeds if a server's busiest window kept to the limit.
within_limit() { # server
	local worst allowed got
	worst=$(server_stat "$1" limited_worst)
	allowed=$(server_stat "$1" limited_allowed)
	got=$(server_stat "$1" limited_got)
	echo "server $1: worst window $worst of $allowed allowed, $got in all"
	awk -v w="$worst" -v a="$allowed" 'BEGIN {exit !(w <= a)}'
}
# Succeeds if the number of requests reaches the minimum.
got_at_least() { # server, requests that it got, minimum
	echo "server $1 got $2 requests"
	(($2 >= $3))
}

start_system

# One server announces a limit while instances fail.
load 13 1 &
load_pid=$!
sleep 2
set_server_faults 0 limit_milli=5100
disrupt_instances 10
wait $load_pid
check "one limited: no duplicate run, no false 'not run', no mismatched response" test $? -eq 0
check "one limited: the sum over all instances keeps to the limit" within_limit 0
check "one limited: it still gets requests" got_at_least 0 "$(server_stat 0 limited_got)" 10

# A limit below one request per second; no instance fails.
set_server_faults 0 limit_milli=300
load 9 2
check "0.3 per second: the sum over all instances keeps to the limit" within_limit 0
check "0.3 per second: the other servers serve all calls" served_at_least 2 995

# The limit has ended: the server gets its share again. KNOWN-RED.txt names the
# check by its label.
set_server_faults 0 limit_milli=-1
load 4 3
before=$(server_stat 0 calls)
load 3 4
after=$(server_stat 0 calls)
check "no need any more: it gets its part" got_at_least 0 $((after - before)) 75

# A limit that isn't a number is ignored and logged.
set_server_faults 1 limit_odd=1
before=$(server_stat 1 calls)
load 2 5
after=$(server_stat 1 calls)
set_server_faults 1 limit_odd=0
check "a malformed limit is ignored" got_at_least 1 $((after - before)) 50
check "a malformed limit is logged" test "$(count_log_lines 'ev=342 ')" -ge 1

# All servers are limited: calls are served up to the limits, and the rest is
# rejected early.
for i in 0 1 2; do set_server_faults $i limit_milli=10000; done
load 4 6
got=$(($(server_stat 0 limited_got) + $(server_stat 1 limited_got) + $(server_stat 2 limited_got)))
load 8 7
for i in 0 1 2; do
	check "all limited: server $i keeps to its limit" within_limit $i
done
got=$(($(server_stat 0 limited_got) + $(server_stat 1 limited_got) + $(server_stat 2 limited_got) - got))
check "all limited: at least three quarters of the limits is used" got_at_least all $got $((8 * 30 * 3 / 4))
# Succeeds if calls that no server may take are rejected early, with a retry
# time.
rejected_early() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) + 0
		}
		/ ev=412 .*why=servers in need/ {
			n++
			late += field("ms") > 50
			no_time += field("retry_after_ms") <= 0
		}
		END {
			print n + 0 " refused, " late + 0 " after more than 50 ms, " no_time + 0 " without a retry time"
			exit !(n > 100 && late * 20 <= n && no_time == 0)
		}'
}
check "all limited: excess calls are rejected early, with a retry time" rejected_early

# The same with all callers at two of the ten instances: the other instances
# hand over the parts of the limits that they don't use. Prints how many
# requests the three servers got while limited.
total_limited() {
	echo $(($(server_stat 0 limited_got) + $(server_stat 1 limited_got) + $(server_stat 2 limited_got)))
}
got=$(total_limited)
load 8 8 --entries 2
got=$(($(total_limited) - got))
for i in 0 1 2; do
	check "callers at two instances: server $i keeps to its limit" within_limit $i
done
check "callers at two instances: at least half of the limits is used" got_at_least all $got $((8 * 30 / 2))
check "no instance exited on its own" instances_running
check "no invariant violated" sh -c "! grep -l 'ev=900' $logs/*.log"
finish server-limit
