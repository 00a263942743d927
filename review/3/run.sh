#!/bin/bash
# An instance that is asked to stop takes requests that it can't finish, and ends
# without an answer to them. See claim.txt.
cd "$(dirname "$0")/../.."
. review/lib.sh
trouble=${TROUBLE:-1}
late_ms=3000 # requests sent later than this after the SIGTERM have no excuse
review_begin "$PWD/review/3/record.txt"
review_deployment "[service.becas-pagos]
tenant = semillero
workers = 4
slots = 8
base_port = $base_port
work_ms = 4
protected = true
dcs = hala-cluj"
review_store
for i in 1 2 3 4; do
	review_worker $i i-becas-pagos-$i work_ms=2700
	review_list becas-pagos i-becas-pagos-$i "$(review_ip $((100 + i)))"
done
review_route becas-pagos non_idempotent 6000 1000
for i in 1 2 3; do review_instance $i true; done
for i in 1 2 3; do review_wait_ready $i; done
sleep 1

# Opens a connection to instance 1, sends a request a tenth of a second later and
# notes "ID SENT_MS STATUS ENDED_MS"; the times count from the SIGTERM.
requester() { # number
	local sent status
	(
		exec 3<>"/dev/tcp/$(review_ip 1)/8381" || exit 1
		sleep 0.1
		sent=$(($(date +%s%3N) - stop_ms))
		printf 'POST /book/1 HTTP/1.1\r\nHost: becas-pagos.example\r\nAttempt-Id: r-%s\r\nDeadline-Remaining-Ms: 6000\r\nContent-Length: 0\r\n\r\n' \
			"$1" >&3
		status=$(timeout 8 head -1 <&3 | cut -d' ' -f2)
		echo "r-$1 $sent ${status:--} $(($(date +%s%3N) - stop_ms))" >>"$work/requests"
	) 2>/dev/null
}

# Instances send one request at a time to servers that have answered none yet.
stop_ms=$(date +%s%3N)
waiting=()
for ((n = 1; n <= 12; n++)); do
	requester "first-$n" &
	waiting+=($!)
done
wait "${waiting[@]}"
: >"$work/requests"
((trouble)) && kill -TERM "${pids[e1]}"
# Not before the signal, so that no request is taken for later than it is.
stop_ms=$(date +%s%3N)
((trouble)) && review_note "instance 1 has got SIGTERM"
sleep 2.7
waiting=()
for ((n = 1; n <= 16; n++)); do
	requester $n &
	waiting+=($!)
	sleep 0.025
done
wait "${waiting[@]}"
lost=0
while read -r id sent status ended; do
	ran=$(cat "$work"/worker-*.log | grep -c " run $id ")
	text="$id sent $sent ms after the SIGTERM, runs: $ran, status: $status, the connection ends after $ended ms"
	if [ "$status" = - ] && ((ran && sent > late_ms)); then
		lost=$((lost + 1))
		text+=", lost"
	fi
	echo "$text" >>"$record"
done < <(sort -n -k2 "$work/requests")
served=$(grep -c ' 200 ' "$work/requests")
review_note "requests: $(wc -l <"$work/requests"), served: $served, lost: $lost"
((trouble || served == 16)) || review_end 2
((lost == 0)) || review_end 1
review_end 0
