# Sourced by the tests that run processes; needs $logs, a folder of the test.
#   check WHAT COMMAND...   runs it, with its output in $logs/checks.log, prints
#                           "ok" or "FAIL" and counts the latter in $fails
fails=0
check() {
	local what=$1 rc
	shift
	"$@" >>"$logs/checks.log" 2>&1
	rc=$?
	if [ $rc -eq 0 ]; then
		echo "ok   $what"
		return
	fi
	echo "FAIL $what (exit $rc)"
	fails=$((fails + 1))
}
