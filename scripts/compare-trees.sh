#!/bin/bash
# Compares versions of the project: runs the same days and seeds of a site on
# each tree, and prints a table row per tree; the first one is the base.
#   scripts/compare-trees.sh BENCH SITE "DAYS" "SEEDS" JOBS TREE...
# BENCH is the users' benchmark, SITE a site file, a day a name or a TOML file
# in the trees, TREE the directory of a committed copy. The journal entries are
# copied back.
set -eu
[ $# -ge 6 ] || {
	sed -n '2,7s/^# //p' "$0" >&2
	exit 2
}
bench=$(realpath "$1") site=$(realpath "$2") days=$3 seeds=$4 jobs=$5
shift 5
top=$(git rev-parse --show-toplevel)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export bench site work

run_day() { # tree, day, seed
	local name
	name=$(basename "$1").$(basename "$2" .toml).$3
	(cd "$1" && "$bench" run "$site" "$2" --seed "$3" --no-cpu --jobs 1 \
		--why "trial: compared, $(basename "$1")" \
		--report "$work/$name.json") >"$work/$name.txt" 2>&1 || true
	[ -f "$work/$name.json" ] || tail -n 3 "$work/$name.txt" >&2
}
export -f run_day

for tree in "$@"; do (cd "$tree" && "$bench" build >/dev/null); done
for day in $days; do
	for seed in $seeds; do
		for tree in "$@"; do echo "$(realpath "$tree") $day $seed"; done
	done
done | xargs -P "$jobs" -L 1 bash -c 'run_day "$0" "$1" "$2"'
for tree in "$@"; do cp -rn "$tree/journal/." "$top/journal/" 2>/dev/null || true; done
python3 - "$work" "$@" <<'END'
import glob, json, os, statistics, sys

def reports(name):
    for path in sorted(glob.glob(f"{sys.argv[1]}/{name}.*.json")):
        with open(path) as f:
            yield path.split("/")[-1].split(".", 1)[1], json.load(f)

names = [os.path.basename(os.path.realpath(t)) for t in sys.argv[2:]]
base = {key: r["G"] for key, r in reports(names[0])}
print("| tree | days | worth | difference | standard error | on time | late | refused | failed | rules broken |")
print("|---|---|---|---|---|---|---|---|---|---|")
for name in names:
    rs = {k: r for k, r in reports(name) if k in base}
    if not rs:
        continue
    diff = [rs[k]["G"] - base[k] for k in rs]
    n = sum(r["all"]["n"] for r in rs.values())
    shares = [sum(r["all"][k] for r in rs.values()) / n
              for k in ("in_aim", "late", "refused", "failed")]
    error = statistics.stdev(diff) / len(diff) ** 0.5 if len(diff) > 1 else 0
    broken = sum(1 for r in rs.values() if r.get("rules"))
    print(f"| {name} | {len(rs)} | {statistics.mean(r['G'] for r in rs.values()):.4f} "
          f"| {statistics.mean(diff):+.4f} | {error:.4f} | "
          + " | ".join(f"{s:.4f}" for s in shares) + f" | {broken} |")
END
