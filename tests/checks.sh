# Sourced by the tests that run processes; $logs must name the test's log
# directory.
#   check LABEL COMMAND...   runs COMMAND with its output appended to
#                            $logs/checks.log, prints "ok" or "FAIL" with LABEL
#                            and counts failures in $fails
fails=0
check() {
	local label=$1 rc
	shift
	"$@" >>"$logs/checks.log" 2>&1
	rc=$?
	if [ $rc -eq 0 ]; then
		echo "ok   $label"
		return
	fi
	echo "FAIL $label (exit $rc)"
	fails=$((fails + 1))
}
