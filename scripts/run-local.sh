#!/bin/bash
# Starts every role on loopback as separate processes (the platform
# stand-in, each service's workers, the entry instances), drives both
# tenants' load through them, and stops what it started, by pid.
#   scripts/run-local.sh [SETTINGS.ini] [load options ...]
set -u
cd "$(dirname "$0")/.."
bin=./mimosapitch
settings=()
if [ $# -gt 0 ] && [ -f "$1" ]; then
	settings=(--settings "$1")
	shift
fi
logs=$(mktemp -d)
pids=()
stop_all() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
}
trap stop_all EXIT

ini=$(mktemp)
if [ ${#settings[@]} -gt 0 ]; then cp "${settings[1]}" "$ini"; else $bin default-settings >"$ini"; fi
$bin check --settings "$ini" || exit 78

$bin platform --settings "$ini" 2>"$logs/platform.log" &
pids+=($!)
sleep 0.3
# Services and their worker counts, from the settings file itself.
awk -F' *= *' '/^\[service\./{s=substr($0,10,length($0)-10)} /^workers/{print s, $2}' "$ini" |
while read -r svc n; do
	for ((i = 0; i < n; i++)); do echo "$svc $i"; done
done >"$logs/workers.txt"
while read -r svc i; do
	$bin worker --settings "$ini" --service "$svc" --index "$i" --seed 7 \
		2>>"$logs/workers.log" &
	pids+=($!)
done <"$logs/workers.txt"
for e in $(awk '/^\[entry\./{print substr($0,8,length($0)-8)}' "$ini"); do
	$bin entry --settings "$ini" --name "$e" 2>"$logs/entry-$e.log" &
	pids+=($!)
done
sleep 2.5
$bin ctl --settings "$ini" patch --base 0 policy=p2c --wait
$bin load --settings "$ini" "$@"
rc=$?
echo "logs in $logs"
exit $rc
