#!/bin/bash
# A store that comes back from a copy: versions confirmed before, during and after it are
# in force in time, none goes back, servers that left go and those that joined stay.
# What counts is how instances handle requests, and what servers get.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
BASE_PORT=${BASE_PORT:-9500} ENTRIES=${ENTRIES:-6} RATE=100 TTL_MS=4000 ENTRY_OPTIONS=--from-operator
. tests/small_system.sh
APPLY_S=2 # a confirmed version is in force after so long

store_fault() { curl -s -m 2 -X POST "http://127.0.0.1:$BASE_PORT/stand/faults?$1" >/dev/null; }
write_version() { $bin operator --deployment "$ini" --version "$1"; }
status_at() { # instance, host, path
	curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: $2" -H "Attempt-Id: a-$RANDOM$RANDOM" \
		-H 'Deadline-Remaining-Ms: 1500' "http://127.0.0.1:$((BASE_PORT + 1100 + $1))$3"
}
handled_by() { # version: all instances that run handle requests by it, and by no other
	local i status bad=0
	for ((i = 0; i < ENTRIES; i++)); do
		status=$(status_at $i newest.example "/v$1/x")
		[ "$status" = 200 ] || { bad=1; echo "e$i: $status for version $1"; }
	done
	return $bad
}
metric() { # instance, name
	curl -s -m 2 "http://127.0.0.1:$((BASE_PORT + 4100 + $1))/metrics" | awk -v n="$2" '$1 == n {print $2}'
}
calls_to_store() {
	local i sum=0
	for ((i = 0; i < ENTRIES; i++)); do sum=$((sum + $(metric $i store_calls))); done
	echo $sum
}
servers_known() { # how many: by all instances
	local i n bad=0
	for ((i = 0; i < ENTRIES; i++)); do
		n=$(metric $i 'service_backends{service="harta"}')
		[ "$n" = "$1" ] || { bad=1; echo "e$i: $n servers"; }
	done
	return $bad
}
restore() { # what becomes of reads that wait, seconds away
	store_fault down=reset
	sleep "$2"
	store_fault "restore=$1&down=no"
}
write_entry() { write_record keyed.servers "$@"; }
write_record() { # topic, key, value's file
	local topic=$1
	shift
	local n=$((1 + ${#1} + $(stat -c %s "$2")))
	{ printf "$(printf '\\x%02x\\x%02x\\x%02x\\x%02x\\x%02x' $((n >> 24 & 255)) $((n >> 16 & 255)) $((n >> 8 & 255)) $((n & 255)) ${#1})$1"
		cat "$2"; } | curl -s -m 2 -X POST --data-binary @- \
		"http://127.0.0.1:$BASE_PORT/stand/append?topic=$topic&part=0" >/dev/null
}
server_id() { grep -ho 'backend=harta-'"$1"'-[^ ]*' "$logs"/entry-0.log | tail -n 1 | cut -d= -f2; }
unset -f stat # the file's size is wanted, not a server's figures
never_back() { # in each lifetime of each instance
	awk 'FNR == 1 {v = 0} / ev=100 / {v = 0}
		/ ev=200 / {match($0, /version=[0-9]+/); n = substr($0, RSTART + 8, RLENGTH - 8) + 0
			if (n < v) {print FILENAME ": " $0; bad = 1}; v = n}
		END {exit bad}' "$logs"/entry-*.log
}
play() { # name; the first version to write: called when the store is back from a copy
	local what=$1 v=$2
	write_version "$v"
	sleep $APPLY_S
	check "$what: a version that is written then is in force" handled_by "$v"
	write_version $((v + 1))
	sleep $APPLY_S
	check "$what: and the next" handled_by $((v + 1))
}

start_system
store_fault changes_only=1
write_version 3
sleep $APPLY_S
check "calm: in force" handled_by 3

# What is written after the copy is lost; the version that is written again stands lower.
store_fault copy=1
for v in 4 5 6; do write_version $v; sleep 0.3; done
restore reset 0.6
sleep 1
check "back from a copy: versions that were confirmed before stay in force" handled_by 6
play "back from a copy" 7

# A version confirmed right before: whoever has it, all have it, and it stays.
store_fault copy=1
write_version 9
sleep 0.1
store_fault restore=reset
sleep $APPLY_S
check "confirmed right before: in force" handled_by 9
play "confirmed right before" 10

# Reads that wait are never answered, or by the next era.
for how in silent answer; do
	v=$((v + 4))
	store_fault copy=1
	for k in 0 1 2; do write_version $((20 + v + k)); sleep 0.3; done
	store_fault restore=$how
	play "waiting reads: $how" $((24 + v))
done

# Two in a row, and an era that rises by more than one.
store_fault copy=1
for v in 50 51 52; do write_version $v; sleep 0.3; done
store_fault restore=reset
sleep 0.3
store_fault 'restore=reset&era_skip=2'
play "two restores within 0.3 s" 53

# The new log has grown past all bookmarks before anybody reads.
store_fault copy=1
write_version 60
sleep 0.5
for ((i = 0; i < ENTRIES; i++)); do kill -STOP "${pids[e$i]}"; done
store_fault restore=reset
for v in 61 62 63 64 65; do write_version $v; done
for ((i = 0; i < ENTRIES; i++)); do kill -CONT "${pids[e$i]}"; done
sleep $APPLY_S
check "grown past the bookmarks: in force" handled_by 65

# Instances are killed meanwhile, the readers first; one starts in between.
store_fault copy=1
for v in 70 71 72; do write_version $v; sleep 0.3; done
restore reset 0.3
restart 0
restart 1
sleep $APPLY_S
check "readers killed: they have what their peers have" handled_by 72
play "readers killed" 73

# Nobody has written again yet: an instance that starts knows only the copy and its peers.
store_fault copy=1
write_version 80
sleep 0.5
store_fault restore=reset
restart 3
none_404() { # from an instance that has just started, for a route that its peers know
	local k status bad=0
	for ((k = 0; k < 60; k++)); do
		status=$(status_at 3 newest.example /v80/x)
		[ "$status" != 404 ] || bad=$((bad + 1))
		sleep 0.03
	done
	echo "$bad of 60 answered 404"
	return $((bad > 0))
}
check "started in between: a route that its peers know gets no 404" none_404
sleep 1
check "started in between: it has what its peers have" handled_by 80

# An era that isn't named, or is none, changes nothing.
for named in none odd huge; do store_fault "era_named=$named"; sleep 1; done
store_fault era_named=ok
write_version 81
sleep $APPLY_S
check "bad values: versions go on" handled_by 81
check "bad values: told in a line" test "$(lines 'ev=303 ')" -ge 1

# A server that left in the lost seconds goes, also when it is removed a moment later;
# one that joined stays, though the copy lacks it.
check "servers: all are known" servers_known 3
store_fault copy=1
fault 2 unlisted=1
: >"$logs/empty"
write_entry "$(server_id 2)" "$logs/empty"
sleep 1
check "left: off the list" servers_known 2
store_fault restore=reset
sleep 1
check "left, listed in the copy: stays off" servers_known 2
write_entry "$(server_id 2)" "$logs/empty"
fault 2 unlisted=0
sleep 1.5
check "back: listed" servers_known 3
store_fault copy=1
sleep 1
store_fault restore=reset
sleep 0.3
fault 2 unlisted=1
write_entry "$(server_id 2)" "$logs/empty"
sleep $APPLY_S
check "removed a moment after: off the list" servers_known 2
store_fault copy=1
fault 2 unlisted=0
sleep 1.5
check "joined: listed" servers_known 3
store_fault restore=reset
known_all_along() { # count, times: asked every 0.1 s
	local k
	for ((k = 0; k < $2; k++)); do
		servers_known "$1" || return 1
		sleep 0.1
	done
}
check "joined, not in the copy: stays" known_all_along 3 9
check "joined, not in the copy: stays until it writes again" servers_known 3
sleep 3
check "joined, written again: stays" servers_known 3

# Draining that the copy knows nothing of holds.
store_fault copy=1
kill -TERM "${pids[server1]}"
sleep 1
drained_all() { [ "$(lines "ev=311 .*backend=harta-1-")" -ge $ENTRIES ]; }
check "drains: heard by all" drained_all
store_fault restore=reset
sent_to_1() { lines 'ev=410 .*backend=harta-1-'; }
before=$(sent_to_1)
for ((k = 0; k < 60; k++)); do status_at $((k % ENTRIES)) harta.example /work/x >/dev/null; done
check "drains: nothing new after the restore" test "$(sent_to_1)" -eq "$before"

# What instances wrote stands there again.
member_is_there() { curl -s -m 2 "http://127.0.0.1:$BASE_PORT/log-newest?topic=keyed.status&part=0" | LC_ALL=C grep -aq '.e5.value'; }
check "members: all are there" member_is_there
write_record keyed.status e5 "$logs/empty"
check "members: one is missing" eval '! member_is_there'
store_fault copy=1
store_fault restore=reset
sleep 4
check "members: written again" member_is_there
calm=$(calls_to_store)
sleep 4
calm=$(($(calls_to_store) - calm))
drill=$(calls_to_store)
store_fault copy=1
store_fault restore=reset
sleep 4
echo "store calls in 4 s: calm $calm, with a drill $(($(calls_to_store) - drill)), $ENTRIES instances"
check "versions never go back" never_back
store_lives() { kill -0 "${pids[store]}"; }
check "nothing ends by itself" all_run
check "the stand-in lives" store_lives
check "no invariant broken" sh -c "! grep -l 'ev=900' $logs/*.log"
finish store-restore
