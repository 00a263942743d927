#!/bin/bash
# Starts every role on loopback as separate processes (the store stand-in,
# each service's backend servers, the entry instances), patches the
# configuration, drives both tenants' load through them, and stops what it
# started.   scripts/run-local.sh [DEPLOYMENT.ini] [load options ...]
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
logs=$(mktemp -d)
trap local_stop EXIT
ini=$logs/deployment.ini
if [ $# -gt 0 ] && [ -f "$1" ]; then
	cp "$1" "$ini"
	shift
else
	$bin default-deployment >"$ini"
fi
local_start "$ini" "$logs" || exit $?
$bin ctl --deployment "$ini" patch --base 0 policy=load --wait
$bin load --deployment "$ini" "$@"
rc=$?
echo "logs in $logs"
exit $rc
