#!/bin/bash
# End to end on loopback: the platform stand-in, six workers and two
# entries as separate processes. Checks a patch in force everywhere, a
# stale patch rejected, a lost acknowledgement resolved, a platform outage
# ridden out, a worker drained without new work, and the load tool's
# invariants. Every process started here is stopped here, by pid.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-./mimosapitch}
ini=tests/e2e.ini
logs=$(mktemp -d)
pids=()
fails=0
stop_all() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
}
trap stop_all EXIT
check() { # name, command...
	local name=$1
	shift
	if "$@" >>"$logs/steps.log" 2>&1; then
		echo "ok   $name"
	else
		echo "FAIL $name (exit $?)"
		fails=$((fails + 1))
	fi
}
expect_exit() { # code, command...
	local want=$1
	shift
	"$@"
	[ $? -eq "$want" ]
}
fault() {
	curl -s -m 2 -X POST -d "$1" http://127.0.0.1:18000/v1/faults >/dev/null
}

$bin platform --settings $ini 2>"$logs/platform.log" &
pids+=($!)
sleep 0.2
for svc in harta becas-pagos; do
	for i in 0 1 2; do
		$bin worker --settings $ini --service $svc --index $i --seed 11 \
			2>"$logs/worker-$svc-$i.log" &
		pids+=($!)
		[ "$svc-$i" = harta-2 ] && drain_pid=$!
		[ "$svc-$i" = becas-pagos-2 ] && kill_pid=$!
	done
done
start_entry() {
	$bin entry --settings $ini --name "$1" 2>>"$logs/entry-$1.log" &
	pids+=($!)
	eval "pid_$1=$!"
}
start_entry e1
start_entry e2
ran_count() { # how many times the becas-pagos workers ran key $1
	for port in 18380 18381 18382; do
		curl -s -m 2 http://127.0.0.1:$port/v1/stats
	done | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | awk '{s+=$1} END {print s+0}'
}
call_key() { # entry port, key: prints the outcome header
	curl -s -m 3 -o /dev/null -D - -X POST -H 'X-Tenant: semillero' \
		-H "X-Request-Id: r-$2-$RANDOM" -H "Idempotency-Key: $2" \
		http://127.0.0.1:$1/v1/call/becas-pagos | tr -d '\r' |
		awk -F': ' 'tolower($1)=="x-outcome"{print $2}'
}
sleep 1.5

check "patch in force on every entry" $bin ctl --settings $ini patch --base 0 policy=p2c --wait
check "stale patch rejected" expect_exit 1 $bin ctl --settings $ini patch --base 0 policy=rr
check "load: invariants hold" $bin load --settings $ini --seconds 3 --rate 200 --seed 1

fault '{"drop_ack_pct":100}'
check "lost ack resolved by id" $bin ctl --settings $ini patch drain.none=true
fault '{"drop_ack_pct":0}'
check "lost ack applied once" sh -c "$bin ctl --settings $ini show | grep -q 'live version 2$'"

fault '{"outage":true}'
check "outage: patch not sent" expect_exit 3 $bin ctl --settings $ini patch x=1
check "outage: calls still served" $bin load --settings $ini --seconds 2 --rate 100 --seed 2
fault '{"outage":false}'
check "after outage: version kept" sh -c "$bin ctl --settings $ini show | grep -q 'live version 2$'"

first=$(call_key 18101 dup-1)
second=$(call_key 18101 dup-1)
check "duplicate key: first done" test "$first" = done
check "duplicate key: answered done again" test "$second" = done
check "duplicate key: ran once" test "$(ran_count dup-1)" = 1

$bin load --settings $ini --seconds 4 --rate 150 --seed 4 >"$logs/stop.txt" 2>&1 &
load_pid=$!
sleep 1.5
kill -TERM "$pid_e2"
wait "$pid_e2"
wait $load_pid
check "planned stop of an entry: load invariants" test $? -eq 0
check "planned stop of an entry: no call cut" grep -q 'calls cut in flight 0$' "$logs/stop.txt"
start_entry e2
sleep 1
check "restarted entry takes the version in force" $bin ctl --settings $ini patch restart.seen=true --wait

kill -STOP "$pid_e1"
(sleep 2; kill -CONT "$pid_e1") &
cont_pid=$!
check "frozen entry catches up after SIGCONT" $bin ctl --settings $ini patch frozen.seen=true --wait
wait $cont_pid

$bin load --settings $ini --seconds 3 --rate 150 --seed 5 >"$logs/kill.txt" 2>&1 &
load_pid=$!
sleep 1
kill -KILL "$pid_e1"
wait $load_pid
check "entry killed under load: invariants hold" test $? -eq 0
start_entry e1
sleep 1

kill -KILL "$kill_pid"
check "worker killed: protected calls still at most once" $bin load --settings $ini --seconds 4 --rate 150 --seed 6 --tenant semillero
check "worker killed: off the list after its TTL" grep -q 'worker becas-pagos-2 off the list' "$logs/entry-e2.log"

kill -TERM "$drain_pid"
check "drain: load while a worker leaves" $bin load --settings $ini --seconds 6 --rate 200 --seed 3 --tenant strada
wait "$drain_pid"
check "drain: no new work after leaving" grep -q ' 0 late after leaving' "$logs/worker-harta-2.log"
check "no invariant broken in any log" sh -c "! grep -l 'ev=900' $logs/*.log"

if [ $fails -ne 0 ]; then
	echo "e2e: $fails step(s) failed; logs in $logs"
	tail -n 30 "$logs/steps.log"
	exit 1
fi
rm -rf "$logs"
exit 0
