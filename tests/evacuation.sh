#!/bin/bash
# Regression test: a cold server must not get more than it tolerates, summed
# over all instances, while these are killed; an evacuated data centre's servers
# must get nothing, also from instances that start while the store is down. The
# simulated servers check and count what they get.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=15000 ENTRIES=10 RATE=150 TTL_MS=3000 ENTRY_OPTIONS=--from-operator
DCS=hala-cluj,hala-sibiu COLD_PER_S=5
. tests/small_system.sh
RANDOM=31
IN_FORCE_S=2 # an evacuation is in force by then, with the store well

operator() { $bin operator --deployment "$ini" "$@"; }
# Sets or clears simulated faults of the store.
set_store_faults() { curl -s -m 2 -X POST "http://127.0.0.1:$BASE_PORT/stand/faults?$1" >/dev/null; }
# Calls some instances for some seconds, RATE calls per second in all, and
# writes the statuses to statuses-LABEL.
call() { # seconds, label, instances
	local i k per_s=$((RATE / ENTRIES)) started=()
	for i in $3; do
		for ((k = 0; k < $1 * per_s; k++)); do
			((k)) && echo next
			printf 'url = "http://127.0.0.1:%d/work/x"\nheader = "Host: harta.example"\nheader = "Attempt-Id: %s-%d-%d"\nheader = "Deadline-Remaining-Ms: 900"\noutput = /dev/null\nwrite-out = "%%{http_code} %%{time_total}\\n"\n' \
				$((BASE_PORT + 1100 + i)) "$2" $i $k
		done >"$logs/calls-$i"
		curl -s -m 2 --rate $per_s/s -K "$logs/calls-$i" >"$logs/statuses-$2-$i" &
		started+=($!)
	done
	wait "${started[@]}"
	cat "$logs"/statuses-$2-* >"$logs/statuses-$2"
}
# Succeeds if the given share of the calls was served.
served() { # label, minimum per 1,000
	awk -v min="$2" '{n++; ok += $1 == 200} END {print ok " of " n " served"; exit !(n && ok * 1000 >= min * n)}' "$logs/statuses-$1"
}
# Succeeds if a cold server's busiest second kept to what it tolerates.
within_bound() { # server
	local worst allowed got
	worst=$(server_stat "$1" cold_worst) allowed=$(server_stat "$1" cold_allowed) got=$(server_stat "$1" cold_got)
	echo "server $1: worst second $worst of $allowed allowed, $got in all"
	awk -v w="$worst" -v a="$allowed" 'BEGIN {exit !(a > 0 && w <= a)}'
}
got_between() { # requests, minimum, maximum
	echo "got $1 requests"
	(($1 >= $2 && $1 <= $3))
}
all=$(seq 0 $((ENTRIES - 1)))

start_system
operator --version 3
sleep 1

# Two of three servers turn cold again and again while instances are killed.
call 8 cold "$(seq 0 7)" &
calls=$!
for _ in 1 2 3 4; do
	set_server_faults 0 cold_ms=1800
	set_server_faults 2 cold_ms=1200
	kill_and_restart $((8 + RANDOM % 2))
	sleep 2
done
wait $calls
for i in 0 2; do
	check "cold: server $i keeps to what it tolerates" within_bound $i
done
check "cold: calls are served" served cold 980

# Warm again: it gets its part.
before=$(server_stat 0 calls)
call 3 warm "$all"
check "warm: it gets its part" got_between $(($(server_stat 0 calls) - before)) 50 400

# Prints the requests, or the probes, that the servers in hala-cluj got.
cluj_calls() { echo $(($(server_stat 0 calls) + $(server_stat 2 calls))); }
cluj_probes() { echo $(($(server_stat 0 probes) + $(server_stat 2 probes))); }

# An evacuation; an instance is killed and starts while the store is silent.
operator --evacuate hala-cluj
operator --evacuate nowhere
sleep $IN_FORCE_S
before=$(cluj_calls)
probes=$(cluj_probes)
set_store_faults down=silent
kill_and_restart 9
sleep 1
call 3 evacuated "$all"
set_store_faults down=no
check "evacuated: its servers get nothing" got_between $(($(cluj_calls) - before)) 0 0
check "evacuated: few probes" got_between $(($(cluj_probes) - probes)) 0 5
check "evacuated: calls are served" served evacuated 980

# Evacuated twice, and the store forgets its history.
operator --evacuate hala-cluj
set_store_faults forget=1
sleep 2
before=$(cluj_calls)
call 2 again "$all"
check "evacuated again: its servers get nothing" got_between $(($(cluj_calls) - before)) 0 0

# Both data centres: calls are refused at once.
operator --evacuate hala-sibiu
sleep $IN_FORCE_S
call 2 both "$all"
refused_at_once() {
	awk '{n++; bad += $1 != 503 || $2 > 0.1} END {print bad " of " n " not refused at once"; exit !(n && bad * 50 <= n)}' "$logs/statuses-both"
}
check "all evacuated: calls are refused at once" refused_at_once

# One is taken back; its servers have turned cold meanwhile.
set_server_faults 0 cold_ms=6000
set_server_faults 2 cold_ms=6000
operator --restore hala-cluj
before=$(server_stat 0 cold_got)
call 4 cold-only "$all"
for i in 0 2; do
	check "taken back: server $i, still cold, keeps to what it tolerates" within_bound $i
done
check "taken back: at least half of what it tolerates" got_between $(($(server_stat 0 cold_got) - before)) $((4 * COLD_PER_S / 2)) 1000
sleep 3
before=$(cluj_calls)
call 2 back "$all"
check "taken back: its servers get their part" got_between $(($(cluj_calls) - before)) 250 400
check "taken back: calls are served" served back 980
check "no instance exited on its own" instances_running
check "no invariant violated" sh -c "! grep -l 'ev=900' $logs/*.log"
finish evacuation
