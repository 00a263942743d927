#!/bin/bash
# Runs the fault soak with seeds that once failed; CI runs this. Of each pair
# one seed runs a system with hubs and one a system without.
#   122, 153:   after the store had lost its history, instances kept taking over
#               each other's older lists, until none knew a server.
#   903, 904:   servers announce limits.
#   1023, 1032: a server sends a malformed limit in place of the limit that it
#               checks; the simulated server wrongly held instances to the
#               latter.
#   2801, 2802: servers ask for backoffs and drain; failed while instances
#               ignored both.
#   3101, 3102: restore drills; a version number that was used again with other
#               content ended all instances (3101), and restored records of dead
#               servers never expired in the simulated store (3102).
#   601, 602:   a fatal request; proxies accepted connections for servers that
#               had crashed, so no crash was ever confirmed, and servers kept
#               crashing.
#   4601, 4602: instances lose their links to servers; a peer whose own links
#               accepted connections and swallowed the answers was used on and on
#               (4601).
#   4901, 4902: keys and quotas of workspaces change; more of a workspace ran
#               than its quota allows, as long as instances didn't keep quotas.
#   7202: calls with long time limits and long work beside stops; instances
#   ended without a response to them.
#   7105: peers die while they tunnel responses without a length; a part of one
#   looked complete.
#   9101: the directory named instances that were removed, and a pause of the
#   instance that reads for all delayed removals of servers on the others.
#   9901, 9902: odd entries in the store beside which all instances start again;
#   instances listed the same page again and again, and served nothing.
#   9501, 9502: clients that don't behave; instances took more memory and sockets
#   than they may.
set -u
cd "$(dirname "$0")/.."
for seed in 122 153 7202; do
	tests/soak.sh $seed 10 || exit 1
done
for seed in 903 904 1023 1032; do
	tests/soak.sh $seed 10 0 limits || exit 1
done
for seed in 2801 2802; do
	tests/soak.sh $seed 10 0 backoff || exit 1
done
for seed in 3101 3102; do
	tests/soak.sh $seed 10 0 drills || exit 1
done
for seed in 601 602; do
	tests/soak.sh $seed 10 0 fatal || exit 1
done
for seed in 4601 4602 7105; do
	tests/soak.sh $seed 10 0 links || exit 1
done
for seed in 4901 4902; do
	tests/soak.sh $seed 10 0 workspaces || exit 1
done
tests/soak.sh 9101 4 0 removals || exit 1
for seed in 9901 9902; do
	tests/soak.sh $seed 10 0 odd || exit 1
done
for seed in 9501 9502; do
	tests/soak.sh $seed 8 0 crowds || exit 1
done
