# Sourced by tests that run a store, three servers and some instances on loopback; needs
# $logs, $bin and:
#   BASE_PORT  of the store; instances follow at 100 more, servers at 300
#   ENTRIES    how many instances
#   RATE       calls a second
#   TTL_MS     after which the entry of a silent server lapses
#   ENTRY_OPTIONS  more options of each instance (none)
ini=$logs/deployment.ini
declare -A pids # name -> pid of what should run now
cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:$BASE_PORT
append_limit_per_s = 300
member_ttl_ms = $TTL_MS
[entry]
platform = 127.0.0.1:$BASE_PORT
[service.harta]
tenant = strada
workers = 3
slots = 8
base_port = $((BASE_PORT + 300))
work_ms = 4
dcs = hala-cluj
INI
for ((i = 0; i < ENTRIES; i++)); do
	printf '[entry.e%d]\nlisten = 127.0.0.1:%d\ndc = hala-cluj\n' $i $((BASE_PORT + 100 + i))
done >>"$ini"

stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT
start_entry() { # number
	$bin entry --deployment "$ini" --name "e$1" ${ENTRY_OPTIONS:-} >>"$logs/entry-$1.log" 2>&1 &
	pids[e$1]=$!
}
start_server() { # number
	$bin backend --deployment "$ini" --service harta --index "$1" --seed 5 2>>"$logs/server-$1.log" &
	pids[server$1]=$!
}
start_system() { # servers then work evenly
	local i
	$bin store --deployment "$ini" 2>"$logs/store.log" &
	pids[store]=$!
	sleep 0.2
	for i in 0 1 2; do start_server $i; done
	for ((i = 0; i < ENTRIES; i++)); do start_entry $i; done
	sleep 3
	for i in 0 1 2; do fault $i quiet=1; done
}
restart() { # number of an instance
	kill -KILL "${pids[e$1]}"
	wait "${pids[e$1]}" 2>/dev/null
	start_entry "$1"
}
all_run() {
	local i
	for ((i = 0; i < ENTRIES; i++)); do kill -0 "${pids[e$i]}" || return 1; done
}
fault() { # server, query
	curl -s -m 2 -X POST "http://127.0.0.1:$((BASE_PORT + 300 + $1))/stand/faults?$2" >/dev/null
}
stat() { # server, name
	curl -s -m 2 "http://127.0.0.1:$((BASE_PORT + 300 + $1))/stand/stats" |
		awk -v name="$2" '$1 == name {print $2}'
}
load() { # seconds, seed, more options; its output is in load-SEED.txt
	local seconds=$1 seed=$2
	shift 2
	$bin load --deployment "$ini" --seconds "$seconds" --rate $RATE --seed "$seed" "$@" \
		>"$logs/load-$seed.txt" 2>&1
}
served() { # seed, the least in 1,000
	awk -v least="$2" '$1 == "strada" {c += $3; d += $4}
		END {print d " of " c " served"; exit !(c > 0 && d * 1000 >= least * c)}' \
		"$logs/load-$1.txt"
}
lines() { cat "$logs"/entry-*.log | grep -c "$1"; }
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
