/*
 * Shared knowledge of requests that crash servers: collects evidence from this
 * instance's traffic and from peers, distributes it, and sends verdicts to the
 * traffic thread.
 *
 * In a small system all instances exchange all evidence, and each decides on
 * the same evidence. In a large one evidence goes to the hubs, which decide and
 * broadcast verdicts. Datagrams get lost, so notices are repeated; the first
 * three instances also send verdicts to instances that join, and write them to
 * the store.
 */
#ifndef MP_CONTROL_CRASH_WATCH_H
#define MP_CONTROL_CRASH_WATCH_H

#include "control/crash_record.h"
#include "control/peer_channel.h"
#include "core/crash_tracker.h"
#include "core/quarantine.h"

struct crash_watch {
	struct ev_loop *loop;
	struct crash_tracker tracker;
	struct peer_channel *channel;
	struct crash_record record;
	ev_timer due;	    /* next decision or broadcast */
	GArray *broadcasts; /* struct broadcast */
	unsigned rank;	/* number of live instances ordered before this one */
	bool large;	/* hubs are in use, see member/hubs.h */
	unsigned joins; /* value of channel->joins at the last tick */
	const char *source; /* sender of the notices; NULL: this instance */
	bool from_store;    /* the notices being applied are stored ones */
	void (*verdict)(void *priv, const struct verdict *v);
	void *priv;
};

void crash_watch_start(struct crash_watch *w, struct ev_loop *loop,
		       struct store_endpoint *store,
		       struct peer_channel *channel,
		       void (*verdict)(void *priv, const struct verdict *v),
		       void *priv);
void crash_watch_add_local(struct crash_watch *w,
			   const struct crash_notice *notice);
void crash_watch_add_peer(struct crash_watch *w, const char *source,
			  const GArray *notices);
void crash_watch_add_stored(struct crash_watch *w, const GArray *notices);
GArray *crash_watch_verdicts(const struct crash_watch *w);
void crash_watch_tick(struct crash_watch *w, unsigned rank, bool large);

#endif
