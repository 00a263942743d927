#include <string.h>

#include "control/sources.h"
#include "misc/backoff.h"

enum {
	/*
	 * Interval between attempts to read the store, of all instances behind
	 * the hubs together, while the hubs have no news.
	 */
	ATTEMPT_INTERVAL_MS = 50,
	/* Instances of a data centre that ask a hub for what a feed lacked. */
	DC_READERS = 2,
	/* Time to fetch it before the store is read. */
	GAP_DELAY_MS = 900,
};

/* Returns a random one of the data centre's forwarders, or NULL. */
static const struct peer_info *pick_forwarder(const struct peer_table *t,
					      int64_t now_ms)
{
	const struct peer_info *found[CONFIG_FORWARDERS];
	int n = 0;

	for (guint i = 0; i < t->peers->len && n < CONFIG_FORWARDERS; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (!strcmp(p->info.dc, t->self.dc) && !p->info.leaving &&
		    peer_alive(p, now_ms))
			found[n++] = &p->info;
	}
	return n ? found[g_random_int_range(0, n)] : NULL;
}

/* Takes the next step towards a version that is being spread. */
static void spread_config(struct control *c, int64_t now_ms)
{
	const struct peer_table *t = &c->peers.peers;
	const struct peer_info *from = &c->reporter;

	if (peer_fetch_is_pending(&c->peer_fetch))
		return;
	switch (config_spread_next(&c->spread, peers_dc_rank(t, now_ms),
				   g_random_double(), now_ms)) {
	case SPREAD_FROM_FORWARDER:
		from = pick_forwarder(t, now_ms);
		/* fall through */
	case SPREAD_FROM_REPORTER:
		if (from)
			(void)peer_fetch_config(&c->peer_fetch, from, false,
						false);
		break;
	case SPREAD_FROM_STORE:
		config_watch_read(&c->config);
		break;
	case SPREAD_WAIT:
		break;
	}
}

/* sources_tick() continues the spreading of a version, about every 0.1 s. */
void sources_tick(struct control *c, int64_t now_ms)
{
	const struct config_watch *w = &c->config;

	if (!config_watch_is_behind(w))
		config_spread_end(&c->spread);
	else if (c->spread.since_ms ||
		 (hubs_enabled(&c->peers.peers) && w->listed &&
		  w->store.call != STORE_IDLE &&
		  config_spread_replaces_call(w->behind_ms, now_ms)))
		spread_config(c, now_ms);
}

/* Gets a version that a peer has reported and that the store has as well. */
static void get_stored_config(struct control *c, const struct peer_info *peer,
			      int64_t now_ms)
{
	bool by_peers = hubs_enabled(&c->peers.peers);

	if (by_peers && c->config.record.len > CONFIG_DIRECT_MAX) {
		if (!c->spread.since_ms)
			spread_config(c, now_ms);
		return;
	}
	if (!by_peers || peer_fetch_config(&c->peer_fetch, peer, false, true))
		config_watch_read(&c->config);
}

/*
 * sources_get_config() gets a version that a peer has reported. In a large
 * system it is fetched from peers, to save calls to the store.
 */
void sources_get_config(struct control *c, const struct peer_info *peer,
			enum config_action need, int64_t now_ms)
{
	if (!c->spread.since_ms &&
	    peer->config.version == c->config.newest_progress.version)
		c->reporter = *peer;
	/* If another fetch is pending, the next heartbeat tries again. */
	if (need == CONFIG_FETCH_FROM_PEER)
		(void)peer_fetch_config(&c->peer_fetch, peer, true, true);
	else if (need == CONFIG_READ_STORE)
		get_stored_config(c, peer, now_ms);
}

/* sources_join() looks for the members until they are known. */
void sources_join(struct control *c, int64_t now_ms)
{
	if (member_join_tick(&c->join, peer_fetch_is_pending(&c->peer_fetch),
			     now_ms))
		peer_fetch_join(&c->peer_fetch, now_ms);
}

/*
 * sources_set_delays() determines when this instance reads the store itself. In
 * a large system, those behind the hubs get news from these. While there are
 * none, as during an outage of the store, the others try to read it at random
 * times: all together at a bounded rate. The first instances of each data
 * centre fetch changes that a feed lacked from a hub, the others from these.
 */
void sources_set_delays(struct control *c, bool large, unsigned rank,
			int64_t now_ms)
{
	const struct peer_table *t = &c->peers.peers;
	bool behind_hubs = large && rank >= HUB_COUNT;
	bool fed = behind_hubs && hubs_roster_is_current(t, now_ms);
	double mean_ms =
		fed ? ATTEMPT_INTERVAL_MS * (double)peers_count(t, now_ms) : 0;

	c->config.behind_hubs = behind_hubs;
	backoff_spread(&c->config.spread_ms, mean_ms, g_random_double());
	backoff_spread(&c->backends.spread_ms, mean_ms, g_random_double());
	c->backends.gap_delay_ms = fed ? GAP_DELAY_MS : 0;
	if (c->backends.gap && fed)
		peer_fetch_changes(&c->peer_fetch,
				   peers_dc_rank(t, now_ms) < DC_READERS,
				   now_ms);
}
