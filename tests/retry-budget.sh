#!/bin/bash
# Regression test: all instances together must keep to the retry budget, the
# limit on extra attempts, which are those beyond a request's first.
#
# Failure: 495 extra attempts in 10 s for 2,063 requests, where 473 are allowed,
# while servers rejected requests. Sequence: servers begin to reject requests,
# and every instance spends its share of the budget. Instances that are stopped
# or killed get their share again when they restart. Cause and evidence:
# tests/test_budget.c. In this test, with an equal part of the slack for each
# instance, the worst window held 233 to 239 extra attempts where 200 were
# allowed; since the fix 112 to 114 (three runs each).
#
# Setup: a store, three servers of which two reject every request, and four
# instances under load, one of which is killed or stopped and restarted every
# 0.7 s. The test counts each window from the instances' logs, and compares the
# total with what the servers got.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
ini=$logs/deployment.ini
LOAD_S=20
RATE=150 # calls per second
declare -A pids
RANDOM=22

cat >"$ini" <<'INI'
[platform]
listen = 127.0.0.1:11000
append_limit_per_s = 300
member_ttl_ms = 3000
[entry]
platform = 127.0.0.1:11000
[entry.e1]
listen = 127.0.0.1:11101
dc = hala-cluj
[entry.e2]
listen = 127.0.0.1:11102
dc = hala-cluj
[entry.e3]
listen = 127.0.0.1:11103
dc = hala-cluj
[entry.e4]
listen = 127.0.0.1:11104
dc = hala-cluj
[service.harta]
tenant = strada
workers = 3
slots = 8
base_port = 11300
work_ms = 4
dcs = hala-cluj
INI

# Kills all processes that the test started.
stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT
# Starts an instance.
start_entry() { # name
	$bin entry --deployment "$ini" --name "$1" >>"$logs/entry-$1.log" 2>&1 &
	pids[$1]=$!
}
# Ends an instance with a signal and starts it again.
restart_entry() { # signal, name
	kill "-$1" "${pids[$2]}"
	wait "${pids[$2]}" 2>/dev/null
	start_entry "$2"
}
# Prints "r TIME" for each request that an instance got, "e TIME" for each extra
# attempt.
request_events() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2)
		}
		/^ts=/ {t = substr($1, 4)}
		/ ev=419 / {printf "e %.3f\n", t}
		/ ev=41[123] / {printf "r %.3f\n", t - field("ms") / 1000}' | sort -k2n
}
# Succeeds if no window holds more extra attempts than the budget allows.
within_budget() { # ratio, slack, window in seconds
	request_events | awk -v ratio="$1" -v slack="$2" -v len="$3" '
		$1 == "r" {r[++nr] = $2}
		$1 == "e" {e[++ne] = $2}
		function count(from,    i, n) {
			for (i = 1; i <= nr; i++)
				n += r[i] >= from && r[i] < from + len
			return n
		}
		END {
			for (i = 1; i <= ne; i++) {
				for (k = i; k <= ne && e[k] < e[i] + len; k++);
				most = 0
				for (back = 0; back <= len; back += len / 2) {
					n = count(e[i] - back)
					most = n > most ? n : most
				}
				over = k - i - ratio * most - slack
				if (i == 1 || over > worst) {
					worst = over
					text = sprintf("%d extra attempts for %d requests, %.0f allowed", k - i, most, ratio * most + slack)
				}
			}
			print "worst window: " text
			exit !(ne > 0 && worst <= 0)
		}'
}
# Succeeds if the servers got as many requests as the instances logged attempts.
all_attempts_logged() {
	local got=0 port first extra
	for port in 11300 11301 11302; do
		got=$((got + $(curl -s -m 2 "http://127.0.0.1:$port/stand/stats" |
			awk '$1 == "calls" {print $2}')))
	done
	first=$(cat "$logs"/entry-*.log | grep -c 'ev=410 .* send=1 ')
	extra=$(cat "$logs"/entry-*.log | grep -c 'ev=419 ')
	echo "servers got $got; logged: $first first and $extra extra attempts"
	# A killed process loses log lines that it hasn't written yet.
	((extra > 0 && got <= first + extra + kills && got >= first + extra - kills))
}

$bin store --deployment "$ini" 2>"$logs/store.log" &
pids[store]=$!
sleep 0.2
for i in 0 1 2; do
	$bin backend --deployment "$ini" --service harta --index $i --seed 5 2>"$logs/server-$i.log" &
	pids[server$i]=$!
done
for e in e1 e2 e3 e4; do start_entry $e; done
sleep 3
$bin load --deployment "$ini" --seconds $LOAD_S --rate $RATE --seed 5 >"$logs/load.txt" 2>&1 &
load_pid=$!
sleep 8
for port in 11300 11301; do
	curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?shed=1" >/dev/null
done
kills=0
end=$((SECONDS + LOAD_S - 9))
while ((SECONDS < end)); do
	e=e$((1 + RANDOM % 4))
	if ((RANDOM % 3)); then
		restart_entry KILL $e
		kills=$((kills + 1))
	else
		restart_entry TERM $e
	fi
	sleep 0.7
done
wait $load_pid
check "no duplicate run, no false 'not run', no mismatched response" test $? -eq 0
budget=$(cat "$logs"/entry-*.log | grep -m1 'ev=100 ' | sed -E 's/.* retry=([0-9.]+)x\+([0-9.]+)\/([0-9.]+)s.*/\1 \2 \3/')
check "the sum over all instances keeps to the retry budget" within_budget $budget
check "all attempts are logged" all_attempts_logged
check "no invariant violated" sh -c "! grep -l 'ev=900' $logs/*.log"
cat "$logs/checks.log"
if ((fails)); then
	echo "retry-budget: $fails check(s) failed; logs in $logs"
	exit 1
fi
echo "retry-budget: ok, $kills kills"
stop_all
rm -rf "$logs"
exit 0
