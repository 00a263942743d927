#!/bin/bash
# Ablation: runs days of a site with each mechanism switched off, on several
# seeds, and prints one table row per mechanism.
#   scripts/ablate.sh BENCH SITE "DAYS" "SEEDS" [JOBS]
# BENCH is the users' benchmark, SITE a site file. Works in a scratch copy of
# the committed tree and copies its journal entries back.
set -eu
[ $# -ge 4 ] || {
	sed -n '2,6s/^# //p' "$0" >&2
	exit 2
}
bench=$(realpath "$1") site=$(realpath "$2") days=$3 seeds=$4 jobs=${5:-4}
top=$(git rev-parse --show-toplevel)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mechanisms=$(sed -n 's/^\tbool \([a-z_]*\);.*/\1/p' "$top/core/mechanisms.h")

# Runs one day in one of the scratch copies.
run_day() { # directory, day, seed
	(cd "$1" && "$bench" run "$site" "$2" --seed "$3" --no-cpu \
		--why "ablation: $(basename "$1") off" \
		--report "$work/$(basename "$1").$2.$3.json") >/dev/null
}
export -f run_day
export bench site work

git clone -q "$top" "$work/nothing"
make -s -C "$work/nothing" target/mimosapitch >/dev/null
for m in $mechanisms; do
	cp -a "$work/nothing" "$work/$m"
	printf '\n[policy]\n%s = false\n' "$m" >>"$work/$m/deploy/instance.ini"
done
for m in nothing $mechanisms; do
	for day in $days; do
		for seed in $seeds; do echo "$work/$m $day $seed"; done
	done
done | xargs -P "$jobs" -L 1 bash -c 'run_day "$0" "$1" "$2"'
for m in nothing $mechanisms; do
	cp -rn "$work/$m/journal/." "$top/journal/"
done
python3 - "$work" nothing $mechanisms <<'END'
import glob, json, statistics, sys

def reports(name):
    for path in sorted(glob.glob(f"{sys.argv[1]}/{name}.*.json")):
        with open(path) as f:
            yield path.split("/")[-1].split(".", 1)[1], json.load(f)

base = {key: r["G"] for key, r in reports("nothing")}
print("| off | score | difference | standard error | on time | late | refused | failed |")
print("|---|---|---|---|---|---|---|---|")
for name in sys.argv[2:]:
    rs = dict(reports(name))
    diff = [rs[k]["G"] - base[k] for k in rs]
    n = sum(r["all"]["n"] for r in rs.values())
    shares = [sum(r["all"][k] for r in rs.values()) / n
              for k in ("in_aim", "late", "refused", "failed")]
    error = statistics.stdev(diff) / len(diff) ** 0.5 if len(diff) > 1 else 0
    print(f"| {name} | {statistics.mean(r['G'] for r in rs.values()):.4f} "
          f"| {statistics.mean(diff):+.4f} | {error:.4f} | "
          + " | ".join(f"{s:.3f}" for s in shares) + " |")
END
