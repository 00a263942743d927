#!/bin/bash
# Summarizes extra attempts, those beyond a request's first, from the logs of
# all instances. Prints for each service the window with most of them: their
# number, by cause; the number of lifetimes (one start of an instance each) that
# sent them and how many of these began within the window; the number of
# instances that they assumed to be running; and the requests that these
# lifetimes got in the window. The last is somewhat too low, because it is
# computed from the log lines of extra attempts.
#   scripts/extra-sends.sh [WINDOW_S] < LINES
window=${1:-10}
grep -E 'ev=419 ' | sed -E 's/^.*[^a-z]ts=/ts=/' | sort -t= -k2,2n | awk -v window="$window" '
function field(name,    i) {
	for (i = 1; i <= NF; i++)
		if (index($i, name "=") == 1)
			return substr($i, length(name) + 2)
	return ""
}
{
	s = field("service")
	k = ++count[s]
	at[s, k] = field("ts") + 0
	cause[s, k] = field("cause")
	life[s, k] = field("lifetime")
	age[s, k] = field("age_ms") / 1000
	requests[s, k] = field("requests") + 0
	instances[s, k] = field("instances") + 0
}
# Describes the window of service s that ends with its line number k.
function describe_window(s, k,    i, n, l, by, first, last, started, min, max, out) {
	for (i = k; i > 0 && at[s, k] - at[s, i] < window; i--) {
		l = life[s, i]
		if (!(l in last)) {
			last[l] = requests[s, i]
			n["lifetimes"]++
			if (age[s, i] < at[s, i] - at[s, k] + window)
				started++
		}
		first[l] = requests[s, i]
		by[cause[s, i]]++
		if (!min || instances[s, i] < min)
			min = instances[s, i]
		if (instances[s, i] > max)
			max = instances[s, i]
	}
	for (l in last)
		n["requests"] += last[l] - first[l]
	out = sprintf("service=%s until_ts=%.3f extra=%d retry=%d second=%d rescue=%d " \
		"lifetimes=%d began_within=%d instances=%d..%d requests=%d",
		s, at[s, k], k - i, by["retry"], by["second"], by["rescue"],
		n["lifetimes"], started, min, max, n["requests"])
	return out
}
END {
	for (s in count) {
		from = 1
		worst = 0
		for (k = 1; k <= count[s]; k++) {
			while (at[s, k] - at[s, from] >= window)
				from++
			if (k - from + 1 > worst) {
				worst = k - from + 1
				end = k
			}
		}
		print describe_window(s, end)
	}
}'
