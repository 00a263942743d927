# Checks what the simulated servers ran against the keys and quotas of the
# configurations. Reads, in any order:
#   config from=MS confirmed=MS NAME:RATE:BURST:KEY,..   versions, oldest first;
#                           written between the two times
#   calm ms=MS              no faults any more, and all instances are in touch
#   run ...                 stand/run_log.c, of all servers
#   call ...                stand/callers.c
# All times are of the same clock. Prints each violation and a summary; fails
# if there is any.
BEGIN {
	WINDOW_MS = 5000
	OVERSHOOT = 0.1
	SLACK = 20
	APPLY_MS = 2500
	STRETCH_MS = 5000 # beside faults: instances that are out of touch
}
function value(name, s) {
	if (!match($0, " " name "=[^ ]*")) return ""
	s = substr($0, RSTART, RLENGTH)
	sub(/^[^=]*=/, "", s)
	return s
}
function bad(text) {
	if (++nbad <= 20) print "violation: " text
}
# How much later than a version's successor it may still be applied.
function apply_ms(sent) { return calm && sent >= calm ? APPLY_MS : APPLY_MS + STRETCH_MS }
# Until when version i was the newest.
function superseded(i) { return i < nversions ? confirmed[i + 1] : 1e18 }
# Whether the workspace held the key in a version that a request that was sent
# and ran then may have been handled by.
function may_be(key, w, sent, ran, i) {
	for (i = 1; i <= nversions; i++)
		if ((i, key) in holder && holder[i, key] == w && from[i] <= ran && sent <= superseded(i) + apply_ms(sent))
			return 1
	return 0
}
# Whether a version that may have been in force lacks the key.
function may_be_unknown(key, sent, took, i) {
	for (i = 1; i <= nversions; i++)
		if (!((i, key) in holder) && from[i] <= sent + took && sent <= superseded(i) + apply_ms(sent))
			return 1
	return 0
}
# The highest limit of a window that a version in force sets; 0: no limit. A
# lower one binds a window after it is applied.
function allowed(w, end, sent, i, most) {
	for (i = 1; i <= nversions; i++) {
		if (from[i] > end || end - WINDOW_MS > superseded(i) + apply_ms(sent) + WINDOW_MS)
			continue
		if (!((i, w) in rate))
			continue
		if (rate[i, w] == 0) return 0
		if (rate[i, w] * WINDOW_MS / 1000 + burst[i, w] > most)
			most = rate[i, w] * WINDOW_MS / 1000 + burst[i, w]
	}
	return most ? most * (1 + OVERSHOOT) + SLACK : 0
}
/^config / {
	n = ++nversions
	from[n] = value("from") + 0
	confirmed[n] = value("confirmed") + 0
	for (f = 4; f <= NF; f++) {
		split($f, part, ":")
		rate[n, part[1]] = part[2]
		burst[n, part[1]] = part[3]
		split(part[4], keys, ",")
		for (k in keys) holder[n, keys[k]] = part[1]
	}
}
/^calm / { calm = value("ms") + 0 }
/^run ms=/ {
	i = ++nruns
	ran_ms[i] = value("ms") + 0
	ran_ws[i] = value("workspace")
	ran_id[i] = value("id")
	ran_key[i] = value("key")
	ran_bytes[i] = value("bytes")
	times[ran_id[i]]++
}
/^call / {
	i = ++ncalls
	call_id[i] = value("id")
	call_key[i] = value("key")
	call_status[i] = value("status")
	call_took[i] = value("took") + 0
	if (/ foreign$/) bad("a response of another request: " $0)
}
END {
	for (i = 1; i <= nruns; i++) {
		split(ran_id[i], part, ".")
		sent_ms[i] = part[2] + 0
		if (ran_key[i] != "absent") bad("a key was passed on: " ran_id[i])
		if (ran_bytes[i] != part[5]) bad(ran_id[i] " ran with " ran_bytes[i] " bytes")
		if (!may_be(part[1], ran_ws[i], sent_ms[i], ran_ms[i]))
			bad(ran_id[i] " ran at " ran_ms[i] " for workspace '" ran_ws[i] "', which didn't hold its key")
		if (part[4] != "any" && times[ran_id[i]]-- > 1) bad(ran_id[i] " ran more than once")
		ran[ran_id[i]] = 1
		runs_of[ran_ws[i], ++nruns_of[ran_ws[i]]] = i
	}
	for (i = 1; i <= ncalls; i++) {
		split(call_id[i], part, ".")
		status = call_status[i]
		statuses[status]++
		if (status ~ /^(401|404|408|421|429|503)$/ && (call_id[i] in ran))
			bad(call_id[i] " got " status " and ran")
		if (status == 404 || (status == 401 && !may_be_unknown(call_key[i], part[2] + 0, call_took[i])))
			bad(call_id[i] " got " status " though its key was valid")
	}
	# Runs of a workspace in the order in which they began.
	for (w in nruns_of) {
		n = nruns_of[w]
		for (a = 1; a <= n; a++) order[a] = runs_of[w, a]
		sort_runs(n)
		worst[w] = -1e9
		lo = 1
		for (a = 1; a <= n; a++) {
			end = ran_ms[order[a]]
			while (ran_ms[order[lo]] <= end - WINDOW_MS) lo++
			got = 0
			for (b = lo; b <= a; b++) got += sent_ms[order[b]] > end - WINDOW_MS
			limit = allowed(w, end, sent_ms[order[a]])
			if (!limit) continue
			if (got - limit > worst[w]) {
				worst[w] = got - limit
				summary[w] = sprintf("%d of %.0f allowed in the worst window", got, limit)
			}
		}
		if (worst[w] > 0) bad("quota of " w ": " summary[w])
	}
	line = ""
	for (s in statuses) line = line " " s ":" statuses[s]
	print nruns " runs, " ncalls " calls by status:" line "; " nversions " versions"
	for (w in nruns_of) print "  " w ": " nruns_of[w] " runs, " (w in summary ? summary[w] : "no quota")
	if (nruns == 0 || ncalls == 0) bad("nothing to check")
	exit nbad > 0
}
# Sorts order[1..n] by the time of the run; the input is nearly sorted.
function sort_runs(n, a, b, x) {
	for (a = 2; a <= n; a++) {
		x = order[a]
		for (b = a - 1; b >= 1 && ran_ms[order[b]] + 0 > ran_ms[x] + 0; b--) order[b + 1] = order[b]
		order[b + 1] = x
	}
}
