#!/bin/bash
# The names of the users' wire stand in platform/, deploy/, the tests and the
# stand-ins only: everything else uses the product's own words.
cd "$(dirname "$0")/.."
words='Attempt-Id|Deadline-Remaining|Target-Instance|Response-Seal'
words+='|Not-Executed|Store-Era|Instance-Id|Server-Load|Server-Limit|pathPrefix|trafficSplit'
words+='|non_idempotent|maxAttempts|targetLatencyMs|configVersion|warmupLeftMs'
words+='|endOffset|startRevision|log-(append|read|newest|join|commit|trim)'
words+='|keyed\.(op|servers|status)|ttlS|[^_]resolution\?|probesPerS|drainMs'
words+='|configApplyMs|retryBudgetRatio|fleetbench'
found=$(git grep -nE "$words" -- '*.c' '*.h' ':!platform' ':!tests' ':!stand')
if [ -n "$found" ]; then
	echo "$found"
	echo "words: the platform's wire names stand outside platform/"
	exit 1
fi
echo "words: clean"
