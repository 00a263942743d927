#!/bin/bash
# End to end on loopback: the platform stand-in, six workers and two
# entries as separate processes. Checks a patch in force everywhere, a
# stale patch rejected, a lost acknowledgement resolved, a platform outage
# ridden out, a worker drained without new work, and the load tool's
# invariants. Every process started here is stopped here, by pid.
set -u
cd "$(dirname "$0")/.."
bin=./mimosapitch
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
	done
done
for e in e1 e2; do
	$bin entry --settings $ini --name $e 2>"$logs/entry-$e.log" &
	pids+=($!)
done
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
