#!/bin/bash
# An instance that carries an answer for another one is killed. See claim.txt.
cd "$(dirname "$0")/../.."
. review/lib.sh
trouble=${TROUBLE:-1}
rounds=4
whole=2000  # bytes of the server's body
find_ms=3000 # for the way around a cut, which lasts less than 5 s
review_begin "$PWD/review/1/record.txt"
review_deployment "[service.harta]
tenant = strada
workers = 1
slots = 8
base_port = $base_port
work_ms = 4
dcs = hala-cluj
[service.rezervari]
tenant = strada
workers = 4
slots = 2
base_port = $((base_port + 10))
work_ms = 4
protected = true
dcs = hala-cluj"
review_store
for i in 0 1 2 3; do review_backend rezervari $i; done
# The one server of harta. Its answers have no length and end with their
# connection; their second half follows 0.4 s after the first.
touch "$work/pids" "$work/cut"
review_worker 1 i-harta-1 halves_ms=400 pids="$work/pids" cut="$work/cut"
review_list harta i-harta-1 "$(review_ip 101)"
review_route harta idempotent 1000 200
write_pids() { for i in 1 2 3 4; do echo "${pids[e$i]}"; done >"$work/pids"; }
for i in 1 2 3 4; do review_instance $i true; done
write_pids
for i in 1 2 3 4; do review_wait_ready $i; done
sleep 1

# Sends a request to instance 1 in the background.
send() { # attempt
	printf 'GET /book/%s HTTP/1.1\r\nHost: harta.example\r\nAttempt-Id: %s\r\nDeadline-Remaining-Ms: 1200\r\nConnection: close\r\n\r\n' \
		"$1" "$1" >"$work/request-$1"
	review_note "sent: GET /book/$1 id=$1 to instance 1"
	review_exchange "$(review_ip 1)" 8381 3 "$work/request-$1" >"$work/answer-$1" &
	sender=$!
}

# Notes an answer; sets its status, the length it gives and that of its body.
read_answer() { # attempt
	wait "$sender"
	status=$(head -1 "$work/answer-$1" | tr -d '\r' | cut -d' ' -f2)
	length=$(tr -d '\r' <"$work/answer-$1" | sed -n 's/^Content-Length: //p')
	body=$(tr -d '\r' <"$work/answer-$1" | sed '1,/^$/d' | wc -c)
	review_note "answered: id=$1 status=${status:--} Content-Length=${length:--} body=$body of $whole bytes"
	[ "$status" = 200 ] || return 0
	served=$((served + 1))
	((body == whole)) || broken=$((broken + 1))
}

# Waits until the server runs an attempt; sets the instance that it came from.
find_carrier() { # attempt
	local i
	for ((i = 0; i < 60; i++)); do
		carrier=$(sed -n "s/.* run $1 GET .* from //p" "$work/worker-1.log")
		[ "$carrier" ] && return
		sleep 0.01
	done
}

# Sends requests until one is served, for so long; fails if none is.
send_until_served() { # name, ms
	local i end=$(($(date +%s%3N) + $2))
	for ((i = 1; $(date +%s%3N) < end; i++)); do
		send "$1-$i"
		read_answer "$1-$i"
		[ "$status" = 200 ] && return
		sleep 0.1
	done
	return 1
}

broken=0
served=0
kills=0
send_until_served start 10000 || review_end 2
for ((round = 1; round <= rounds; round++)); do
	id=round-$round
	if ((trouble)); then
		echo 1 >"$work/cut"
		review_note "instance 1 is cut off from the server of harta: its connections are reset"
	fi
	if send_until_served "way-$round" $find_ms; then
		send "$id"
		find_carrier "$id"
		review_note "the server runs id=$id, from instance ${carrier:--}"
		if ((trouble && ${carrier:-0} > 1)); then
			sleep 0.1
			kill -KILL "${pids[e$carrier]}"
			wait "${pids[e$carrier]}" 2>/dev/null
			kills=$((kills + 1))
			review_note "instance $carrier is killed, while half of the answer is out"
		fi
		read_answer "$id"
	fi
	if ((trouble)); then
		: >"$work/cut"
		review_note "the cut is over"
	fi
	if ((trouble && ${carrier:-0} > 1)); then
		review_instance "$carrier" false
		write_pids
		review_wait_ready "$carrier"
	fi
	sleep 1
	send_until_served "after-$round" 5000 || review_end 2
done
review_note "successes: $served, with a part of the server's body: $broken, instances killed: $kills"
((trouble ? kills : served == 3 * rounds + 1)) || review_end 2
((broken == 0)) || review_end 1
review_end 0
