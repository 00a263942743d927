#!/bin/bash
# Starts every role on loopback as separate processes (the platform
# stand-in, each service's workers, the entry instances), publishes a first
# configuration, drives both tenants' load through them, and stops what it
# started.   scripts/run-local.sh [SETTINGS.ini] [load options ...]
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
logs=$(mktemp -d)
trap local_stop EXIT
ini=$logs/settings.ini
if [ $# -gt 0 ] && [ -f "$1" ]; then
	cp "$1" "$ini"
	shift
else
	$bin default-settings >"$ini"
fi
local_start "$ini" "$logs" || exit $?
$bin ctl --settings "$ini" patch --base 0 policy=p2c --wait
$bin load --settings "$ini" "$@"
rc=$?
echo "logs in $logs"
exit $rc
