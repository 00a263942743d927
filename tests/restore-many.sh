#!/bin/bash
# Regression test: a server whose removal is written right after the store was
# restored from a backup must be off the list of every instance in time, also in
# a system whose instances get most changes from a few that read the store.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=${BASE_PORT:-9500} ENTRIES=${ENTRIES:-24} SERVERS=${SERVERS:-2} RATE=100 TTL_MS=${TTL_MS:-5000} ENTRY_OPTIONS=--from-operator
. tests/small_system.sh
JOIN_S=5 # time after the start within which parts of the system find each other
APPLY_S=2 # time within which a confirmed change takes effect

set_store_faults() { curl -s -m 2 -X POST "http://127.0.0.1:$BASE_PORT/stand/faults?$1" >/dev/null; }
# Prints the number of servers that an instance lists.
listed_by() { # instance
	curl -s -m 2 "http://127.0.0.1:$((BASE_PORT + 4100 + $1))/metrics" |
		awk '$1 == "service_backends{service=\"harta\"}" {print $2}'
}
# Succeeds if every instance lists this number of servers.
all_list_servers() { # number
	local i n bad=0
	for ((i = 0; i < ENTRIES; i++)); do
		n=$(listed_by $i)
		[ "$n" = "$1" ] || bad=$((bad + 1))
	done
	echo "$bad of $ENTRIES instances list another number of servers than $1"
	return $((bad > 0))
}
# Kills a server and removes its record, which it can't do itself.
kill_server() { # server
	local id n
	id=$(grep -o 'backend harta-'"$1"'-[^ ]*' "$logs/server-$1.log" | tail -n 1 | cut -d' ' -f2)
	n=$((1 + ${#id}))
	kill -KILL "${pids[server$1]}"
	wait "${pids[server$1]}" 2>/dev/null
	unset "pids[server$1]"
	printf "$(printf '\\x%02x\\x%02x\\x%02x\\x%02x\\x%02x' 0 0 0 $n ${#id})$id" |
		curl -s -m 2 -X POST --data-binary @- \
			"http://127.0.0.1:$BASE_PORT/stand/append?topic=keyed.servers&part=0" >/dev/null
}

# Prints when the instances removed a server, in ms after its record was dropped.
removal_times() { # time of the drop in s
	cat "$logs"/entry-*.log | sed -n 's/^ts=\([0-9.]*\) .* ev=312 .*/\1/p' |
		awk -v t="$1" '$1 >= t {printf "%d\n", ($1 - t) * 1000}' | sort -n | tr '\n' ' '
}

# Succeeds if every instance knows all others.
all_know_each_other() {
	local i n bad=0
	for ((i = 0; i < ENTRIES; i++)); do
		n=$(sed -n 's/.* ev=322 .* instances=\([0-9]*\) .*/\1/p' "$logs/entry-$i.log" | tail -n 1)
		[ "$n" = "$ENTRIES" ] || bad=$((bad + 1))
	done
	echo "$bad of $ENTRIES instances don't know all others"
	return $((bad > 0))
}

start_system
sleep $JOIN_S
check "started at once: every instance knows all others" all_know_each_other
$bin operator --deployment "$ini" --version 3
sleep $APPLY_S
check "all servers are listed" all_list_servers 2
for play in "reset 0.3" "silent 0.3" "reset 0" "answer 0"; do
	read -r how gap <<<"$play"
	set_store_faults copy=1
	sleep 4
	set_store_faults restore=$how
	sleep "$gap"
	kill_server 0
	dropped_s=$(date +%s.%N)
	sleep $APPLY_S
	check "removed $gap s after the restore, reads: $how: off the list" all_list_servers 1
	echo "removed after ms: $(removal_times "$dropped_s")"
	start_server 0
	sleep 4
	check "started again: listed" all_list_servers 2
done
check "no instance exited on its own" instances_running
check "no invariant violated" sh -c "! grep -l 'ev=900' $logs/*.log"
finish restore-many
