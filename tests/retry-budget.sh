#!/bin/bash
# Regression test: the sends beyond the first of their request, of all instances.
#
# What users saw: 495 of them in 10 s for 2,063 requests, where 473 are allowed,
# while servers turned requests away.
# Order of events: servers begin to refuse, every instance sends what it may; some
# are stopped, killed and started anew, and have their part once more.
# Cause and evidence: tests/test_budget.c. Here with processes: where each instance
# had an equal part of the slack the worst window held 233 to 239 sends and 200 were
# allowed; now 112 to 114 (three plays each).
#
# Played here: a store, three servers of which two refuse all they get, four
# instances under load, and every 0.7 s one of them is killed or stopped and
# starts anew. Each window of the rule is counted from the instances' own lines,
# and all of them together against what the servers got.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
ini=$logs/deployment.ini
SECONDS_OF_LOAD=20
RATE=150 # calls a second
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

stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT
start_entry() { # name
	$bin entry --deployment "$ini" --name "$1" >>"$logs/entry-$1.log" 2>&1 &
	pids[$1]=$!
}
restart() { # signal, name
	kill "-$1" "${pids[$2]}"
	wait "${pids[$2]}" 2>/dev/null
	start_entry "$2"
}
# "r TIME" for each request that an instance got, "e TIME" for each extra send.
events() {
	cat "$logs"/entry-*.log | awk '
		function field(name) {
			match($0, " " name "=[-0-9.]+")
			return substr($0, RSTART + length(name) + 2, RLENGTH - length(name) - 2)
		}
		/^ts=/ {t = substr($1, 4)}
		/ ev=419 / {printf "e %.3f\n", t}
		/ ev=41[123] / {printf "r %.3f\n", t - field("ms") / 1000}' | sort -k2n
}
# No window holds more extra sends than the rule allows: RATIO SLACK WINDOW_S
within_rule() {
	events | awk -v ratio="$1" -v slack="$2" -v len="$3" '
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
					text = sprintf("%d sends for %d requests, %.0f allowed", k - i, most, ratio * most + slack)
				}
			}
			print "worst window: " text
			exit !(ne > 0 && worst <= 0)
		}'
}
# What servers got is what instances say they sent.
all_accounted() {
	local got=0 port first extra
	for port in 11300 11301 11302; do
		got=$((got + $(curl -s -m 2 "http://127.0.0.1:$port/stand/stats" |
			awk '$1 == "calls" {print $2}')))
	done
	first=$(cat "$logs"/entry-*.log | grep -c 'ev=410 .* send=1 ')
	extra=$(cat "$logs"/entry-*.log | grep -c 'ev=419 ')
	echo "servers got $got, sent $first first and $extra extra"
	# Lines that a killed process still held are lost with it.
	((extra > 0 && got <= first + extra + KILLS && got >= first + extra - KILLS))
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
$bin load --deployment "$ini" --seconds $SECONDS_OF_LOAD --rate $RATE --seed 5 >"$logs/load.txt" 2>&1 &
load_pid=$!
sleep 8
for port in 11300 11301; do
	curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?shed=1" >/dev/null
done
KILLS=0
end=$((SECONDS + SECONDS_OF_LOAD - 9))
while ((SECONDS < end)); do
	e=e$((1 + RANDOM % 4))
	if ((RANDOM % 3)); then
		restart KILL $e
		KILLS=$((KILLS + 1))
	else
		restart TERM $e
	fi
	sleep 0.7
done
wait $load_pid
check "nothing twice, no false 'not run', no foreign answer" test $? -eq 0
rule=$(cat "$logs"/entry-*.log | grep -m1 'ev=100 ' | sed -E 's/.* retry=([0-9.]+)x\+([0-9.]+)\/([0-9.]+)s.*/\1 \2 \3/')
check "the sum over all instances keeps to the rule" within_rule $rule
check "all sends are accounted for" all_accounted
check "no invariant broken" sh -c "! grep -l 'ev=900' $logs/*.log"
cat "$logs/checks.log"
if ((fails)); then
	echo "retry-budget: $fails check(s) failed; logs in $logs"
	exit 1
fi
echo "retry-budget: ok, $KILLS kills"
stop_all
rm -rf "$logs"
exit 0
