#!/bin/bash
# Regression test: instances that have lost their links to the backend servers
# must serve their callers' first attempts, through instances that reach them.
#
# Setup: a store, two services of three servers, and six instances in two data
# centres. Each instance reaches the servers through proxies of its own, which
# refuse, reset, swallow or leave unanswered what they are told to. Callers make
# single attempts at every instance from the moment of the cut on.
set -u
cd "$(dirname "$0")/.."
bin=${MP_BIN:-target/mimosapitch}
logs=$(mktemp -d)
. tests/checks.sh
ini=$logs/deployment.ini
ENTRIES=6
RATE=40 # calls per second at each instance
CUT_S=3
SERVICES=(harta becas-pagos)
declare -A ports=([harta]=12300 [becas-pagos]=12320)
declare -A pids

cat >"$ini" <<'INI'
[platform]
listen = 127.0.0.1:12000
append_limit_per_s = 300
member_ttl_ms = 3000
[entry]
platform = 127.0.0.1:12000
[service.harta]
tenant = strada
workers = 3
slots = 8
base_port = 12300
work_ms = 4
dcs = hala-cluj,hala-sibiu
[service.becas-pagos]
tenant = semillero
workers = 3
slots = 8
base_port = 12320
work_ms = 6
protected = true
dcs = gt-central-a,gt-central-b
INI
for ((i = 0; i < ENTRIES; i++)); do
	printf '[entry.e%d]\nlisten = 127.0.0.1:%d\ndc = %s\nserver_host = 127.0.0.%d\n' \
		$i $((12100 + i)) "$( ((i < 3)) && echo hala-cluj || echo hala-sibiu)" $((20 + i))
done >>"$ini"

# Kills all processes that the test started.
stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
}
trap stop_all EXIT
start_server() { # service, index
	$bin backend --deployment "$ini" --service "$1" --index "$2" --seed 5 2>>"$logs/server-$1-$2.log" &
	pids[$1-$2]=$!
}
start_entry() { # instance
	$bin entry --deployment "$ini" --name "e$1" >>"$logs/entry-$1.log" 2>&1 &
	pids[e$1]=$!
}
# Sets faults of an instance's proxies to a service.
set_links() { # query, service, instances...
	local query=$1 service=$2 i
	shift 2
	for i in "$@"; do
		curl -s -m 2 -X POST "http://127.0.0.$((20 + i)):$((${ports[$service]} - 1))/stand/faults?$query" >/dev/null
	done
}
# Sets faults of the links to both services, or to one of them.
cut_links() { # query, service or "all", instances...
	local query=$1 service=$2 s
	shift 2
	for s in "${SERVICES[@]}"; do
		[ "$service" != all ] && [ "$service" != "$s" ] || set_links "$query" "$s" "$@"
	done
}
HEAL='closed=0&hang=0&refuse=0&silent=no'
# Calls every instance for some seconds.
call_all() { # name, seconds
	local i jobs=()
	for ((i = 0; i < ENTRIES; i++)); do
		$bin load --deployment "$ini" --name "e$i" --seconds "$2" --rate $RATE --seed $((i + 1)) \
			>"$logs/load-$1-$i.txt" 2>&1 &
		jobs+=($!)
	done
	wait "${jobs[@]}"
}
# Prints the calls and the served ones of some instances.
served() { # name, instances...
	local name=$1 i
	shift
	for i in "$@"; do cat "$logs/load-$name-$i.txt"; done |
		awk '$1 == "strada" || $1 == "semillero" {c += $3; d += $4} END {print c + 0, d + 0}'
}
# Succeeds if first attempts at the cut-off instances were served at least two
# thirds as often as at the others, or if few of all failed.
served_alike() { # name, cut-off instances...
	local name=$1 i all=() others=()
	shift
	for ((i = 0; i < ENTRIES; i++)); do
		all+=($i)
		[[ " $* " = *" $i "* ]] || others+=($i)
	done
	echo "$(served "$name" "$@") $(served "$name" "${others[@]}")" | awk '
		{print "cut off: " $2 " of " $1 " served, others: " $4 " of " $3
		 failed = $1 - $2 + $3 - $4
		 exit !($1 > 0 && $3 > 0 && ($2 / $1 >= 2 / 3 * $4 / $3 || failed <= 10 + ($1 + $3) / 50))}'
}
# Succeeds if all load runs of a play kept the invariants: responses to their own
# calls, no protected call run twice, none that ran reported as not run.
invariants_held() { # name
	local i bad=0
	for ((i = 0; i < ENTRIES; i++)); do
		grep -q 'foreign responses 0, protected calls run twice 0, reported not-run but ran 0, new work after leaving 0' \
			"$logs/load-$1-$i.txt" || { bad=1; cat "$logs/load-$1-$i.txt"; }
	done
	return $bad
}
# Plays a cut and checks what callers got meanwhile, and after it.
play() { # name, query, service or "all", instances...
	local name=$1 query=$2 service=$3
	shift 3
	cut_links "$query" "$service" "$@"
	play_cut "$name" "$service" "$@"
}
# The same for a cut that has begun already; $WHILE_CUT is run meanwhile.
play_cut() { # name, service or "all", instances...
	local name=$1 service=$2
	shift 2
	call_all "$name" $CUT_S &
	local calls=$!
	[ -z "${WHILE_CUT:-}" ] || $WHILE_CUT
	wait $calls
	check "$name: first attempts served alike" served_alike "$name" "$@"
	check "$name: invariants" invariants_held "$name"
	cut_links "$HEAL" "$service" "$@"
	sleep 1
	call_all "$name-after" 1
	check "$name: served alike after the heal" served_alike "$name-after" "$@"
}
# Stops some instances one after the other and starts them again.
restart_in_turn() { # instances...
	local i
	sleep 0.5
	for i in "$@"; do
		kill -TERM "${pids[e$i]}"
		wait "${pids[e$i]}"
		start_entry "$i"
	done
}
# Succeeds if no call at these instances ended with an unknown outcome.
none_unknown() { # name, instances...
	local name=$1 i
	shift
	for i in "$@"; do cat "$logs/load-$name-$i.txt"; done |
		awk '$1 == "strada" || $1 == "semillero" {u += $6} END {print u + 0 " unknown"; exit u > 0}'
}
# Counts the log lines of all instances that match a pattern.
count_lines() { cat "$logs"/entry-*.log | grep -cE "$1"; }
# Succeeds if callers of a service without servers were refused quickly, tunnels
# were hardly tried, and the other service wasn't affected.
gone_servers_refused() { # name, tunnels opened before, tunnels failed before
	local opened failed
	opened=$(($(count_lines ' ev=362 ') - $2))
	failed=$(($(count_lines ' ev=363 ') - $3))
	cat "$logs"/load-$1-*.txt | awk -v opened=$opened -v failed=$failed -v entries=$ENTRIES '
		$1 == "strada" {c += $3; d += $4; n += $5}
		$1 == "semillero" {oc += $3; od += $4}
		END {print "gone: " d " of " c " served, " n " refused; the other service: " od " of " oc "; tunnels: " opened " opened, " failed " failed"
			exit !(c > 0 && d == 0 && n == c && od == oc && opened == 0 && failed <= 20 * entries)}'
}
# Succeeds if the id of a request that was sent through a tunnel leads to the
# lines of both instances.
explained_by_one_id() {
	local id
	id=$(grep -h ' ev=410 .* via=e' "$logs"/entry-*.log | tail -n 1 | grep -o ' id=[^ ]*' | cut -d= -f2)
	echo "request $id"
	grep -H . "$logs"/entry-*.log | $bin explain "$id" >"$logs/explained.txt"
	grep -c . "$logs/explained.txt"
	grep -q 'ev=410 .*via=e' "$logs/explained.txt" && grep -q 'ev=362 ' "$logs/explained.txt" &&
		grep -q 'ev=364 ' "$logs/explained.txt" &&
		[ "$(grep -oE 'entry-[0-9].log: (sent to|the peer serves)' "$logs/explained.txt" | cut -d: -f1 | sort -u | wc -l)" -ge 2 ]
}
no_server_suspected() { ! grep -h ' ev=331 ' "$logs"/entry-*.log; }

$bin store --deployment "$ini" 2>"$logs/store.log" &
pids[store]=$!
sleep 0.2
for s in "${SERVICES[@]}"; do
	for i in 0 1 2; do start_server "$s" $i; done
	for ((i = 0; i < ENTRIES; i++)); do
		$bin proxy --deployment "$ini" --service "$s" --name "e$i" >>"$logs/proxy.log" 2>&1 &
		pids[proxy-$s-$i]=$!
	done
done
for ((i = 0; i < ENTRIES; i++)); do start_entry $i; done
sleep 3
for s in "${SERVICES[@]}"; do
	for i in 0 1 2; do
		curl -s -m 2 -X POST "http://127.0.0.1:$((${ports[$s]} + i))/stand/faults?quiet=1" >/dev/null
	done
done
play before-first-request 'hang=1&silent=both' all 0 1 2
call_all calm 2
check "calm: served alike" served_alike calm 0 3
check "calm: invariants" invariants_held calm

play refused 'closed=1&reset=1' all 0 3
play hanging 'hang=1&silent=both' all 1 4
play reset 'refuse=1&reset=1' all 2 5
play new-connections 'closed=1' all 0 4
play data-centre 'closed=1&reset=1' all 0 1 2
play data-centre-hanging 'hang=1&silent=both' all 3 4 5
play one-service 'closed=1&reset=1' harta 1 2
check "one id explains both ends of a tunnel" explained_by_one_id
cut_links 'closed=1&reset=1' all 0 3
kill -KILL "${pids[e0]}"
wait "${pids[e0]}" 2>/dev/null
start_entry 0
sleep 2
play_cut started-anew all 0 3
cut_links 'closed=1&reset=1' all 0 3
WHILE_CUT='restart_in_turn 1 2' play_cut peers-restart all 0 3
check "peers-restart: no outcome unknown" none_unknown peers-restart 0 3
sleep 1
opened=$(count_lines ' ev=362 ')
failed=$(count_lines ' ev=363 ')
for i in 0 1 2; do
	kill -KILL "${pids[harta-$i]}"
	wait "${pids[harta-$i]}" 2>/dev/null
done
call_all gone 2
check "gone servers: refused, and no tunnels" gone_servers_refused gone "$opened" "$failed"
check "gone: invariants" invariants_held gone
for i in 0 1 2; do start_server harta $i; done
sleep 3
call_all back 1
check "back: served alike" served_alike back 0 3
check "no request was quarantined" no_server_suspected

cat "$logs/checks.log" | grep -E '^cut off' || true
if ((fails)); then
	echo "partition: $fails check(s) failed; logs in $logs"
	exit 1
fi
echo "partition: ok"
stop_all
rm -rf "$logs"
