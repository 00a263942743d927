#!/bin/bash
# Three instances; two are removed for good (SIGKILL). From 7 s later on the
# directory of the third one must not name them in more than three answers.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
N=3
. "$here/../small-2.sh"

start_system
await_ready
sleep 4
note "directory of edge-2: $(ask_directory 2)"
if [ "${TROUBLE:-1}" != 0 ]; then
	for i in 0 1; do
		kill -KILL "${instances[$i]}"
		wait "${instances[$i]}" 2>/dev/null
		note "removed edge-$i"
	done
fi
# stabilityWindowMs (3 s) + 3 s, and one second more.
sleep 7
wrong=0 asked=0
for ((n = 0; n < 20; n++)); do
	is_ready 2 || { note "edge-2 isn't ready"; exit 2; }
	answer=$(ask_directory 2)
	[ -n "$answer" ] || { note "edge-2 gave no answer"; exit 2; }
	asked=$((asked + 1))
	gone=0
	for i in 0 1; do
		kill -0 "${instances[$i]}" 2>/dev/null && continue
		[[ $answer == *"$(ip $i):"* ]] && gone=1
	done
	[[ $answer == *"$(ip 2):"* ]] || gone=0
	wrong=$((wrong + gone))
	note "directory of edge-2: $answer"
	sleep 0.5
done
note "$wrong of $asked answers name an instance removed over 6 s ago beside the running one"
if ((wrong > 3)); then
	note "DRAIN broken"
	exit 1
fi
note "DRAIN held"
exit 0
