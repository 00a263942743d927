#include "control/start.h"

enum {
	/*
	 * A peer answers within 0.3 s. When a whole system starts, the first
	 * instances need 0.2 s, and what they know spreads in a second.
	 */
	PEERS_ONLY_MS = 2500,
	/* Peers that live answer the first heartbeat by then. */
	READY_KNOWN_MS = 80,
	/* Read the store at once, so that there is somebody to ask. */
	STORE_READERS = 2,
	/*
	 * The store answers in 4 ms, and in 0.4 s when it is a hundred times
	 * slower; a call that failed means that it may be away.
	 */
	STORE_FAILURES = 1,
};

/*
 * In a hurry, with callers at the door, one question that failed is enough;
 * and when all have been killed no peer can help.
 */
static bool peers_can_help(const struct start_state *v, int64_t now_ms)
{
	if (v->first)
		return true;
	return !v->refused &&
	       (v->ready || now_ms - v->listed_ms < READY_KNOWN_MS);
}

/*
 * start_should_read_store() tells whether the instance is to read the configuration
 * and the list from the store by itself. In a system of 133 instances it
 * saves four calls at each start that they come from a peer.
 */
bool start_should_read_store(const struct start_state *v, int64_t now_ms)
{
	if (v->done || v->failures || now_ms - v->since_ms > PEERS_ONLY_MS)
		return true;
	/* Until the members are read it isn't known how many there are. */
	if (!v->listed)
		return false;
	return !v->many || v->rank < STORE_READERS ||
	       !peers_can_help(v, now_ms);
}

/* start_should_ask_peers() tells whether a peer is to be asked for what it knows. */
bool start_should_ask_peers(const struct start_state *v,
			    unsigned store_failures)
{
	return !v->done && (v->many || store_failures >= STORE_FAILURES);
}
