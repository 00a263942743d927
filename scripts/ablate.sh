#!/bin/bash
# What each mechanism is worth: plays days of a site with each switched off, on
# several seeds, and prints one line a mechanism.
#   scripts/ablate.sh BENCH SITE "DAYS" "SEEDS" [JOBS]
# BENCH is the users' bench, SITE a site file. Works in a scratch copy of the
# committed tree, whose journal entries it copies back.
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

play() { # directory, day, seed
	(cd "$1" && "$bench" run "$site" "$2" --seed "$3" --no-cpu \
		--why "ablation: $(basename "$1") off" \
		--report "$work/$(basename "$1").$2.$3.json") >/dev/null
}
export -f play
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
done | xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1" "$2"'
for m in nothing $mechanisms; do
	cp -rn "$work/$m/journal/." "$top/journal/"
done
python3 - "$work" nothing $mechanisms <<'END'
import glob, json, statistics, sys

def plays(name):
    for path in sorted(glob.glob(f"{sys.argv[1]}/{name}.*.json")):
        with open(path) as f:
            yield path.split("/")[-1].split(".", 1)[1], json.load(f)

base = {key: r["G"] for key, r in plays("nothing")}
print("| off | worth | difference | its spread | on time | late | refused | failed |")
print("|---|---|---|---|---|---|---|---|")
for name in sys.argv[2:]:
    rs = dict(plays(name))
    diff = [rs[k]["G"] - base[k] for k in rs]
    n = sum(r["all"]["n"] for r in rs.values())
    share = [sum(r["all"][k] for r in rs.values()) / n
             for k in ("in_aim", "late", "refused", "failed")]
    spread = statistics.stdev(diff) / len(diff) ** 0.5 if len(diff) > 1 else 0
    print(f"| {name} | {statistics.mean(r['G'] for r in rs.values()):.4f} "
          f"| {statistics.mean(diff):+.4f} | {spread:.4f} | "
          + " | ".join(f"{s:.3f}" for s in share) + " |")
END
