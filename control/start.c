#include "control/start.h"

enum {
	/*
	 * A peer answers within 0.3 s. When a whole system starts, the first
	 * instances need 0.2 s to read the store, and their data reaches all
	 * within a second.
	 */
	PEERS_ONLY_MS = 2500,
	/* Live peers have answered the first heartbeat by then. */
	READY_KNOWN_MS = 80,
	/*
	 * Instances that read the store at once, so that they can serve others.
	 */
	STORE_READERS = 2,
	/*
	 * The store answers in 4 ms, and in 0.4 s when it is a hundred times
	 * slower; a failed call means that it may be unreachable.
	 */
	STORE_FAILURES = 1,
};

/*
 * Returns whether to wait for peers. Unless the whole system starts, callers
 * may be waiting, so one failed request is enough to give up; and if all
 * instances were killed, no peer is ready.
 */
static bool peers_can_help(const struct start_state *v, int64_t now_ms)
{
	if (v->first_start)
		return true;
	return !v->failed_fetches &&
	       (v->ready_peers || now_ms - v->members_read_ms < READY_KNOWN_MS);
}

/*
 * start_should_read_store() returns whether this instance reads the
 * configuration and the list from the store. Fetching them from a peer saves
 * four calls per startup in a system of 133 instances.
 */
bool start_should_read_store(const struct start_state *v, int64_t now_ms)
{
	if (v->done || v->member_failures ||
	    now_ms - v->started_ms > PEERS_ONLY_MS)
		return true;
	/* The number of instances is unknown until the members are read. */
	if (!v->members_read)
		return false;
	return !v->large || v->rank < STORE_READERS ||
	       !peers_can_help(v, now_ms);
}

/*
 * start_should_fetch_from_peers() returns whether to fetch a snapshot from a
 * peer.
 */
bool start_should_fetch_from_peers(const struct start_state *v,
				   unsigned store_failures)
{
	return !v->done && (v->large || store_failures >= STORE_FAILURES);
}
