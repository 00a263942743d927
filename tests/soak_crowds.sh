# Sourced by tests/soak.sh for its mode "crowds": clients that don't behave come
# to the ports of instances with little memory and few descriptors.
CROWD_MEMORY_MB=64
CROWD_DESCRIPTORS=400
CROWD_SOCKETS=200 # what is left of these besides 200 for files

# Starts a crowd at a random port of a random instance, for some seconds.
random_crowd() {
	local kinds=(idle head body unread slow row leave) ports=(callers callers callers own ready directory metrics peers tunnels)
	local kind=${kinds[$((RANDOM % 7))]} port=${ports[$((RANDOM % 9))]} e s=$((1 + RANDOM % 4)) n=$((50 + RANDOM % 250))
	e=$(random_entry)
	log_fault "crowd of $n at $port of $e, $kind, for $s s"
	$bin crowd --deployment "$ini" --name "${e#entry:}" --concurrency $n --seconds $s "$kind" $port >>"$logs/crowds.log" 2>&1 &
}
# A crowd, long answers of a server or such with invalid heads, or a stop in the
# midst of a crowd.
random_crowd_fault() {
	case $(random_below 7) in
	2) inject_fault "$(server_port "$(random_server)")" "bad_head_pct=$((10 + RANDOM % 50))" bad_head_pct=0 $((1000 + RANDOM % 2000)) ;;
	0) inject_fault "$(server_port "$(random_server)")" "body_kb=$((100 + RANDOM % 800))&chunked=$((RANDOM % 2))" 'body_kb=0&chunked=0' $((1000 + RANDOM % 3000)) ;;
	1) random_crowd; random_crowd; stop_entry "$(random_entry)" ;;
	*) random_crowd ;;
	esac
}
# Notes the instances that now take more memory or sockets than they may.
note_usage() {
	local name pid kb n
	for name in "${!pids[@]}"; do
		pid=${pids[$name]}
		[ "${name%%:*}" = entry ] || continue
		kb=$(awk '$1 == "VmHWM:" {print $2}' "/proc/$pid/status" 2>/dev/null)
		((${kb:-0} * 1024 < CROWD_MEMORY_MB * 1000000)) || echo "$name took $kb KiB" >>"$logs/usage.txt"
		n=$(ls -l "/proc/$pid/fd" 2>/dev/null | grep -c 'socket:')
		((n <= CROWD_SOCKETS)) || echo "$name has $n sockets" >>"$logs/usage.txt"
	done
}
# Succeeds if no instance was seen beyond its bounds.
usage_in_bounds() {
	note_usage
	! cat "$logs/usage.txt" 2>/dev/null
}
