#!/bin/bash
# Checks that the names of the users' wire protocol occur only in platform/,
# deploy/, the tests and stand/; everything else uses the project's own names.
cd "$(dirname "$0")/.."
names='Attempt-Id|Deadline-Remaining|Target-Instance|Response-Seal'
names+='|Not-Executed|Store-Era|Instance-Id|Server-Load|Server-Limit|pathPrefix|trafficSplit'
names+='|non_idempotent|maxAttempts|targetLatencyMs|configVersion|warmupLeftMs'
names+='|endOffset|startRevision|log-(append|read|newest|join|commit|trim)'
names+='|keyed\.(op|servers|status)|ttlS|[^_]resolution\?|probesPerS|drainMs'
names+='|configApplyMs|retryBudgetRatio|fleetbench|warmup(S|PerS|Overshoot|Slack)'
names+='|Api-Key|Tenant-Name|apiKeys|authExempt|ratePerS|burstSize|quota(WindowS|Overshoot)'
names+='|Warmup-Remaining|evacuate/|evacuationMs|allowedRegions'
found=$(git grep -nE "$names" -- '*.c' '*.h' ':!platform' ':!tests' ':!stand')
if [ -n "$found" ]; then
	echo "$found"
	echo "words: names of the platform's wire protocol outside platform/"
	exit 1
fi
echo "words: clean"
