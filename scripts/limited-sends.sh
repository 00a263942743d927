#!/bin/bash
# Summarizes the attempts sent to servers that announce a limit, from the logs
# of all instances. Prints for each server the window that is furthest above its
# limit: the number of attempts, by cause; the number of lifetimes (one start of
# an instance each) that sent them; the limit, and what the rule allows.
#   scripts/limited-sends.sh [SETTLE_S [WINDOW_S]] < LINES
# As in the rule, attempts in the first SETTLE_S seconds (3) after the first log
# line with the limit don't count.
settle=${1:-3}
window=${2:-4}
grep -E 'ev=34[013] ' | sed -E 's/^.*[^a-z]ts=/ts=/' | sort -t= -k2,2n |
	awk -v settle="$settle" -v window="$window" '
function field(name,    i) {
	for (i = 1; i <= NF; i++)
		if (index($i, name "=") == 1)
			return substr($i, length(name) + 2)
	return ""
}
{
	b = field("backend")
	t = field("ts") + 0
	if (!(b in named))
		named[b] = t
}
/ ev=343 / {
	total[b]++
	if (t < named[b] + settle)
		next
	k = ++count[b]
	at[b, k] = t
	limit[b, k] = field("limit_per_s") + 0
	cause[b, k] = field("cause")
	life[b, k] = field("lifetime")
}
END {
	for (b in named) {
		from = 1
		worst = ""
		for (k = 1; k <= count[b]; k++) {
			while (at[b, k] - at[b, from] >= window)
				from++
			over = k - from + 1 - 1.5 * limit[b, k] * window - 5
			if (worst == "" || over > worst) {
				worst = over
				first = from
				last = k
			}
		}
		if (worst == "") {
			print "backend=" b " sends=" total[b] + 0 " none after it settled"
			continue
		}
		delete lives
		delete by
		n = 0
		for (i = first; i <= last; i++) {
			n += !(life[b, i] in lives)
			lives[life[b, i]] = 1
			by[cause[b, i]]++
		}
		printf "backend=%s sends=%d until_ts=%.3f in_window=%d allowed=%.1f over=%.1f limit_per_s=%g " \
			"lifetimes=%d first=%d retry=%d second=%d rescue=%d\n", b, total[b], at[b, last],
			last - first + 1, 1.5 * limit[b, last] * window + 5, worst, limit[b, last], n,
			by["first"], by["retry"], by["second"], by["rescue"]
	}
}'
