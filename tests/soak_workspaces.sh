# Sourced by tests/soak.sh for its mode "workspaces": callers use keys of
# workspaces while the operator adds, drops and moves keys and changes quotas,
# in series and several times a second, and evacuates data centres. What the servers ran is checked by
# tests/workspace_audit.awk.
WORKSPACES=(amplia mediana escasa sin-limite)
KEYS=6            # keys k0.. that may be held by a workspace
UNKNOWN_KEY=kx    # never held by any
CALLERS_RATE=150
declare -A quota key_holder
version=0

# Every workspace has a key of its own for good; the others change hands.
init_workspaces() {
	local k w
	quota=([amplia]=400:100 [mediana]=30:10 [escasa]=4:2 [sin-limite]=0:0)
	for w in "${WORKSPACES[@]}"; do key_holder[k-$w]=$w; done
	for ((k = 0; k < KEYS; k++)); do key_holder[k$k]=${WORKSPACES[$((k % 4))]}; done
	write_version
}
# Writes a version with the current keys and quotas until the store confirms
# it, and logs when.
write_version() {
	local w k list=() keys from
	version=$((version + 1 + RANDOM % 3))
	for w in "${WORKSPACES[@]}"; do
		keys=
		for k in "${!key_holder[@]}"; do
			[ "${key_holder[$k]}" != "$w" ] || keys+=,$k
		done
		list+=("$w:${quota[$w]}:${keys#,}")
	done
	from=$(date +%s%3N)
	until $bin operator --deployment "$ini" --version $version "${list[@]}" 2>>"$logs/operator.log"; do sleep 0.1; done
	echo "config from=$from confirmed=$(date +%s%3N) ${list[*]}" >>"$logs/versions.log"
}
# Changes one thing: a key is dropped, added or moved, or a quota is set.
change_workspaces() {
	local k=k$((RANDOM % KEYS)) w=${WORKSPACES[$((RANDOM % 4))]} rates=(0:0 2:1 20:5 60:30 300:50)
	case $(random_below 5) in
	0) log_fault "drop $k"; unset "key_holder[$k]" ;;
	1 | 2) log_fault "$k to $w"; key_holder[$k]=$w ;;
	3 | 4)
		[ "$w" != amplia ] || w=mediana
		quota[$w]=${rates[$((RANDOM % 5))]}
		log_fault "quota of $w ${quota[$w]}" ;;
	esac
}
# Evacuates a data centre and takes that back, in the background.
evacuate() { # ms
	local dcs=(hala-sibiu gt-central-a) dc
	dc=${dcs[$((RANDOM % 2))]}
	log_fault "evacuate $dc for $1 ms"
	(
		$bin operator --deployment "$ini" --evacuate $dc
		sleep_ms "$1"
		until $bin operator --deployment "$ini" --restore $dc; do sleep 0.1; done
	) 2>>"$logs/operator.log" &
}
random_workspace_fault() {
	local i n=$((1 + RANDOM % 3))
	if ((RANDOM % 5 == 0)); then
		evacuate $((500 + RANDOM % 3000))
		return
	fi
	for ((i = 0; i < n; i++)); do
		change_workspaces
		((RANDOM % 2)) || write_version
	done
	write_version
}
# Starts callers that use all keys; some of them often.
start_callers() { # seconds, output
	local k all=($UNKNOWN_KEY k-escasa k-escasa k-amplia k-amplia k-mediana k-sin-limite)
	for ((k = 0; k < KEYS; k++)); do all+=(k$k); done
	$bin callers --deployment "$ini" --seconds "$1" --rate $CALLERS_RATE --seed "$seed" "${all[@]}" >"$logs/$2" 2>&1
}
# Succeeds if what the servers ran agrees with all versions.
workspaces_respected() {
	cat "$logs/versions.log" "$logs"/server:*.log "$logs"/callers*.txt |
		grep -aE '^(config|calm|run|call) ' | awk -f tests/workspace_audit.awk
}
# Succeeds if nearly all calls with this key got through in the calm.
key_served() { # key
	awk -v key="key=$1" '$5 == key {n++; ok += $6 == "status=200"; left += / left$/}
		END {print key ": " ok " of " n - left " served"; exit !(n > left && ok >= 0.95 * (n - left))}' "$logs/callers-calm.txt"
}
# Succeeds if at most 1 in N calls with this key got 429 (beyond its quota).
key_within_quota() { # key, calls, N
	awk -v key="key=$1" -v n="$3" '$5 == key {calls++; beyond += $6 == "status=429"}
		END {print key ": " beyond + 0 " of " calls " got 429"; exit !(calls && beyond * n <= calls)}' "$logs/$2.txt"
}
# Succeeds if no log of an instance shows a key, except in ids of attempts.
no_key_logged() { ! sed -E 's/ id=[^ ]*//g' "$logs"/entry:*.log | grep -E '[=" ,]k(-[a-z]+|[0-9x])([^a-z0-9]|$)'; }
# Succeeds if every instance has applied the newest version.
newest_version_applied() {
	local i v bad=0
	for ((i = 1; i <= entries; i++)); do
		v=$(curl -s -m 2 "http://127.0.0.1:$((base + 9 + i))/admin/metrics" | awk '$1 == "config_version" {print $2}')
		[ "$v" = $version ] || { bad=1; echo "e$i: version $v, expected $version"; }
	done
	return $bad
}
# Checks what holds after the faults, and what the servers ran all along.
check_workspaces() {
	echo "calm ms=$(date +%s%3N)" >>"$logs/versions.log"
	write_version
	sleep 2.5
	check "afterwards: the newest version is in force everywhere" newest_version_applied
	start_callers 6 callers-calm.txt &
	callers_pid=$!
	sleep 3
	key_holder[k0]=sin-limite
	unset 'key_holder[k1]'
	write_version
	wait $callers_pid
	check "afterwards: calls below a quota are served" key_served k-amplia
	check "under faults: few calls below a quota get 429" key_within_quota k-amplia callers 20
	check "afterwards: hardly a call below a quota gets 429" key_within_quota k-amplia callers-calm 200
	check "keys and names of workspaces, and the sum of each" workspaces_respected
	check "no key in a log" no_key_logged
}
