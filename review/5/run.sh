#!/bin/bash
# Three instances; the first one by name, which reads the list of servers for
# all, stands still for 2 s. Just after it wakes, a server leaves without having
# reported that it drains: its entry is removed from the store, and it serves on.
# The two instances that nothing happened to must not send it anything later than
# drainMs after the removal was confirmed. Six rounds.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
N=3
DRAIN_MS=2000
FREEZE_MS=2000
AFTER_WAKE_MS=50
. "$here/../small-2.sh"

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
pause_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }

# Sends requests to one instance, one after the other, and writes a line for each
# answer: when it was sent, the instance, the status and the server that ran it.
send_requests() { # instance, seconds, file
	local end=$(($(now_ms) + $2 * 1000)) sent answer
	while (($(now_ms) < end)); do
		sent=$(now_ms)
		answer=$(get "$(ip "$1")" $((port + 30)) /work/1 \
			"Attempt-Id: a$1-$RANDOM$RANDOM$RANDOM"$'\r\nDeadline-Remaining-Ms: 1500\r\n')
		echo "$sent edge-$1 $(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' <<<"$answer") $(
			grep -o '"backend":"[^"]*"' <<<"$answer" | cut -d'"' -f4)" >>"$3"
	done
}

# Sends a POST without an answer's body to a stand-in on 127.0.0.1.
post() { # port, target, body as printf takes it, its length
	local fd
	exec {fd}<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'POST %s HTTP/1.1\r\nHost: stand\r\nContent-Length: %d\r\nConnection: close\r\n\r\n' "$2" "$4" >&"$fd"
	printf "$3" >&"$fd"
	timeout 2 head -n 1 <&"$fd" | tr -d '\r\n'
	exec {fd}>&-
}

# Removes a server's entry, as the store does once a server has left.
remove_entry() { # id
	local n=$((1 + ${#1})) head
	head=$(printf '\\x00\\x00\\x00\\x%02x\\x%02x' $n ${#1})
	post "$port" "/stand/append?topic=keyed.servers&part=0" "$head$1" $((4 + n))
}

set_server() { post $((port + 10 + $1)) "/stand/faults?$2" "" 0 >/dev/null; }

# Prints the id of a server, which it names in its health answers.
server_id() { # server
	get 127.0.0.1 $((port + 10 + $1)) /health | tr -d '\r' | sed -n 's/^Instance-Id: //p'
}

start_system
await_ready
for i in 0 1 2; do set_server $i quiet=1; done
sleep 5
late=0 late_rounds=0
for round in 1 2 3 4 5 6; do
	server=$((round % 3))
	id=$(server_id $server)
	[ -n "$id" ] || { note "server $server gives no id"; exit 2; }
	answers=$dir/answers-$round
	: >"$answers"
	for i in 1 2; do send_requests $i 7 "$answers" & senders[$i]=$!; done
	sleep 1
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill -STOP "${instances[0]}"
		note "round $round: edge-0 stands still"
	fi
	pause_ms $FREEZE_MS
	if [ "${TROUBLE:-1}" != 0 ]; then
		kill -CONT "${instances[0]}"
		note "round $round: edge-0 goes on"
	fi
	pause_ms $AFTER_WAKE_MS
	set_server $server unlisted=1
	status=$(remove_entry "$id")
	removed=$(now_ms)
	[[ $status == *" 200 "* ]] || { note "the store answered: $status"; exit 2; }
	note "round $round: entry of $id removed and confirmed"
	wait "${senders[1]}" "${senders[2]}"
	while read -r sent instance code by; do
		note "sent $((sent - removed)) ms after the removal to $instance: $code by $by"
	done < <(sort -n "$answers" | awk -v id="$id" -v t="$removed" '$4 == id && $1 > t') >/dev/null
	n=$(awk -v id="$id" -v t=$((removed + DRAIN_MS)) '$4 == id && $1 > t' "$answers" | wc -l)
	last=$(awk -v id="$id" -v t="$removed" '$4 == id {m = $1 - t} END {print m + 0}' < <(sort -n "$answers"))
	note "round $round: $(wc -l <"$answers") requests; the last one to $id was sent $last ms after the removal; $n later than $DRAIN_MS ms"
	late=$((late + n))
	((n)) && late_rounds=$((late_rounds + 1))
	set_server $server unlisted=0
	sleep 5
done
note "$late requests in $late_rounds of 6 rounds came later than drainMs"
if ((late)); then
	note "DRAIN broken"
	exit 1
fi
note "DRAIN held"
exit 0
