#include "control/feeder.h"

enum {
	/* The first hub repeats others' reads at the pace of its own. */
	RELAY_MS = 450,
	/*
	 * Changes of one feed at most, in nine datagrams of 1.2 KB: to 132
	 * peers they are 1.4 MB, which a link of 10 Mbit/s takes 1.1 s to
	 * carry. Peers that miss more read the store, a call each. When 432
	 * servers start within 3 s, one read brings 65 changes.
	 */
	CHANGES_MAX = 128,
};

/*
 * feeder_after_read() tells whom to feed what was just read. When the store
 * comes back in a large system all may read at once; if each fed each, the
 * changes of 432 servers would be 450 MB. So only hubs feed all, and others
 * tell the hubs what those could not read.
 */
enum feed_to feeder_after_read(bool many, unsigned rank)
{
	return many && rank >= HUB_COUNT ? FEED_HUBS : FEED_ALL;
}

/*
 * feeder_after_feed() tells whether this instance is to pass on what others
 * read: the first hub, when the list has become fresher since its last feed.
 */
enum feed_to feeder_after_feed(const struct feeder *f, bool many, unsigned rank,
			       int64_t list_fresh_ms, int64_t now_ms)
{
	if (!many || rank != 0 || list_fresh_ms <= f->fresh_ms)
		return FEED_NOBODY;
	return now_ms - f->sent_ms >= RELAY_MS ? FEED_ALL : FEED_NOBODY;
}

/* feeder_send() sends the list's changes of late. */
void feeder_send(struct feeder *f, struct peer_channel *ch,
		 struct backend_list *list, enum feed_to to, int64_t now_ms)
{
	struct backend_feed feed;
	struct buf b = {0};
	guint at;

	if (to == FEED_NOBODY)
		return;
	backend_list_outline(list, &feed, now_ms);
	at = gossip_feed_first(
		&feed, ch->joined ? (struct store_position){0} : f->told_to,
		CHANGES_MAX);
	ch->joined = false;
	do {
		b.len = 0;
		at = gossip_write_feed(&b, &ch->peers.self, &feed, at);
		if (to == FEED_ALL)
			peer_channel_send_live(ch, &b, now_ms);
		else
			peer_channel_send_hubs(ch, &b, now_ms);
	} while (at < feed.changes->len);
	buf_free(&b);
	f->told_to = feed.to;
	f->fresh_ms = list->fresh_ms;
	f->sent_ms = now_ms;
}
