#!/bin/bash
# Three instances; the first one by name, which reads the list of servers for
# all, stands still for 2 s. Just after it wakes, a server leaves without having
# reported that it drains: its entry is removed from the store, and it serves on
# for 3 s. No request that one of the two other instances was given may reach that
# server later than drainMs after the store has confirmed the removal. Seven rounds.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
N=3
ROUNDS=7
DRAIN_MS=2000
FREEZE_S=2
AFTER_WAKE_S=(0.02 0.03 0.02 0.05 0.02 0.00 0.02)
SERVE_S=3
route=work
. "$here/../small-2.sh"

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }

# Sends requests to one instance, one after the other, and writes a line for each.
send_requests() { # instance, seconds, file
	local end=$(($(now_ms) + $2 * 1000)) id n=0
	while (($(now_ms) < end)); do
		id=edge-$1-$BASHPID-$((n++))
		get "$(ip "$1")" $((port + 30)) "/$route/1" \
			"Attempt-Id: $id"$'\r\nDeadline-Remaining-Ms: 1500\r\n' |
			sed -n "1s/^HTTP[^ ]* \([0-9]*\).*/$id \1/p" >>"$3"
	done
}

servers=()
started=0
# Starts a server with a new id at a new address, in place of the given one.
start_server() { # place
	started=$((started + 1))
	perl "$here/server.pl" 127.0.0.1:$port 127.0.0.1:$((port + 9 + started)) \
		server-$started $SERVE_S "$dir/server-$started" 2>>"$dir/perl.log" &
	servers[$1]=$!
	pids+=($!)
	ids[$1]=server-$started
}

ids=()
write_deployment
$bin store --deployment "$ini" >"$dir/store.log" 2>&1 &
pids+=($!)
sleep 0.5
for i in 0 1 2; do start_server $i; done
$bin operator --deployment "$ini" --version 5 >"$dir/operator.log" 2>&1 || { note "no operator"; exit 2; }
sleep 0.5
for i in 0 1 2; do start_instance $i true; done
await_ready
sleep 5
late=0 late_rounds=0
for ((round = 1; round <= ROUNDS; round++)); do
	place=$((round % 3))
	id=${ids[$place]}
	for i in 1 2; do send_requests $i 7 "$dir/answers-$round" & senders[$i]=$!; done
	sleep 1
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill -STOP "${instances[0]}"
		note "round $round: edge-0 stands still"
	fi
	sleep $FREEZE_S
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill -CONT "${instances[0]}"
		note "round $round: edge-0 goes on"
	fi
	sleep "${AFTER_WAKE_S[$((round - 1))]}"
	kill -TERM "${servers[$place]}"
	wait "${senders[1]}" "${senders[2]}"
	gone=$(awk '$2 == "gone" && $3 == 200 {print $1}' "$dir/$id")
	[ -n "$gone" ] || { note "round $round: the removal of $id wasn't confirmed"; exit 2; }
	n=$(awk -v t=$((gone + DRAIN_MS)) '$2 == "request" && $1 > t' "$dir/$id" | wc -l)
	last=$(awk -v t="$gone" '$2 == "request" {m = $1 - t} END {print m + 0}' "$dir/$id")
	note "round $round: $(wc -l <"$dir/answers-$round") answers, by status:" \
		"$(awk '{print $2}' "$dir/answers-$round" | sort | uniq -c | awk '{printf "%s: %s  ", $2, $1}')"
	note "round $round: $id gone; the last request reached it $last ms later; $n later than $DRAIN_MS ms"
	awk -v t="$gone" -v d=$DRAIN_MS '$2 == "request" && $1 > t + d {printf "  %s reached it %d ms after the confirmation\n", $3, $1 - t}' \
		"$dir/$id" >>"$record"
	ok=$(awk '$2 == 200' "$dir/answers-$round" | wc -l)
	((ok >= 50)) || { note "round $round: only $ok requests were served"; exit 2; }
	late=$((late + n))
	((n)) && late_rounds=$((late_rounds + 1))
	start_server $place
	sleep 5
done
note "$late requests in $late_rounds of $ROUNDS rounds came later than drainMs"
if ((late)); then
	note "DRAIN broken"
	exit 1
fi
note "DRAIN held"
exit 0
