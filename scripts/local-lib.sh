# Sourced by the local scripts: starts every role of a deployment file on
# loopback as separate processes and stops them, by pid, on exit.
#   local_start INI LOGDIR     (sets local_pids)
bin=${MP_BIN:-target/mimosapitch}
local_pids=()
local_stop() {
	for p in "${local_pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
	for p in "${local_pids[@]}"; do wait "$p" 2>/dev/null; done
}
local_start() {
	local ini=$1 logs=$2 svc n i e
	$bin check-deployment --deployment "$ini" || return 78
	$bin store --deployment "$ini" 2>"$logs/store.log" &
	local_pids+=($!)
	sleep 0.3
	awk -F' *= *' '/^\[service\./{s=substr($0,10,length($0)-10)} /^workers/{print s, $2}' "$ini" >"$logs/services.txt"
	while read -r svc n; do
		for ((i = 0; i < n; i++)); do
			$bin backend --deployment "$ini" --service "$svc" --index "$i" --seed 7 \
				2>>"$logs/backends.log" &
			local_pids+=($!)
		done
	done <"$logs/services.txt"
	for e in $(awk '/^\[entry\./{print substr($0,8,length($0)-8)}' "$ini"); do
		$bin entry --deployment "$ini" --name "$e" >"$logs/entry-$e.log" 2>&1 &
		local_pids+=($!)
	done
	sleep 2.5
}
