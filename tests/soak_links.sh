# Sourced by tests/soak.sh for its mode "links": each instance reaches the
# servers through proxies of its own, which cut its links to all servers or to
# those of one service, in different ways and overlapping.
LINK_SERVICES=(harta becas-pagos)
LINK_HEAL='closed=0&hang=0&refuse=0&silent=no'
CUT_S=5
CUT_RATE=15 # calls per second at each instance

# Prints the host at which an instance reaches the servers.
link_host() { echo "127.0.1.$1"; }
# Starts the proxies of all instances.
start_links() {
	local i s
	for ((i = 1; i <= entries; i++)); do
		for s in "${LINK_SERVICES[@]}"; do start "$(printf 'link:e%02d/%s' "$i" "$s")"; done
	done
}
# Sets faults of an instance's links to a service.
set_link() { # instance, service, query
	local port=$((base + 59))
	[ "$2" = harta ] || port=$((base + 79))
	curl -s -m 1 -X POST "http://$(link_host "$1"):$port/stand/faults?$3" >/dev/null
}
# Sets faults of several instances' links to some services.
set_links() { # query, services, instances...
	local query=$1 services=$2 i s
	shift 2
	for i in "$@"; do
		for s in $services; do set_link "$i" "$s" "$query"; done
	done
}
# Prints how a link fails.
random_link_failure() {
	local all=('closed=1&reset=1' 'hang=1&silent=both' 'refuse=1&reset=1' closed=1 silent=up silent=down)
	echo "${all[$((RANDOM % 6))]}"
}
random_link_services() {
	local all=("${LINK_SERVICES[*]}" "${LINK_SERVICES[*]}" "${LINK_SERVICES[0]}" "${LINK_SERVICES[1]}")
	echo "${all[$((RANDOM % 4))]}"
}
# Prints some instances: a few, or all with odd numbers.
random_instances() {
	local i n=$((1 + RANDOM % 3))
	if ((RANDOM % 3 == 0)); then
		seq 1 2 "$entries"
	else
		for ((i = 0; i < n; i++)); do echo $((1 + RANDOM % entries)); done
	fi | sort -nu | tr '\n' ' '
}
# Cuts links for some time, in the background.
random_link_fault() {
	local query services instances ms=$((200 + RANDOM % 4000))
	query=$(random_link_failure)
	services=$(random_link_services)
	instances=$(random_instances)
	log_fault "links $query to $services at $instances for $ms ms"
	set_links "$query" "$services" $instances
	(sleep_ms $ms; set_links "$LINK_HEAL" "$services" $instances) &
}
# Lets part of the responses end with their connection, which tunnels pass on.
respond_unframed() { set_faults_at unframed_pct=30 $(all_server_ports); }
heal_links() { set_links "$LINK_HEAL&reset=1" "${LINK_SERVICES[*]}" $(seq 1 "$entries"); }
# Prints the calls and the served ones of some instances.
calls_at() { # instances...
	local i
	for i in "$@"; do cat "$logs/cut-$i.txt"; done |
		awk '$1 == "strada" || $1 == "semillero" {c += $3; d += $4} END {print c + 0, d + 0}'
}
# Cuts the links of some instances while another one is killed and the store is
# silent. Succeeds if callers' first attempts at the cut-off instances are served
# at least two thirds as often as at the others, or if few of all failed.
cut_serves_alike() {
	local query services cut killed i others=() jobs=() bad=0
	query=$(random_link_failure)
	services=$(random_link_services)
	cut=" $(random_instances)"
	killed=$((1 + RANDOM % entries))
	[[ "$cut" != *" $killed "* ]] || killed=
	echo "links $query to $services at$cut; killed: $killed"
	respond_unframed
	set_links "$query" "$services" $cut
	for ((i = 1; i <= entries; i++)); do
		$bin load --deployment "$ini" --name "$(printf 'e%02d' "$i")" --seconds $CUT_S --rate $CUT_RATE \
			--seed $((seed + 100 + i)) >"$logs/cut-$i.txt" 2>&1 &
		jobs+=($!)
		[[ "$cut" = *" $i "* || $i = "$killed" ]] || others+=("$i")
	done
	inject_fault $base down=silent down=no $((RANDOM % 3000))
	[ -z "$killed" ] || restart_process KILL "$(printf 'entry:e%02d' "$killed")" $((RANDOM % 1000))
	for i in "${jobs[@]}"; do wait "$i" || bad=1; done
	set_links "$LINK_HEAL" "$services" $cut
	((bad == 0)) || { grep -h invariants "$logs"/cut-*.txt; return 1; }
	echo "$(calls_at $cut) $(calls_at "${others[@]}")" | awk '
		{print "cut off: " $2 " of " $1 " served, others: " $4 " of " $3
		 failed = $1 - $2 + $3 - $4
		 exit !($1 > 0 && $3 > 0 && ($2 / $1 >= 2 / 3 * $4 / $3 || failed <= 10 + ($1 + $3) / 50))}'
}
