#!/bin/bash
# Adds up the sends beyond a request's first over the logs of all instances, and
# prints for each service the window that holds most of them: how many, by cause,
# of how many lifetimes, how many of these had begun in it, how many instances they
# believed to live, and the requests that these lifetimes had got in that window
# (from their lines, so somewhat fewer than there were).
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
# The window of service s that ends with its line number k.
function add_up(s, k,    i, n, l, by, first, last, young, least, most, out) {
	for (i = k; i > 0 && at[s, k] - at[s, i] < window; i--) {
		l = life[s, i]
		if (!(l in last)) {
			last[l] = requests[s, i]
			n["lifetimes"]++
			if (age[s, i] < at[s, i] - at[s, k] + window)
				young++
		}
		first[l] = requests[s, i]
		by[cause[s, i]]++
		if (!least || instances[s, i] < least)
			least = instances[s, i]
		if (instances[s, i] > most)
			most = instances[s, i]
	}
	for (l in last)
		n["requests"] += last[l] - first[l]
	out = sprintf("service=%s until_ts=%.3f extra=%d retry=%d second=%d rescue=%d " \
		"lifetimes=%d began_within=%d instances=%d..%d requests=%d",
		s, at[s, k], k - i, by["retry"], by["second"], by["rescue"],
		n["lifetimes"], young, least, most, n["requests"])
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
		print add_up(s, end)
	}
}'
