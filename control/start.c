#include "control/start.h"

enum {
	/*
	 * Leaves time for several attempts, since peers may be busy.
	 */
	PEERS_ONLY_MS = 2500,
	/*
	 * The store answers in 4 ms, and in 0.4 s when it is a hundred times
	 * slower; a failed call means that it may be unreachable.
	 */
	STORE_FAILURES = 1,
};

/*
 * start_should_read_store() returns whether this instance reads the
 * configuration and the list from the store: if it had to list the members
 * there, as no peer that can serve was found, or if peers don't help in time.
 */
bool start_should_read_store(const struct start_state *v, int64_t now_ms)
{
	return v->done || v->joined_by_store || v->member_failures ||
	       now_ms - v->started_ms > PEERS_ONLY_MS;
}

/*
 * start_should_fetch_from_peers() returns whether to fetch a snapshot from a
 * peer.
 */
bool start_should_fetch_from_peers(const struct start_state *v,
				   unsigned store_failures)
{
	return !v->done &&
	       (v->joined_by_peer || store_failures >= STORE_FAILURES);
}
