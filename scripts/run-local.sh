#!/bin/bash
# Runs a deployment on loopback as separate processes: the simulated store, each
# service's backend servers and the entry instances. Patches the configuration,
# runs the load of both tenants and stops the processes.
#   scripts/run-local.sh [DEPLOYMENT.ini] [load options ...]
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
