# Sourced by tests that run a store, three servers and several instances on
# loopback. Expects $logs, $bin and:
#   BASE_PORT      the store's port; instances start at BASE_PORT + 100, servers
#                  at BASE_PORT + 300
#   ENTRIES        number of instances
#   SERVERS        number of servers (default: 3)
#   RATE           calls per second
#   TTL_MS         time after which a silent server's record expires
#   DCS            data centres of the servers in turn (default: one)
#   COLD_PER_S     requests that a cold server tolerates (default: any)
#   ENTRY_OPTIONS  extra options for each instance (default: none)
ini=$logs/deployment.ini
declare -A pids # name -> pid of each process that should be running
cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:$BASE_PORT
append_limit_per_s = 300
member_ttl_ms = $TTL_MS
[entry]
platform = 127.0.0.1:$BASE_PORT
[service.harta]
tenant = strada
workers = ${SERVERS:-3}
slots = 8
base_port = $((BASE_PORT + 300))
work_ms = 4
dcs = ${DCS:-hala-cluj}
${COLD_PER_S:+cold_per_s = $COLD_PER_S}
INI
for ((i = 0; i < ENTRIES; i++)); do
	printf '[entry.e%d]\nlisten = 127.0.0.1:%d\ndc = hala-cluj\n' $i $((BASE_PORT + 100 + i))
done >>"$ini"

# Kills all processes that the test started.
stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT
start_entry() { # instance
	$bin entry --deployment "$ini" --name "e$1" ${ENTRY_OPTIONS:-} >>"$logs/entry-$1.log" 2>&1 &
	pids[e$1]=$!
}
start_server() { # server
	$bin backend --deployment "$ini" --service harta --index "$1" --seed 5 2>>"$logs/server-$1.log" &
	pids[server$1]=$!
}
# Starts the store, the servers and the instances, then turns off the servers'
# simulated noise so that they work evenly.
start_system() {
	local i
	$bin store --deployment "$ini" 2>"$logs/store.log" &
	pids[store]=$!
	sleep 0.2
	for ((i = 0; i < ${SERVERS:-3}; i++)); do start_server $i; done
	for ((i = 0; i < ENTRIES; i++)); do start_entry $i; done
	sleep 3
	for ((i = 0; i < ${SERVERS:-3}; i++)); do set_server_faults $i quiet=1; done
}
# Kills an instance with SIGKILL and starts it again.
kill_and_restart() { # instance
	kill -KILL "${pids[e$1]}"
	wait "${pids[e$1]}" 2>/dev/null
	start_entry "$1"
}
# Succeeds if every instance is still running.
instances_running() {
	local i
	for ((i = 0; i < ENTRIES; i++)); do kill -0 "${pids[e$i]}" || return 1; done
}
# Sets or clears simulated faults of a server.
set_server_faults() { # server, query
	curl -s -m 2 -X POST "http://127.0.0.1:$((BASE_PORT + 300 + $1))/stand/faults?$2" >/dev/null
}
# Prints one counter of a server.
server_stat() { # server, name
	curl -s -m 2 "http://127.0.0.1:$((BASE_PORT + 300 + $1))/stand/stats" |
		awk -v name="$2" '$1 == name {print $2}'
}
# Runs the load generator; its output goes to load-SEED.txt.
load() { # seconds, seed, more options
	local seconds=$1 seed=$2
	shift 2
	$bin load --deployment "$ini" --seconds "$seconds" --rate $RATE --seed "$seed" "$@" \
		>"$logs/load-$seed.txt" 2>&1
}
# Succeeds if at least the given share of a load run's calls was served.
served_at_least() { # seed, minimum per 1,000
	awk -v min="$2" '$1 == "strada" {c += $3; d += $4}
		END {print d " of " c " served"; exit !(c > 0 && d * 1000 >= min * c)}' \
		"$logs/load-$1.txt"
}
# Counts the log lines of all instances that match a pattern.
count_log_lines() { cat "$logs"/entry-*.log | grep -c "$1"; }
# Prints the checks' output and ends the test; keeps the logs after a failure.
finish() { # name of the test
	cat "$logs/checks.log"
	if ((fails)); then
		echo "$1: $fails check(s) failed; logs in $logs"
		exit 1
	fi
	echo "$1: ok"
	stop_all
	rm -rf "$logs"
	exit 0
}
