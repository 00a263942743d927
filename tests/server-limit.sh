#!/bin/bash
# A backend server gets no more than the limit that it names, from all instances together,
# while these are killed, stopped and paused; the servers judge by all that they get.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=14000 ENTRIES=10 RATE=150 TTL_MS=3000
. tests/small_system.sh
RANDOM=25

# A planned stop takes seconds, in which other things happen.
stopping=() # numbers
stop_planned() { # number
	kill -TERM "${pids[e$1]}"
	stopping+=("$1")
}
start_stopped() { # those that have ended by now start anew
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
is_stopping() { # number
	case " ${stopping[*]} " in *" $1 "*) return 0 ;; esac
	return 1
}
pause() { # number
	kill -STOP "${pids[e$1]}"
	sleep 0.5
	kill -CONT "${pids[e$1]}"
}
trouble() { # seconds
	local end=$((SECONDS + $1)) i
	while ((SECONDS < end)); do
		start_stopped
		sleep 0.7
		i=$((RANDOM % ENTRIES))
		is_stopping $i && continue
		case $((RANDOM % 4)) in
		0 | 1) restart $i ;;
		2) stop_planned $i ;;
		3) pause $i ;;
		esac
	done
	while ((${#stopping[@]})); do
		sleep 0.2
		start_stopped
	done
}
within_rule() { # server
	local worst allowed got
	worst=$(stat "$1" limited_worst)
	allowed=$(stat "$1" limited_allowed)
	got=$(stat "$1" limited_got)
	echo "server $1: worst window $worst of $allowed allowed, $got in all"
	awk -v w="$worst" -v a="$allowed" 'BEGIN {exit !(w <= a)}'
}
used() { # server, requests that it got, least
	echo "server $1 got $2"
	(($2 >= $3))
}

start_system

# One in need, and trouble with the instances.
load 13 1 &
load_pid=$!
sleep 2
fault 0 limit_milli=5100
trouble 10
wait $load_pid
check "one in need: nothing twice, no false 'not run', no foreign answer" test $? -eq 0
check "one in need: the sum over all instances keeps to the limit" within_rule 0
check "one in need: it is used all the same" used 0 "$(stat 0 limited_got)" 10

# Less than one a second, and no trouble besides.
fault 0 limit_milli=300
load 9 2
check "0.3 a second: the sum over all instances keeps to the limit" within_rule 0
check "0.3 a second: all calls are served by the others" served 2 995

# The need is over: it gets its part again.
fault 0 limit_milli=-1
load 4 3
before=$(stat 0 calls)
load 3 4
after=$(stat 0 calls)
check "no need any more: it gets its part" used 0 $((after - before)) 75

# No number: nothing changes, and a line says so.
fault 1 limit_odd=1
before=$(stat 1 calls)
load 2 5
after=$(stat 1 calls)
fault 1 limit_odd=0
check "a limit that is no number changes nothing" used 1 $((after - before)) 50
check "and is told in a line" test "$(lines 'ev=342 ')" -ge 1

# All in need: what they take is what is served, and the rest hears so at once.
for i in 0 1 2; do fault $i limit_milli=10000; done
load 4 6
got=$(($(stat 0 limited_got) + $(stat 1 limited_got) + $(stat 2 limited_got)))
load 8 7
for i in 0 1 2; do
	check "all in need: server $i keeps to its limit" within_rule $i
done
got=$(($(stat 0 limited_got) + $(stat 1 limited_got) + $(stat 2 limited_got) - got))
check "all in need: three quarters of what they take is used" used all $got $((8 * 30 * 3 / 4))
# Who gets no turn hears so at once, and when to come back.
refused_at_once() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) + 0
		}
		/ ev=412 .*why=servers in need/ {
			n++
			late += field("ms") > 50
			blank += field("retry_after_ms") <= 0
		}
		END {
			print n + 0 " refused, " late + 0 " after more than 50 ms, " blank + 0 " without a time"
			exit !(n > 100 && late * 20 <= n && blank == 0)
		}'
}
check "all in need: what gets no turn is refused at once, with a time" refused_at_once

# The same, with all callers at two of the ten instances: the others give up for them
# what they don't use.
limited_got() {
	echo $(($(stat 0 limited_got) + $(stat 1 limited_got) + $(stat 2 limited_got)))
}
got=$(limited_got)
load 8 8 --entries 2
got=$(($(limited_got) - got))
for i in 0 1 2; do
	check "callers at two instances: server $i keeps to its limit" within_rule $i
done
check "callers at two instances: half of what they take is used" used all $got $((8 * 30 / 2))
check "nothing ends by itself" all_run
check "no invariant broken" sh -c "! grep -l 'ev=900' $logs/*.log"
finish server-limit
