# Sourced by tests/soak.sh for its mode "drills": the store is restored from
# backups, and what was confirmed before the last one must not be lost.
# A backup is taken, or the store is restored from one, once or twice, or its
# era header is malformed.
random_restore_fault() {
	local how=(reset silent answer) ms=$((RANDOM % 1000))
	how=${how[$((RANDOM % 3))]}
	case $(random_below 6) in
	0) log_fault backup; set_faults $base copy=1 ;;
	1 | 2) log_fault "store down $ms ms, restore $how"
		set_faults $base down=reset
		(sleep_ms $ms; set_faults $base "down=no&restore=$how") & ;;
	3) log_fault "two restores $how, $((ms / 2)) ms apart"
		set_faults $base "restore=$how&era_skip=$((RANDOM % 3))"
		(sleep_ms $((ms / 2)); set_faults $base "restore=$how") & ;;
	4) log_fault "backup, patch, restore $how"
		set_faults $base copy=1
		patch "soak.k$RANDOM=true"
		set_faults $base "restore=$how" ;;
	5) local named=(none odd huge)
		inject_fault $base "era_named=${named[$((RANDOM % 3))]}" era_named=ok $ms ;;
	esac
}
# Prints the highest version that was accepted.
newest_accepted() { awk '/^accepted: version/ {if ($3 > n) n = $3} END {print n + 0}' "$logs/patches.log"; }
# Writes patches until the version numbers reach those lost in a restore.
rewrite_lost_versions() {
	local newest=$(newest_accepted) k
	for ((k = 0; k < 60; k++)); do
		[ "$($bin ctl --deployment "$ini" show | awk '/^live version/ {print $3}')" -lt "$newest" ] || return 0
		patch "soak.again$k=true"
	done
}
# Succeeds if every instance uses this version.
version_in_force() { # version
	local out
	out=$($bin ctl --deployment "$ini" status)
	echo "version $1 expected"
	echo "$out"
	awk -v v="$1" 'NR > 1 && $2 != v {bad = 1} END {exit bad || NR < 2}' <<<"$out"
}
# Succeeds if every instance lists all six servers.
all_list_servers() {
	local i n bad=0
	for ((i = 1; i <= entries; i++)); do
		n=$(curl -s -m 2 "http://127.0.0.1:$((base + 9 + i))/admin/metrics" | awk '/^service_backends/ {s += $2} END {print s + 0}')
		[ "$n" = 6 ] || { bad=1; echo "e$i: $n servers"; }
	done
	return $bad
}
# Restores the store once more, without other faults: nothing that was confirmed
# before may be lost, and later versions must take effect.
final_restore_loses_nothing() {
	rewrite_lost_versions
	patch soak.before=true
	sleep 1
	set_faults $base copy=1
	patch soak.lost=true
	sleep 1
	set_faults $base restore=reset
	sleep 2
	version_in_force "$(newest_accepted)" || return 1
	rewrite_lost_versions
	patch soak.after=true
	sleep 2
	version_in_force "$(newest_accepted)" && all_list_servers
}
