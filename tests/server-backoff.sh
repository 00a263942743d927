#!/bin/bash
# Regression test: a backend server that asks an instance to back off must get
# no request from it until the backoff ends, and a draining server must get no
# new request. The simulated servers count what arrives in violation.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=14500 ENTRIES=5 RATE=150 TTL_MS=2000
. tests/small_system.sh

# Sets or clears simulated faults of the store.
set_store_faults() { curl -s -m 2 -X POST "http://127.0.0.1:$BASE_PORT/stand/faults?$1" >/dev/null; }
# Succeeds if a server asked for backoffs and got nothing during them.
backoff_respected() { # server
	echo "server $1: $(server_stat "$1" backoffs) backoffs; $(server_stat "$1" backoff_got) requests and $(server_stat "$1" backoff_questions) probes during them, at most $(server_stat "$1" backoff_worst) from one instance in one backoff"
	(($(server_stat "$1" backoffs) > 0 && $(server_stat "$1" backoff_got) == 0 && $(server_stat "$1" backoff_questions) == 0))
}
# Succeeds if a server announced that it drains and got nothing afterwards.
drain_respected() { # server
	echo "server $1: announced draining $(server_stat "$1" draining_told) times; got $(server_stat "$1" draining_got) requests afterwards"
	(($(server_stat "$1" draining_told) > 0 && $(server_stat "$1" draining_got) == 0))
}
# Succeeds if a counter increased by at least the minimum.
increased_by() { # label, before, after, minimum increase
	echo "$1: $3 - $2"
	(($3 - $2 >= $4))
}

start_system
load 2 1

# One server rejects every request while instances are killed.
set_server_faults 0 'shed_pct=100&backoff_milli=3000'
load 7 2 &
load_pid=$!
for i in 0 1 2 3; do
	sleep 1
	kill_and_restart $i
done
wait $load_pid
check "rejects all: no duplicate run, no false 'not run', no mismatched response" test $? -eq 0
check "rejects all: gets nothing during a backoff" backoff_respected 0
check "rejects all: the other servers serve all calls" served_at_least 2 990

# It serves again: it gets its share, though not from all instances at once.
set_server_faults 0 'shed_pct=0&backoff_milli=-1'
sleep 4
before=$(server_stat 0 calls)
load 3 3
check "serves again: gets its share" increased_by calls "$before" "$(server_stat 0 calls)" 75

# One server rejects some requests, and its record expires during the backoff
# and is written again.
set_server_faults 1 'shed_pct=30&backoff_milli=5000'
load 2 4
set_server_faults 1 unlisted=1
load 3 5
set_server_faults 1 unlisted=0
load 3 6
check "expired and listed again: gets nothing during a backoff" backoff_respected 1
check "expired and listed again: the other servers serve all calls" served_at_least 5 990
set_server_faults 1 'shed_pct=0&backoff_milli=-1'

# A backoff that isn't a number of seconds is ignored and logged.
set_server_faults 1 'shed_pct=20&backoff_odd=1'
sleep 5
before=$(server_stat 1 calls)
load 2 7
check "a malformed backoff is ignored" increased_by calls "$before" "$(server_stat 1 calls)" 40
check "a malformed backoff is logged" test "$(count_log_lines 'ev=347 ')" -ge 1
set_server_faults 1 'shed_pct=0&backoff_odd=0'

# All servers back off: calls are rejected early, with the time at which the
# first server returns.
rejected_early() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2) + 0
		}
		/ ev=412 .*why=servers backing off/ {
			n++
			late += field("ms") > 60 # held for a server that returns in time
			overdue = overdue || field("ms") > 100 * (field("sends") + 1) + 20
			no_time += field("retry_after_ms") <= 0 || field("retry_after_ms") > 3000
		}
		END {
			print n + 0 " refused, " late + 0 " after more than 60 ms, " no_time + 0 " without a retry time"
			exit !(n > 100 && late * 10 <= n && no_time == 0 && !overdue)
		}'
}
for i in 0 1 2; do set_server_faults $i 'shed_pct=100&backoff_milli=2000'; done
load 5 8
for i in 0 1 2; do set_server_faults $i 'shed_pct=0&backoff_milli=-1'; done
for i in 0 1 2; do check "all back off: server $i gets nothing during a backoff" backoff_respected $i; done
check "all back off: rejected early, with the time of the first return" rejected_early
sleep 3
load 3 9
check "all servers returned: calls are served" served_at_least 9 990

# One server announces in its responses that it drains, while its record doesn't
# say so; then the store is unreachable, and then the record expires.
set_server_faults 2 draining=1
load 3 10
set_store_faults down=silent
load 2 11
set_store_faults down=no
set_server_faults 2 unlisted=1
load 3 12
set_server_faults 2 unlisted=0
load 3 13
check "draining: gets no new request" drain_respected 2
check "draining: the other servers serve all calls" served_at_least 13 990
learned_from_peer=$(count_log_lines 'ev=346 .*by=peer')
check "draining: instances learn it from each other" test "$learned_from_peer" -ge 1

# After a restart it gets requests again.
kill -KILL "${pids[server2]}"
wait "${pids[server2]}" 2>/dev/null
start_server 2
sleep 3
set_server_faults 2 quiet=1
load 6 14
check "restarted server gets its share" increased_by calls 0 "$(server_stat 2 calls)" 75
check "no instance exited on its own" instances_running
check "no invariant violated" sh -c "! grep -l 'ev=900' $logs/*.log"
finish server-backoff
