/*
 * What the instances together know of requests that end servers: takes in what
 * this one's traffic saw and what the others tell, passes it on, and tells the
 * traffic thread the verdicts.
 *
 * In a small system all tell all, and all judge on the same evidence. In a
 * large one all tell the hubs, which judge and tell all. Datagrams are lost, so
 * news are told several times; the first three instances also tell those that
 * join, and write the verdicts to the store.
 */
#ifndef MP_CONTROL_CRASH_WATCH_H
#define MP_CONTROL_CRASH_WATCH_H

#include "control/crash_record.h"
#include "control/peer_channel.h"
#include "core/crash_ledger.h"
#include "core/quarantine.h"

struct crash_watch {
	struct ev_loop *loop;
	struct crash_ledger ledger;
	struct peer_channel *channel;
	struct crash_record record;
	ev_timer due;	    /* of the next judgement or telling */
	GArray *tellings;   /* struct telling */
	unsigned rank;	    /* live instances before this one */
	bool many;	    /* the system is a large one */
	unsigned joins;	    /* of the channel that were answered */
	const char *teller; /* whose news are taken in; NULL: own ones */
	bool from_store;    /* these stand in the store */
	void (*verdict)(void *priv, const struct verdict *v);
	void *priv;
};

void crash_watch_start(struct crash_watch *w, struct ev_loop *loop,
		       struct store_endpoint *store,
		       struct peer_channel *channel,
		       void (*verdict)(void *priv, const struct verdict *v),
		       void *priv);
void crash_watch_own(struct crash_watch *w, const struct crash_notice *news);
void crash_watch_heard(struct crash_watch *w, const char *teller,
		       const GArray *news);
void crash_watch_stored(struct crash_watch *w, const GArray *news);
GArray *crash_watch_verdicts(const struct crash_watch *w);
void crash_watch_tick(struct crash_watch *w, unsigned rank, bool many);

#endif
