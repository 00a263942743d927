# Sourced by the cases. Runs a small deployment on loopback: the store stand-in,
# backend servers and entry instances, each a process of its own. The instances
# are started with the command of the deploy file and settings as its template
# has them.
#   review_begin RECORD      creates the temporary folder $work; notes go to RECORD
#   review_deployment INI    writes the deployment of the project's stand-ins
#   review_store             starts the store
#   review_backend S N       starts server N of service S, the project's stand-in
#   review_worker N ARGS     starts a server of the review's own, see worker.c
#   review_list S ID IP      writes the entry of such a server
#   review_unlist ID         removes it
#   review_route S KIND ..   writes the first configuration, see below
#   review_instance N FIRST  starts instance N
#   review_wait_ready N      waits until it is ready
#   review_note TEXT         adds a line to the record, with the time in seconds
#   review_end STATUS        ends everything that was started, and exits
bin=$PWD/target/mimosapitch
worker=$PWD/target/review/worker
wire=$PWD/review/wire.txt
declare -A pids # name -> pid of each process that was started

review_begin() { # file of the record
	record=$1
	: >"$record"
	work=$(mktemp -d) || exit 2
	trap review_stop EXIT
	trap 'review_end 2' INT TERM
	# Addresses and ports of their own, so that cases can run side by side.
	net=$((1 + $$ % 199))
	store=127.77.$net.250:8384
	base_port=$((20000 + 20 * net)) # of the project's stand-ins, 20 ports
	start_ms=$(date +%s%3N)
	[ -x "$bin" ] && [ -x "$worker" ] || review_end 2
}

# Prints an address of the case.
review_ip() { echo "127.77.$net.$1"; }

# Prints the seconds from the start of the case to a time, by default now.
review_time() { # ms since the epoch
	local ms=$((${1:-$(date +%s%3N)} - start_ms))
	printf '%d.%03d' $((ms / 1000)) $((ms % 1000))
}

review_note() { echo "$(review_time) $*" >>"$record"; }

# Kills all processes that the case started, and removes its folder.
review_stop() {
	local p
	for p in "${pids[@]}"; do
		kill -KILL "$p"
		wait "$p"
	done 2>/dev/null
	rm -rf "$work"
}

review_end() { # exit status
	case $1 in
	0) review_note "result: the rule held" ;;
	1) review_note "result: the rule was broken" ;;
	*) review_note "result: the case couldn't run" ;;
	esac
	tail -1 "$record"
	exit "$1"
}

review_deployment() { # services as INI text
	cat >"$work/deployment.ini" <<-INI
		[platform]
		listen = $store
		append_limit_per_s = 400
		member_ttl_ms = 120000
		[entry]
		platform = $store
		[entry.e1]
		listen = $(review_ip 251):8001
		dc = hala-cluj
		$1
	INI
}

review_store() {
	"$bin" store --deployment "$work/deployment.ini" 2>"$work/store.log" &
	pids[store]=$!
	sleep 0.3
	# An answer takes 4 ms, as on the sheet.
	printf 'POST /stand/faults?slow_ms=4 HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: 0\r\n\r\n' >"$work/slow"
	review_exchange "${store%:*}" "${store#*:}" 2 "$work/slow" | grep -q '^HTTP/1.1 200' || review_end 2
}

review_backend() { # service, index
	"$bin" backend --deployment "$work/deployment.ini" --service "$1" \
		--index "$2" --seed 7 2>"$work/backend-$1-$2.log" &
	pids[$1-$2]=$!
}

review_worker() { # number, arguments
	"$worker" "$wire" "$(review_ip $((100 + $1)))" 8224 "${@:2}" \
		>"$work/worker-$1.log" 2>&1 &
	pids[worker-$1]=$!
}

# Prints text as escapes of a msgpack string.
review_pack() { printf '\\xd9\\x%02x%s' ${#1} "$1"; }

# Appends the record of a key, by default to the list of servers; no value
# removes it.
review_append() { # key, value as escapes, topic
	local value size
	printf '%b' "$2" >"$work/value"
	size=$((1 + ${#1} + $(wc -c <"$work/value")))
	{
		printf 'POST /stand/append?topic=%s&part=0 HTTP/1.1\r\n' "${3:-keyed.servers}"
		printf 'Host: store\r\nConnection: close\r\nContent-Length: %d\r\n\r\n' $((4 + size))
		printf "$(printf '\\x00\\x00\\x%02x\\x%02x\\x%02x' $((size / 256)) $((size % 256)) ${#1})"
		printf '%s' "$1"
		cat "$work/value"
	} >"$work/append"
	review_exchange "${store%:*}" "${store#*:}" 2 "$work/append" | head -1 | grep -q ' 200 ' || review_end 2
}

review_list() { # service, id, ip
	local v p=review_pack
	v="\\x84$($p address)$($p "$3:8224")"
	v+="$($p born)$(printf '%016x' "$(date +%s%3N)" | sed 's/../\\x&/g; s/^/\\xcf/')"
	v+="$($p info)\\x84$($p service)$($p "$1")$($p zone)$($p hala-cluj)"
	v+="$($p configVersion)$($p v1)$($p slots)\\x08"
	v+="$($p status)\\x83$($p state)$($p ready)$($p sequenceNumber)\\x01$($p warmupLeftMs)\\x00"
	review_append "$2" "$v"
}

review_unlist() { review_append "$1" ''; }

review_settings() { # instance, first start
	local ip
	ip=$(review_ip "$1")
	cat >"$work/e$1.ini" <<-INI
		[instance]
		name = edge-hala-cluj-$1
		dc = hala-cluj
		region = ro-central
		ip = $ip
		seeds = $(review_ip 1):8382,$(review_ip 2):8382,$(review_ip 3):8382
		first_start = $2
		memory_mb = 260
		[listen]
		callers = $ip:8381
		ready = $ip:8388
		directory = $ip:8383
		peers = $ip:7200
		metrics = $ip:9464
		tunnels = $ip:7201
		[platform]
		store = $store
		heartbeat_ms = 1500
		[bounds]
		drain_ms = 2000
		config_ms = 2000
		grace_s = 6
		retry_ratio = 0.2
		retry_slack = 56
		retry_window_s = 10
		directory_keep_s = 5
		questions_per_s = 60
	INI
}

review_instance() { # instance, first start
	review_settings "$1" "$2"
	MIMOSAPITCH_CONFIG=$work/e$1.ini "$bin" instance >>"$work/e$1.log" 2>&1 &
	pids[e$1]=$!
}

# Sends the bytes of a file to an address and prints what comes back until the
# peer closes or so many seconds have passed.
review_exchange() { # ip, port, seconds, file
	(
		exec 3<>"/dev/tcp/$1/$2" || exit 1
		cat "$4" >&3
		timeout "$3" cat <&3
	) 2>/dev/null
}

review_wait_ready() { # instance
	local i
	printf 'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >"$work/ready"
	for ((i = 0; i < 150; i++)); do
		review_exchange "$(review_ip "$1")" 8388 1 "$work/ready" |
			grep -q '^HTTP/1.1 200' && return 0
		sleep 0.1
	done
	review_end 2
}

# Prints a number below 65536 as escapes of msgpack.
review_number() { printf '\\xcd\\x%02x\\x%02x' $(($1 / 256)) $(($1 % 256)); }

# Writes the first configuration: one route, /book/ of the host SERVICE.example.
review_route() { # service, kind, timeout in ms, target in ms
	local v p=review_pack n=review_number
	v="\\x83$($p configVersion)$($p 00000005)$($p routes)\\x81$($p "$1")\\x88"
	v+="$($p host)$($p "$1.example")$($p pathPrefix)$($p /book/)$($p kind)$($p "$2")"
	v+="$($p timeoutMs)$($n "$3")$($p targetLatencyMs)$($n "$4")$($p priority)\\x01"
	v+="$($p service)$($p "$1")$($p maxAttempts)\\x02"
	v+="$($p services)\\x81$($p "$1")\\x82$($p healthPath)$($p /health)$($p maxConnections)$($n 220)"
	review_append config "$v" keyed.op
}
