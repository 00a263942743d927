# Sourced by tests/soak.sh for its mode "removals": at the end the instance that
# reads for all stands still beside a server that leaves unannounced, then
# instances are removed for good until one is left.
DRAIN_MS=2000 # in which a removal of a server reaches instances in touch
NAMED_MS=6000 # in which an instance that is gone may still be named

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
# Prints the instances that run, in the order of their names.
live_entries() {
	local i
	for ((i = 1; i <= entries; i++)); do
		[ -z "${pids[$(printf 'entry:e%02d' "$i")]:-}" ] || printf 'e%02d ' "$i"
	done
}
# Prints the id under which a server is listed.
server_id() { # index
	grep -h ' ev=100 .*msg="backend ' "$logs/server:harta-$1.log" | tail -n 1 | sed 's/.*msg="backend \([^ ]*\).*/\1/'
}
# Deletes a server's entry in the store, as a server does that leaves.
delete_entry() { # id
	{
		printf "\\x00\\x00\\x00\\x$(printf %02x $((1 + ${#1})))\\x$(printf %02x ${#1})"
		printf %s "$1"
	} | curl -s -m 2 -o /dev/null -w '%{http_code}\n' --data-binary @- \
		"http://127.0.0.1:$base/stand/append?topic=keyed.servers&part=0"
}
# Succeeds if the removal of a server reaches all calm instances in time although
# the first instance has just stood still for longer than a heartbeat.
removal_reaches_calm() {
	local first rest id at e bad=0 reached
	read -r first rest < <(live_entries)
	id=$(server_id 0)
	[ -n "$id" ] || return 1
	log_fault "STOP $first beside $id"
	kill -STOP "${pids[entry:$first]}"
	sleep_ms 2000
	set_faults $((base + 50)) unlisted=1
	kill -CONT "${pids[entry:$first]}"
	sleep_ms $((RANDOM % 100))
	at=$(now_ms)
	[ "$(delete_entry "$id")" = 200 ] || { echo "the entry of $id wasn't deleted"; return 1; }
	sleep_ms $((DRAIN_MS + 1500))
	for e in $rest; do
		reached=$(awk -v id="backend=$id" -v at="$at" '/ ev=312 / && index($0, id) {
			match($0, /ts=[0-9.]+/); t = substr($0, RSTART + 3, RLENGTH - 3) * 1000
			if (t >= at - 100) {printf "%d", t - at; exit}}' "$logs/entry:$e.log")
		echo "$e: $id removed after ${reached:-no} ms"
		[ -n "$reached" ] && ((reached <= DRAIN_MS)) || bad=1
	done
	set_faults $((base + 50)) unlisted=0
	return $bad
}
# Removes an instance for good.
remove_entry() { # name
	local signal
	signal=$( ((RANDOM % 2)) && echo KILL || echo TERM)
	log_fault "$signal $1 for good"
	kill "-$signal" "${pids[entry:$1]}"
	wait "${pids[entry:$1]}" 2>/dev/null
	unset "pids[entry:$1]"
}
# Succeeds if no instance that runs names one that doesn't.
names_only_live() {
	local e port bad=0 name
	for e in $(live_entries); do
		port=$((base + 9 + 10#${e#e}))
		for name in $(curl -s -m 2 "http://127.0.0.1:$port/v1/entries" | grep -o '"name":"[^"]*"' | cut -d'"' -f4); do
			[ -z "${pids[entry:$name]:-}" ] || continue
			echo "$e names $name"
			bad=1
		done
	done
	return $bad
}
# Removes instances in steps until one is left, with a pause of the first one in
# some. Succeeds if the others name none of them soon after each step.
removed_are_forgotten() {
	local live n i bad=0 stopped
	read -r -a live < <(live_entries)
	while ((${#live[@]} > 1)); do
		stopped=
		if ((RANDOM % 2 && ${#live[@]} > 3)); then
			stopped=${live[0]}
			kill -STOP "${pids[entry:$stopped]}"
		fi
		n=$((1 + RANDOM % (${#live[@]} - 1)))
		((${#live[@]} < 5)) || n=$((n < ${#live[@]} / 2 ? ${#live[@]} / 2 : n))
		for ((i = 0; i < n; i++)); do
			((${#live[@]} > 1)) || break
			remove_entry "${live[-1]}"
			unset 'live[-1]'
		done
		sleep_ms $NAMED_MS
		[ -z "$stopped" ] || kill -CONT "${pids[entry:$stopped]}"
		for ((i = 0; i < 8; i++)); do
			sleep_ms 300
			[ -n "$stopped" ] && ((i == 0)) && continue
			names_only_live || bad=1
		done
	done
	return $bad
}
