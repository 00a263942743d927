#!/bin/bash
# Brings about three kinds of failed request on the stand-ins and explains
# each from its id and the logs alone, as docs/OPERATIONS.md shows: one that
# is refused, one whose outcome is unknown, one that is late. Stops what it
# started.   scripts/explain-demo.sh
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
logs=$(mktemp -d)
ini=tests/e2e.ini
trap 'local_stop; rm -rf "$logs"' EXIT
local_start "$ini" "$logs" || exit $?
servers() { # query
	for port in 18300 18301 18302 18380 18381 18382; do
		curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?$1" >/dev/null
	done
}
call() { # service tenant id
	curl -s -m 3 -o /dev/null -D - -X POST -H "X-Tenant: $2" -H "X-Request-Id: $3" \
		-H "Idempotency-Key: $3" -H 'X-Deadline-Ms: 400' \
		http://127.0.0.1:18101/v1/call/$1 | tr -d '\r' | grep -iE '^HTTP|^X-Outcome|^Retry'
}
explain() {
	echo "\$ grep -H . entry-*.log | mimosapitch explain $1"
	(cd "$logs" && grep -H . entry-*.log) | $bin explain "$1"
	echo
}
servers quiet=1
echo "== refused: every server turns requests away"
servers shed=1
call harta strada refused-1
explain refused-1
echo "== unknown: the servers take the request and never answer"
servers 'shed=0&hang_pct=100'
call becas-pagos semillero unknown-1
explain unknown-1
echo "== late: the first server never answers, a second one does"
for port in 18301 18302; do curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?hang_pct=0" >/dev/null; done
for k in 1 2 3 4 5 6 7 8; do
	call harta strada late-$k >/dev/null
	grep -q "ev=410 .* id=late-$k .*send=2" "$logs"/entry-*.log && break
done
explain late-$k
