# Sourced by the scripts that run a deployment on loopback. Starts every role of
# a deployment file as a separate process and stops these by pid.
#   local_start INI LOGDIR   starts the processes, adds their pids to local_pids
#   local_stop               stops the processes in local_pids
bin=${MP_BIN:-target/mimosapitch}
local_pids=()
# Terminates the processes and waits for them.
local_stop() {
	for p in "${local_pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
	for p in "${local_pids[@]}"; do wait "$p" 2>/dev/null; done
}
# Starts the store, the backend servers and the instances of a deployment file.
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
