#include "core/config_spread.h"

enum {
	/* By then the forwarders have it; spread, since they serve many. */
	FORWARD_DELAY_MS = 100,
	FORWARD_SPREAD_MS = 200,
	RETRY_MS = 200, /* from another forwarder */
	/*
	 * A version must be in force 2 s after its confirmation, and may be
	 * reported up to a second after it.
	 */
	LIMIT_MS = 700,
	/*
	 * The answer to a call of this instance that the store has sent, or is
	 * about to send, arrives by then.
	 */
	IN_TRANSIT_MS = 900,
};

/*
 * config_spread_next() returns what to do about a reported version that is
 * unknown here, while no request for it is pending. dc_rank: number of live
 * instances of the data centre that precede this one; `random` is in 0..1.
 */
enum config_spread_step config_spread_next(struct config_spread *s,
					   unsigned dc_rank, double random,
					   int64_t now_ms)
{
	bool forwards = dc_rank < CONFIG_FORWARDERS;

	if (!s->since_ms) {
		s->since_ms = now_ms;
		s->next_ms = now_ms;
		if (!forwards)
			s->next_ms += FORWARD_DELAY_MS +
				      (int64_t)(FORWARD_SPREAD_MS * random);
	}
	if (now_ms - s->since_ms >= LIMIT_MS)
		return SPREAD_FROM_STORE;
	if (now_ms < s->next_ms)
		return SPREAD_WAIT;
	s->next_ms = now_ms + RETRY_MS;
	return forwards ? SPREAD_FROM_REPORTER : SPREAD_FROM_FORWARDER;
}

/*
 * config_spread_replaces_call() returns whether to get a version from peers
 * although a call to the store is pending that should return it: a store that
 * is silent towards this instance lets the call wait for seconds. `behind_ms`:
 * when the version was reported.
 */
bool config_spread_replaces_call(int64_t behind_ms, int64_t now_ms)
{
	return behind_ms && now_ms - behind_ms > IN_TRANSIT_MS;
}

/* config_spread_end() is called once no newer version is reported. */
void config_spread_end(struct config_spread *s)
{
	s->since_ms = 0;
}
