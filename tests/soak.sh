#!/bin/bash
# Fault soak: runs a system of separate processes on loopback under load while
# random faults are injected, one after another and overlapping. Signals stop,
# pause, kill and restart processes; proxies delay, reset, refuse or silence
# connections to the store and to the servers; the store and the servers
# misbehave; configurations and settings change. Then the faults end, and the
# system must recover. The checks use what callers and servers saw: no protected
# request ran twice, no false "not run", no mismatched response, versions never
# decrease, no process exits on its own, and afterwards a version is in force
# everywhere and calls are served.
#
#   tests/soak.sh SEED [SECONDS [SLOT [fatal|limits|backoff|drills|links|workspaces|removals|crowds|odd]]]
#
# A slot, 0 to 26, is a range of ports from 24000 on; instances take ports up to
# 6000 higher, which must lie below those of outgoing connections. e2e.sh uses
# ports of slot 1; with the others a soak may run beside other tests, and other
# soaks if the last digits of their slots differ. An even seed runs a system
# with hubs, SOAK_ENTRIES sets the number of instances, at most 38. The modes:
#   limits   servers also announce rate limits for a while and check them
#   backoff  servers reject requests and ask for backoffs, announce that they
#            drain, let their records expire, and check what they still get;
#            they don't count what an instance couldn't learn while it was
#            paused or cut off
#   drills   the store is restored from backups, and the operator continues from
#            what they hold; a last restore without other faults must not lose a
#            confirmed version
#   links    instances lose their links to servers, see tests/soak_links.sh; last
#            some lose them under load beside a kill and a silent store, and must
#            serve first attempts nearly as often as the others
#   workspaces  callers use keys of workspaces, and keys and quotas change; what
#            the servers ran is summed up, see tests/soak_workspaces.sh
#   removals at the end a server leaves beside a pause of the reader, and instances
#            are removed for good, see tests/soak_removals.sh
#   crowds   clients that don't behave come to all ports of instances with little
#            memory and few descriptors, see tests/soak_crowds.sh
#   odd      another writer leaves odd entries in the store, see tests/soak_odd.sh
#   fatal    a request that crashes each server that runs it is sent to all
#            instances throughout; after the faults only few servers may crash
#            under it
# Every process started here is stopped here, by pid.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
seed=${1:?SEED}
seconds=${2:-10}
slot=${3:-0}
((slot <= 26)) || { echo "soak: slot $slot isn't between 0 and 26" >&2; exit 2; }
fault_kinds=$([ "${4:-}" = limits ] && echo 20 || echo 16)
for mode in fatal backoff drills links workspaces removals crowds odd; do
	printf -v $mode %s "$([ "${4:-}" = $mode ] && echo yes)"
done
base=$((24000 + 100 * slot))
logs=$(mktemp -d)
ini=$logs/soak.ini
RANDOM=$seed
entries=${SOAK_ENTRIES:-$((seed % 2 ? 4 : 22))}
CRASH_EXIT=70 # exit code of a server that crashes under a request
# Crashes allowed after the faults: three prove the request fatal, and three
# more attempts are allowed.
CRASHES_MAX=6
declare -A pids # name -> pid of each process that should be running
fails=0

stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT

# Prints the deployment file.
write_ini() {
	cat <<-INI
		[platform]
		listen = 127.0.0.1:$base
		append_limit_per_s = 1000
		member_ttl_ms = 3000
		[entry]
		platform = 127.0.0.1:$((base + 2))
		deadline_ms = 8000
		memory_mb = $([ -n "$crowds" ] && echo $CROWD_MEMORY_MB || echo 0)
		[service.harta]
		tenant = strada
		workers = 3
		slots = 2
		base_port = $((base + 50))
		proxy_offset = 10
		work_ms = 4
		fatal_word = ends-servers
		dcs = hala-cluj,hala-sibiu
		[service.becas-pagos]
		tenant = semillero
		workers = 3
		slots = 4
		base_port = $((base + 70))
		proxy_offset = 10
		work_ms = 6
		protected = true
		hangs = true
		dcs = gt-central-a,gt-central-b
	INI
	for ((i = 1; i <= entries; i++)); do
		printf '[entry.e%02d]\nlisten = 127.0.0.1:%d\ndc = %s\n' "$i" $((base + 9 + i)) \
			"$([ -n "$links" ] && ((i % 2)) && echo hala-sibiu || echo hala-cluj)"
		[ -z "$links" ] || echo "server_host = $(link_host "$i")"
	done
}

# Starts a process by its name: its kind, a colon, and the instance, server or
# service.
start() { # name
	local name=$1 kind=${1%%:*} rest=${1#*:}
	case $kind in
	store) exec $bin store --deployment "$ini" ;;
	proxy) exec $bin proxy --deployment "$ini" ${rest:+--service "$rest"} ;;
	link) exec $bin proxy --deployment "$ini" --service "${rest#*/}" --name "${rest%/*}" ;;
	server) exec $bin backend --deployment "$ini" --service "${rest%-*}" --index "${rest##*-}" --seed "$seed" ;;
	entry)
		[ -z "$crowds" ] || ulimit -n $CROWD_DESCRIPTORS
		exec $bin entry --deployment "$ini" --name "$rest" ${workspaces:+--from-operator} ;;
	esac >>"$logs/${name//\//-}.log" 2>&1 &
	pids[$name]=$!
}

log_fault() { echo "$(date +%s.%N | cut -c1-14) $*" >>"$logs/faults.log"; }
random_below() { echo $((RANDOM % $1)); }
sleep_ms() { sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"; }
# Sets or clears simulated faults of a server, the store or a proxy.
set_faults() { # port, query
	curl -s -m 1 -X POST "http://127.0.0.1:$1/stand/faults?$2" >/dev/null
}
random_entry() { printf 'entry:e%02d' $((1 + RANDOM % entries)); }
random_server() {
	if ((RANDOM % 2)); then echo "server:harta-$((RANDOM % 3))"; else echo "server:becas-pagos-$((RANDOM % 3))"; fi
}
# Prints the port of a server.
server_port() { # server:NAME-INDEX
	case $1 in
	server:harta-*) echo $((base + 50 + ${1##*-})) ;;
	*) echo $((base + 70 + ${1##*-})) ;;
	esac
}
# Prints a limit in requests per 1,000 s, from below one per second to many.
random_limit() {
	local all=(0 300 2000 5100 20000)
	echo "${all[$((RANDOM % 5))]}"
}
# Prints the control port of a random proxy.
random_proxy() {
	local all=($((base + 1)) $((base + 59)) $((base + 79)))
	echo "${all[$((RANDOM % 3))]}"
}

# Ends a process and starts it again after a pause.
restart_process() { # signal, name, pause in ms
	log_fault "$1 $2"
	kill "-$1" "${pids[$2]}" 2>/dev/null
	wait "${pids[$2]}" 2>/dev/null
	sleep_ms "$3"
	start "$2"
}
# Prints the ports of the servers that a fault cuts off; these don't check
# backoffs meanwhile. None for the store's port.
affected_ports() { # a server's name, or a proxy's control port
	case $1 in
	server:*) server_port "$1" ;;
	$((base + 59))) echo $((base + 50)) $((base + 51)) $((base + 52)) ;;
	$((base + 79))) echo $((base + 70)) $((base + 71)) $((base + 72)) ;;
	esac
}
# Sets or clears simulated faults at several ports.
set_faults_at() { # query, ports...
	local query=$1 port
	shift
	for port in "$@"; do set_faults "$port" "$query"; done
}
all_server_ports() { echo $((base + 50)) $((base + 51)) $((base + 52)) $((base + 70)) $((base + 71)) $((base + 72)); }
# Suspends a process for some time, in the background.
pause_process() { # name, ms
	local pid=${pids[$1]}
	log_fault "STOP $1 $2 ms"
	[ -z "$backoff" ] || set_faults_at audit_off=1 $(affected_ports "$1")
	kill -STOP "$pid" 2>/dev/null
	(
		sleep_ms "$2"
		case $backoff$1 in yesentry:*) set_faults_at "excuse=${1#entry:}-" $(all_server_ports) ;; esac
		kill -CONT "$pid" 2>/dev/null
		[ -n "$backoff" ] || exit
		sleep_ms 300
		set_faults_at audit_on=1 $(affected_ports "$1")
	) &
}
# Injects a fault for some time, in the background, without backoff checks at
# the servers that it cuts off.
inject_fault() { # port, query that sets it, query that clears it, ms
	log_fault "$1 $2 for $4 ms"
	[ -z "$backoff" ] || set_faults_at audit_off=1 $(affected_ports "$1")
	set_faults "$1" "$2"
	(
		sleep_ms "$4"
		set_faults "$1" "$3"
		[ -n "$backoff" ] || exit
		sleep_ms 300
		set_faults_at audit_on=1 $(affected_ports "$1")
	) &
}
# Prints a backoff in ms.
random_backoff() {
	local all=(300 1000 3000 8000)
	echo "${all[$((RANDOM % 4))]}"
}
# A server asks for a backoff, announces that it drains, is off the list for a
# while or answers late.
random_backoff_fault() {
	local s port pid ms=$((1000 + RANDOM % 5000))
	s=$(random_server)
	port=$(server_port "$s")
	case $(random_below 5) in
	0 | 1) inject_audited_fault "$port" "shed_pct=$((10 + RANDOM % 91))&backoff_milli=$(random_backoff)&late_ms=$((RANDOM % 2 * RANDOM % 300))" 'shed_pct=0&backoff_milli=-1&late_ms=0' $ms ;;
	2) pid=${pids[$s]}
		log_fault "$s drains"
		set_faults "$port" draining=1
		(sleep_ms $ms; kill -KILL "$pid" 2>/dev/null) &
		stopping+=("$s=$pid") ;;
	3) inject_audited_fault "$port" unlisted=1 unlisted=0 $((2000 + RANDOM % 3000)) ;;
	4) inject_audited_fault "$port" backoff_odd=1 backoff_odd=0 $ms ;;
	esac
}
# Patches the configuration and logs the accepted version.
patch() { # key=value
	$bin ctl --deployment "$ini" patch "$1" >>"$logs/patches.log" 2>&1
}
# Injects a fault for some time while the servers continue their backoff checks.
inject_audited_fault() { # port, query that sets it, query that clears it, ms
	log_fault "$1 $2 for $4 ms"
	set_faults "$1" "$2"
	(sleep_ms "$4"; set_faults "$1" "$3") &
}
stopping=() # processes that end in the background, as NAME=PID
# Stops an instance in the background.
stop_entry() { # name
	log_fault "TERM $1"
	kill -TERM "${pids[$1]}" 2>/dev/null
	stopping+=("$1=${pids[$1]}")
}
# Starts the processes again that have ended in the background.
restart_stopped() {
	local left=() e
	for e in "${stopping[@]}"; do
		if kill -0 "${e#*=}" 2>/dev/null; then
			left+=("$e")
		else
			wait "${e#*=}" 2>/dev/null
			# Another fault may have started it again.
			[ "${pids[${e%%=*}]}" != "${e#*=}" ] || start "${e%%=*}"
		fi
	done
	stopping=("${left[@]}")
}
# Prints how a server responds for a while.
random_response_fault() {
	local all=(hang_pct=20 cut_pct=20 unframed_pct=50 long_pct=20)
	echo "${all[$((RANDOM % 4))]}"
}
# Injects one random fault.
random_fault() {
	local ms=$((200 + RANDOM % 1800)) s
	case $(random_below $fault_kinds) in
	0) stop_entry "$(random_entry)" ;;
	1) restart_process KILL "$(random_entry)" $((RANDOM % 500)) ;;
	2) restart_process KILL "$(random_entry)" 0; restart_process KILL "$(random_entry)" 0 ;;
	3) pause_process "$(random_entry)" $ms ;;
	4) restart_process KILL "$(random_server)" $((RANDOM % 500)) ;;
	5) s=$(random_server); log_fault "TERM $s"; kill -TERM "${pids[$s]}" 2>/dev/null; restart_process KILL "$s" $((2500 + RANDOM % 500)) ;;
	6) pause_process "$(random_server)" $ms ;;
	7) inject_fault $base "down=$( ((RANDOM % 2)) && echo busy || echo silent)" down=no $ms ;;
	8) inject_fault $base lost_pct=30 lost_pct=0 $ms ;;
	9) log_fault forget; set_faults $base forget=1 ;;
	10) inject_fault "$(random_proxy)" "delay_ms=$((1 + RANDOM % 60))" delay_ms=0 $ms ;;
	11) inject_fault "$(random_proxy)" "silent=$( ((RANDOM % 2)) && echo up || echo down)" silent=no $ms ;;
	12) s=$(random_proxy); log_fault "reset $s"; set_faults "$s" reset=1
		[ -z "$backoff" ] || set_faults_at 'audit_off=1&audit_on=1' $(affected_ports "$s") ;;
	13) inject_fault "$(random_proxy)" refuse=1 refuse=0 $ms ;;
	14) inject_fault "$(server_port "$(random_server)")" "$(random_response_fault)" 'hang_pct=0&cut_pct=0&unframed_pct=0&long_pct=0' $ms ;;
	16 | 17 | 18) inject_fault "$(server_port "$(random_server)")" "limit_milli=$(random_limit)" "limit_milli=-1" $((3000 + RANDOM % 8000)) ;;
	19) set_faults "$(server_port "$(random_server)")" "limit_asked=$((RANDOM % 2))&limit_odd=$((RANDOM % 2))" ;;
	15) log_fault patch; patch "soak.k$RANDOM=true" &
		s=$(random_entry); kill -HUP "${pids[$s]}" 2>/dev/null ;;
	esac
}
# Sends copies of one fatal request to random instances until the file
# `stop_fatal` exists.
send_fatal() { # interval in seconds
	local n=0
	RANDOM=$((seed + 1000))
	while [ ! -e "$logs/stop_fatal" ]; do
		n=$((n + 1))
		curl -s -m 2 -o /dev/null -X POST -H 'X-Tenant: strada' \
			-H "X-Request-Id: fatal-$1-$n" -d ends-servers \
			"http://127.0.0.1:$((base + 10 + RANDOM % entries))/v1/call/harta"
		sleep "$1"
	done
}
# Restarts the servers that have crashed under the fatal request.
restart_crashed_servers() {
	local i name rc
	for i in 0 1 2; do
		name=server:harta-$i
		kill -0 "${pids[$name]}" 2>/dev/null && continue
		wait "${pids[$name]}"
		rc=$?
		[ $rc -eq $CRASH_EXIT ] || log_fault "$name exited with $rc"
		start $name
	done
}
count_crashes() { cat "$logs"/server:harta-*.log | grep -c 'ends under'; }
# Succeeds if few servers crashed since the given count.
few_crashes() { # crashes before
	echo "$(($(count_crashes) - $1)) servers crashed after the faults"
	(($(count_crashes) - $1 <= CRASHES_MAX))
}
no_server_faults='body_kb=0&chunked=0&bad_head_pct=0&hang_pct=0&cut_pct=0&unframed_pct=0&long_pct=0&limit_milli=-1&limit_odd=0&shed_pct=0&backoff_milli=-1&backoff_odd=0&late_ms=0&unlisted=0'
# Clears all faults and resumes all processes.
clear_faults() {
	set_faults $base 'down=no&lost_pct=0&era_named=ok'
	for p in $((base + 1)) $((base + 59)) $((base + 79)); do
		set_faults $p 'delay_ms=0&silent=no&refuse=0&reset=1'
	done
	for s in 0 1 2; do
		set_faults $((base + 50 + s)) "$no_server_faults"
		set_faults $((base + 70 + s)) "$no_server_faults"
	done
	[ -z "$links" ] || heal_links
	for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; done
}
check() { # label, command...
	local label=$1
	shift
	"$@" >>"$logs/checks.log" 2>&1 && return
	echo "soak seed $seed: FAIL $label"
	fails=$((fails + 1))
}
# Succeeds if no server that runs now got more than the limits that it
# announced.
limits_respected() {
	local s port bad=0
	for s in 0 1 2; do
		for port in $((base + 50 + s)) $((base + 70 + s)); do
			curl -s -m 2 "http://127.0.0.1:$port/stand/stats" | awk -v port=$port '
				$1 == "limited_got" {g = $2} $1 == "limited_worst" {w = $2} $1 == "limited_allowed" {a = $2}
				END {print port ": " w + 0 " in the worst window, " a + 0 " allowed, " g + 0 " in all"; exit !(w <= a)}' || bad=1
		done
	done
	return $bad
}
# Succeeds if no server that runs now got more than two requests of an instance
# in one backoff, or any after it announced that it drains. The second check
# begins sooner than the users' rule.
backoffs_respected() {
	local port bad=0
	for port in $(all_server_ports); do
		curl -s -m 2 "http://127.0.0.1:$port/stand/stats" | awk -v port="$port" '
			{n[$1] = $2}
			END {print port ": " n["backoffs"] + 0 " backoffs, at most " n["backoff_worst"] + 0 " requests of an instance in one; announced draining " n["draining_told"] + 0 " times, got " n["draining_got"] + 0 " requests afterwards"
				exit !(n["backoff_worst"] <= 2 && n["draining_got"] == 0)}' || bad=1
	done
	return $bad
}
# Succeeds if no instance takes a lower version between two of its starts. The
# same version may come again only after a restore.
versions_increase() {
	awk -v again="$drills" 'FNR == 1 {v = 0} / ev=100 / {v = 0}
		/ ev=200 / {match($0, /version=[0-9]+/); n = substr($0, RSTART + 8, RLENGTH - 8) + 0
			if (n < v || (n == v && !again)) {print FILENAME ": " $0; bad = 1}; v = n}
		END {exit bad}' "$logs"/entry:*.log
}
# Succeeds if each instance that was stopped has answered all its requests.
stops_answer_all() {
	! grep -h ' ev=102 .*open_requests=[1-9]' "$logs"/entry:*.log
}
# Succeeds if every process that no fault has ended is still running.
processes_running() {
	for name in "${!pids[@]}"; do
		kill -0 "${pids[$name]}" 2>/dev/null || {
			echo "$name exited on its own"
			return 1
		}
	done
}
# Succeeds if at least 95% of the calls after the faults were served.
calls_served() {
	awk '/^calls [0-9]+:/ {n = $2 + 0} $1 == "strada" || $1 == "semillero" {c += $3; d += $4}
		END {print d " of " c; exit !(c > 0 && d >= 0.95 * c)}' "$logs/after.txt"
}

. tests/soak_crowds.sh
. tests/soak_links.sh
. tests/soak_odd.sh
. tests/soak_drills.sh
. tests/soak_removals.sh
. tests/soak_workspaces.sh
write_ini >"$ini"
start store:
sleep 0.2
[ -z "$drills" ] || set_faults $base changes_only=1
: >"$logs/patches.log"
start proxy:
start proxy:harta
start proxy:becas-pagos
[ -z "$links" ] || start_links
sleep 0.1
for i in 0 1 2; do
	start server:harta-$i
	start server:becas-pagos-$i
done
[ -z "$workspaces" ] || init_workspaces
for ((i = 1; i <= entries; i++)); do start "$(printf 'entry:e%02d' "$i")"; done
sleep 3
[ -z "$links" ] || respond_unframed
if [ -n "$workspaces" ]; then
	start_callers "$((seconds + 1))" callers.txt &
else
	$bin load --deployment "$ini" --seconds "$((seconds + 1))" --rate 150 --patient 5 --seed "$seed" >"$logs/load.txt" 2>&1 &
fi
load_pid=$!
if [ -n "$fatal" ]; then
	send_fatal 0.4 &
	send_fatal 0.7 &
fi
end=$((SECONDS + seconds))
while ((SECONDS < end)); do
	if [ -n "$backoff" ] && ((RANDOM % 2)); then
		random_backoff_fault
	elif [ -n "$drills" ] && ((RANDOM % 2)); then
		random_restore_fault
	elif [ -n "$links" ] && ((RANDOM % 2)); then
		random_link_fault
	elif [ -n "$crowds" ] && ((RANDOM % 2)); then
		random_crowd_fault
	elif [ -n "$odd" ] && ((RANDOM % 2)); then
		random_odd_fault
	elif [ -n "$workspaces" ] && ((RANDOM % 2)); then
		random_workspace_fault
	else
		random_fault
	fi
	sleep_ms $((RANDOM % 600))
	[ -z "$fatal" ] || restart_crashed_servers
	restart_stopped
	[ -z "$crowds" ] || note_usage
done
wait $load_pid
load_rc=$?
while ((${#stopping[@]})); do
	sleep_ms 100
	restart_stopped
done
clear_faults
if [ -n "$fatal" ]; then
	sleep 3 # until instances that were cut off or have just started know
	crashes_before=$(count_crashes)
	for ((i = 0; i < 8; i++)); do sleep 0.5; restart_crashed_servers; done
	check "after the faults: few servers crash under the fatal request" few_crashes "$crashes_before"
	touch "$logs/stop_fatal"
	sleep 1
	restart_crashed_servers
fi
sleep 4
check "under faults: no duplicate run, no false 'not run', no mismatched response" test $load_rc -eq 0
[ -z "$drills" ] || check "afterwards: a restore without other faults loses nothing" final_restore_loses_nothing
[ -z "$odd" ] || check "afterwards: instances start beside odd entries" odd_entries_stop_nobody
[ -z "$links" ] || check "afterwards: instances without links serve like the others" cut_serves_alike
if [ -n "$workspaces" ]; then
	check_workspaces
else
	check "afterwards: a version is in force everywhere" timeout 10 $bin ctl --deployment "$ini" patch soak.end=true --wait
	$bin load --deployment "$ini" --seconds 2 --rate 150 --seed "$((seed + 1))" >"$logs/after.txt" 2>&1
	check "afterwards: invariants hold" test $? -eq 0
	check "afterwards: calls are served" calls_served
fi
if [ -n "$removals" ]; then
	check "afterwards: a server that leaves is off all calm instances in time" removal_reaches_calm
	check "afterwards: instances that are gone are named no more" removed_are_forgotten
fi
[ -z "$crowds" ] || check "no instance took more than its memory or sockets" usage_in_bounds
check "no server got more than the limit that it announced" limits_respected
check "servers get nothing during a backoff, nor after they announced that they drain" backoffs_respected
check "versions never decrease" versions_increase
check "a stopped instance leaves no request without a response" stops_answer_all
check "no process exited on its own" processes_running
check "no invariant violated" sh -c "! grep -l ' ev=900 ' '$logs'/*.log"
if ((fails)); then
	echo "soak seed $seed: $fails check(s) failed; logs in $logs"
	tail -n 5 "$logs/checks.log"
	exit 1
fi
echo "soak seed $seed: ok, $(wc -l <"$logs/faults.log") faults, $entries entries"
stop_all
rm -rf "$logs"
exit 0
