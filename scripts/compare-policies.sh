#!/bin/bash
# Runs the same seeded load against each routing policy in turn, on the built-in
# default deployment (both tenants, 59 servers with noise, cold start and load
# shedding, 3 instances). Repeats this for ROUNDS rounds, so that drift shows.
# Writes docs/policy/compare.csv and, if gnuplot is installed,
# docs/policy/p99.png.
#   scripts/compare-policies.sh [SECONDS] [RATE] [ROUNDS]
set -u
cd "$(dirname "$0")/.."
. scripts/local-lib.sh
secs=${1:-5}
rate=${2:-600}
rounds=${3:-2}
logs=$(mktemp -d)
trap local_stop EXIT
ini=$logs/settings.ini
$bin default-deployment >"$ini"
local_start "$ini" "$logs" || exit $?
mkdir -p docs/policy
out=docs/policy/compare.csv
echo "round,policy,tenant,service,calls,done,not_run,p50_ms,p99_ms,p999_ms" >"$out"
for ((r = 1; r <= rounds; r++)); do
	for pol in rr random least p2c load; do
		$bin ctl --deployment "$ini" patch policy=$pol --wait >/dev/null
		$bin load --deployment "$ini" --seconds "$secs" --rate "$rate" --seed $r \
			>"$logs/load-$pol-$r.txt" 2>&1
		awk -v r=$r -v p=$pol '$1=="strada"||$1=="semillero"{print r "," p "," $1 "," $2 "," $3 "," $4 "," $5 "," $8 "," $9 "," $10}' \
			"$logs/load-$pol-$r.txt" >>"$out"
	done
done
cat "$out"
if command -v gnuplot >/dev/null; then
	awk -F, 'NR>1{k=$2; s[k]+=$9; n[k]++} END{for (k in s) print k, s[k]/n[k]}' "$out" >"$logs/mean.dat"
	gnuplot <<GP
set terminal png size 640,360
set output "docs/policy/p99.png"
set title "mean p99 over services and rounds (ms), ${rate} calls/s"
set style fill solid
set boxwidth 0.6
set yrange [0:*]
plot "$logs/mean.dat" using 0:2:xtic(1) with boxes notitle
GP
fi
