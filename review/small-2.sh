# Sourced by the scripts of review/4 to review/6, which set `record` and `N`
# first: a store, three backend servers, and N entry instances started as the
# deploy file says, on loopback addresses and free ports.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root" || exit 2
bin=target/mimosapitch
[ -x $bin ] || { echo "$bin is missing: run review/build-2.sh" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
: >"$record"
pids=()
instances=()
began=${EPOCHREALTIME/./}

# Appends a line to the record, with the ms since the start.
note() { printf '%6d %s\n' $(((${EPOCHREALTIME/./} - began) / 1000)) "$*" | tee -a "$record"; }

# Ends all processes that this script started.
stop_all() {
	local p
	for p in ${pids[@]+"${pids[@]}"} ${instances[@]+"${instances[@]}"}; do
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

# Succeeds if something listens there.
listens() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# Prints the first of 40 ports on which nothing listens.
free_ports() {
	local try p
	for ((try = 0; try < 50; try++)); do
		p=$((20000 + RANDOM % 9000))
		for ((i = 0; i < 40; i++)); do listens 127.0.0.1 $((p + i)) && continue 2; done
		echo $p
		return
	done
	exit 2
}
port=$(free_ports)
ini=$dir/deployment.ini
# Prints the address of an instance.
ip() { echo 127.19.7.$((10 + $1)); }

write_deployment() {
	cat >"$ini" <<INI
[platform]
listen = 127.0.0.1:$port
append_limit_per_s = 400
member_ttl_ms = 4500
[entry]
platform = 127.0.0.1:$port
[entry.e1]
listen = 127.0.0.1:$((port + 1))
dc = hala-cluj
[service.harta]
tenant = strada
workers = 3
slots = 8
base_port = $((port + 10))
work_ms = 4
dcs = hala-cluj
INI
}

# Writes the settings of an instance as the platform fills in the template.
write_settings() { # instance, first start
	local ip seeds
	ip=$(ip "$1")
	seeds=$(ip 0):1,$(ip 1):1,$(ip 2):1
	cat >"$dir/e$1.ini" <<INI
[instance]
name = edge-$1
dc = hala-cluj
region = ro-central
ip = $ip
seeds = $seeds
first_start = $2
memory_mb = 160
[listen]
callers = $ip:$((port + 30))
ready = $ip:$((port + 31))
directory = $ip:$((port + 32))
peers = $ip:$((port + 33))
metrics = $ip:$((port + 34))
tunnels = $ip:$((port + 35))
[platform]
store = 127.0.0.1:$port
heartbeat_ms = 1500
[bounds]
drain_ms = 2500
config_ms = 2500
grace_s = 6
retry_ratio = 0.2
retry_slack = 184
retry_window_s = 10
directory_keep_s = 5
questions_per_s = 42
slow_start_factor = 1.5
slow_start_slack = 8
INI
}

start_instance() { # instance, first start
	write_settings "$1" "$2"
	$bin instance --settings "$dir/e$1.ini" >>"$dir/e$1.log" 2>&1 &
	instances[$1]=$!
	note "started edge-$1 ($(ip "$1")) as pid $!"
}

# Starts the store, the servers, the operator's first version and N instances.
start_system() {
	local i
	write_deployment
	$bin store --deployment "$ini" >"$dir/store.log" 2>&1 &
	pids+=($!)
	sleep 0.5
	for i in 0 1 2; do
		$bin backend --deployment "$ini" --service harta --index $i --seed 5 >"$dir/server-$i.log" 2>&1 &
		pids+=($!)
	done
	$bin operator --deployment "$ini" --version 5 >"$dir/operator.log" 2>&1 || exit 2
	sleep 0.5
	for ((i = 0; i < N; i++)); do start_instance $i true; done
}

# Sends one GET and prints the answer; fails without one within two seconds.
get() { # address, port, target, more header lines
	local fd answer
	exec {fd}<>"/dev/tcp/$1/$2" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: harta.example\r\n%sConnection: close\r\n\r\n' "$3" "${4:-}" >&"$fd"
	answer=$(timeout 2 tr -d '\000' <&"$fd")
	exec {fd}>&-
	[ -n "$answer" ] && printf '%s' "$answer"
} 2>/dev/null

# Succeeds if an instance says that it is ready.
is_ready() { get "$(ip "$1")" $((port + 31)) /readiness | head -n 1 | grep -q ' 200 '; }

# Waits until all instances are ready; ends the script if they aren't in 20 s.
await_ready() {
	local i try
	for ((try = 0; try < 100; try++)); do
		for ((i = 0; i < N; i++)); do is_ready $i || break; done
		((i == N)) && return
		sleep 0.2
	done
	note "not all instances are ready"
	exit 2
}

# Prints the caller addresses that an instance's directory names, in one line.
ask_directory() { # instance
	get "$(ip "$1")" $((port + 32)) \
		"/resolution?name=harta.example&region=ro-central&zone=hala-cluj" |
		grep -aoE '127\.[0-9]+\.[0-9]+\.[0-9]+:[0-9]+' | sort | tr '\n' ' '
}
