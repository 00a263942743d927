#!/bin/bash
# Backend servers that ask an instance to back off get nothing from it meanwhile, and
# those that drain nothing new; the servers check what arrives.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=14500 ENTRIES=5 RATE=150 TTL_MS=2000
. tests/small_system.sh

store_fault() { curl -s -m 2 -X POST "http://127.0.0.1:$BASE_PORT/stand/faults?$1" >/dev/null; }
backed_off() { # server
	echo "server $1: $(stat "$1" backoffs) backoffs; in them $(stat "$1" backoff_got) requests, $(stat "$1" backoff_questions) questions, $(stat "$1" backoff_worst) of one instance in one backoff"
	(($(stat "$1" backoffs) > 0 && $(stat "$1" backoff_got) == 0 && $(stat "$1" backoff_questions) == 0))
}
drained() { # server
	echo "server $1: announced it $(stat "$1" draining_told) times; got $(stat "$1" draining_got) requests afterwards"
	(($(stat "$1" draining_told) > 0 && $(stat "$1" draining_got) == 0))
}
more() { # what, before, after, least
	echo "$1: $3 - $2"
	(($3 - $2 >= $4))
}

start_system
load 2 1

# One turns away all that it gets, while instances are killed.
fault 0 'shed_pct=100&backoff_milli=3000'
load 7 2 &
load_pid=$!
for i in 0 1 2 3; do
	sleep 1
	restart $i
done
wait $load_pid
check "turns all away: nothing twice, no false 'not run', no foreign answer" test $? -eq 0
check "turns all away: gets nothing in a backoff" backed_off 0
check "turns all away: all calls are served by the others" served 2 990

# It serves again: it gets its part, though not from all at once.
fault 0 'shed_pct=0&backoff_milli=-1'
sleep 4
before=$(stat 0 calls)
load 3 3
check "serves again: it gets its part" more calls "$before" "$(stat 0 calls)" 75

# One turns a part away, and its entry lapses within the backoff and comes back.
fault 1 'shed_pct=30&backoff_milli=5000'
load 2 4
fault 1 unlisted=1
load 3 5
fault 1 unlisted=0
load 3 6
check "lapsed and back: gets nothing in a backoff" backed_off 1
check "lapsed and back: all calls are served by the others" served 5 990
fault 1 'shed_pct=0&backoff_milli=-1'

# What is no number of seconds asks for nothing, and a line says so.
fault 1 'shed_pct=20&backoff_odd=1'
sleep 5
before=$(stat 1 calls)
load 2 7
check "a backoff that is no number changes nothing" more calls "$before" "$(stat 1 calls)" 40
check "and is told in a line" test "$(lines 'ev=347 ')" -ge 1
fault 1 'shed_pct=0&backoff_odd=0'

# All back off: callers hear so at once, and when the first is back.
refused_at_once() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) + 0
		}
		/ ev=412 .*why=servers backing off/ {
			n++
			late += field("ms") > 60 # held for a return that is in time
			never = never || field("ms") > 100 * (field("sends") + 1) + 20
			blank += field("retry_after_ms") <= 0 || field("retry_after_ms") > 3000
		}
		END {
			print n + 0 " refused, " late + 0 " after more than 60 ms, " blank + 0 " without the time"
			exit !(n > 100 && late * 10 <= n && blank == 0 && !never)
		}'
}
for i in 0 1 2; do fault $i 'shed_pct=100&backoff_milli=2000'; done
load 5 8
for i in 0 1 2; do fault $i 'shed_pct=0&backoff_milli=-1'; done
for i in 0 1 2; do check "all back off: server $i gets nothing in a backoff" backed_off $i; done
check "all back off: refused at once, with the time of the first return" refused_at_once
sleep 3
load 3 9
check "all back: served" served 9 990

# One announces that it drains, its entry doesn't; then the store is away, then it lapses.
fault 2 draining=1
load 3 10
store_fault down=silent
load 2 11
store_fault down=no
fault 2 unlisted=1
load 3 12
fault 2 unlisted=0
load 3 13
check "drains: gets nothing more" drained 2
check "drains: all calls are served by the others" served 13 990
told_by_peer=$(lines 'ev=346 .*by=peer')
check "drains: instances heard it from each other" test "$told_by_peer" -ge 1

# Its next start gets requests again.
kill -KILL "${pids[server2]}"
wait "${pids[server2]}" 2>/dev/null
start_server 2
sleep 3
fault 2 quiet=1
load 6 14
check "its next start gets its part" more calls 0 "$(stat 2 calls)" 75
check "nothing ends by itself" all_run
check "no invariant broken" sh -c "! grep -l 'ev=900' $logs/*.log"
finish server-backoff
