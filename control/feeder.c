#include "control/feeder.h"

enum {
	/*
	 * Interval at which the first hub forwards others' reads, as for its
	 * own.
	 */
	RELAY_INTERVAL_MS = 450,
	/*
	 * Limit of changes in one feed, which fit nine datagrams of 1.2 KB: to
	 * 132 peers they are 1.4 MB, which take 1.1 s on a link of 10 Mbit/s.
	 * Peers that miss more read the store, one call each. When 432 servers
	 * start within 3 s, one read returns 65 changes.
	 */
	CHANGES_MAX = 128,
	/*
	 * The same in a large deployment, where relays with slow links forward
	 * each feed to their data centre. Peers that miss more fetch it.
	 */
	CHANGES_MAX_LARGE = 32,
};

/*
 * feeder_target_after_read() returns who gets the changes of an own read. When
 * the store comes back in a large system, all instances may read at once; if
 * each fed all others, the changes of 432 servers would amount to 450 MB. So
 * only hubs feed all, and others feed the hubs, which may have failed to read.
 */
enum feed_target feeder_target_after_read(bool large, unsigned rank)
{
	return large && rank >= HUB_COUNT ? FEED_HUBS : FEED_ALL;
}

/*
 * feeder_target_after_feed() returns who gets the changes received from others:
 * in a large system the first hub forwards them if the list has become fresher
 * since its last feed.
 */
enum feed_target feeder_target_after_feed(const struct feeder *f, bool large,
					  unsigned rank, int64_t list_fresh_ms,
					  int64_t now_ms)
{
	if (!large || rank != 0 || list_fresh_ms <= f->fresh_ms)
		return FEED_NONE;
	return now_ms - f->sent_ms >= RELAY_INTERVAL_MS ? FEED_ALL : FEED_NONE;
}

/* feeder_send() sends the recent changes of the list. */
void feeder_send(struct feeder *f, struct peer_channel *ch,
		 struct backend_list *list, enum feed_target to, int64_t now_ms)
{
	struct backend_feed feed;
	struct buf b = {0};
	guint at;

	if (to == FEED_NONE)
		return;
	backend_list_build_feed(list, &feed, now_ms);
	at = gossip_feed_first(
		&feed,
		ch->has_new_peer ? (struct store_position){0} : f->sent_pos,
		hubs_enabled(&ch->peers) ? CHANGES_MAX_LARGE : CHANGES_MAX);
	ch->has_new_peer = false;
	do {
		b.len = 0;
		at = gossip_write_feed(&b, &ch->peers.self, &feed, at);
		if (to == FEED_ALL)
			peer_channel_distribute(ch, &b, f->turn, false, now_ms);
		else
			peer_channel_send_hubs(ch, &b, now_ms);
	} while (at < feed.changes->len);
	buf_free(&b);
	f->turn++;
	f->sent_pos = feed.to;
	f->fresh_ms = list->fresh_ms;
	f->sent_ms = now_ms;
}
