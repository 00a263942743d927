#!/bin/bash
# Demonstrates the explain command, as docs/OPERATIONS.md shows it: causes three
# kinds of failed requests on simulated servers and explains each from its id
# and the logs. One is refused, one has an unknown outcome, one is late. Every
# process started here is stopped here, by pid.
#   scripts/explain-demo.sh
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
logs=$(mktemp -d)
ini=tests/e2e.ini
trap 'local_stop; rm -rf "$logs"' EXIT
local_start "$ini" "$logs" || exit $?
# Sets or clears simulated faults of every server.
set_all_server_faults() { # query
	for port in 18300 18301 18302 18380 18381 18382; do
		curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?$1" >/dev/null
	done
}
# Sends one call and prints the status and the headers that tell its outcome.
call() { # service, tenant, id
	curl -s -m 3 -o /dev/null -D - -X POST -H "X-Tenant: $2" -H "X-Request-Id: $3" \
		-H "Idempotency-Key: $3" -H 'X-Deadline-Ms: 400' \
		http://127.0.0.1:18101/v1/call/$1 | tr -d '\r' | grep -iE '^HTTP|^X-Outcome|^Retry'
}
# Prints the command and its explanation of a request.
explain() { # id
	echo "\$ grep -H . entry-*.log | mimosapitch explain $1"
	(cd "$logs" && grep -H . entry-*.log) | $bin explain "$1"
	echo
}
set_all_server_faults quiet=1
echo "== refused: every server rejects requests"
set_all_server_faults shed=1
call harta strada refused-1
explain refused-1
echo "== unknown: the servers accept the request and never respond"
set_all_server_faults 'shed=0&hang_pct=100'
call becas-pagos semillero unknown-1
explain unknown-1
echo "== late: the first server never responds, a second one does"
for port in 18301 18302; do curl -s -m 2 -X POST "http://127.0.0.1:$port/stand/faults?hang_pct=0" >/dev/null; done
for k in 1 2 3 4 5 6 7 8; do
	call harta strada late-$k >/dev/null
	grep -q "ev=410 .* id=late-$k .*send=2" "$logs"/entry-*.log && break
done
explain late-$k
