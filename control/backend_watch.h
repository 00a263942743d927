/*
 * Keeps the list of backend servers: reads it from the platform's store when it
 * is this instance's turn, and applies the feeds of peers.
 */
#ifndef MP_CONTROL_BACKEND_WATCH_H
#define MP_CONTROL_BACKEND_WATCH_H

#include "control/backend_list.h"
#include "platform/store.h"

struct backend_watch {
	struct backend_list list;
	struct store_channel store;
	int64_t read_sent_ms; /* when the last read was sent */
	int64_t answered_ms;  /* when the last read that succeeded was sent */
	unsigned failures;    /* consecutive */
	bool relist; /* the store no longer has the position to read from */
	int64_t relist_ms; /* when an incomplete listing is repeated; 0: none */
	bool gap;	   /* a feed began after the last applied record */
	int64_t gap_ms;	   /* when it was last detected */
	int64_t gap_since_ms; /* when it was first detected */
	int gap_delay_ms;     /* time for peers to close a gap before a read */
	int spread_ms;	      /* delay of the next read, see backoff_spread() */
	bool full_listing;    /* the pending call requests a full listing */
	bool listing;
	bool listing_restored; /* the listing is that of a restored store */
	bool reading_tail;     /* the pending call reads removals */
	struct store_position listing_end;
	int64_t era_ms; /* when the store's present era was learned */
	/* A read has succeeded; `recovered`: it is the first after failures. */
	void (*read_done)(void *priv, bool recovered);
	void *priv;
};

void backend_watch_start(struct backend_watch *w, struct ev_loop *loop,
			 struct store_endpoint *store,
			 void (*changed)(void *priv,
					 const struct backend_change *c),
			 void (*read_done)(void *priv, bool recovered),
			 void *priv);
void backend_watch_tick(struct backend_watch *w, bool may_list, unsigned rank,
			bool large, int64_t now_ms);
void backend_watch_apply_feed(struct backend_watch *w,
			      const struct backend_feed *f, int64_t now_ms);
void backend_watch_new_era(struct backend_watch *w, int64_t now_ms);
bool backend_watch_is_current(const struct backend_watch *w);

#endif
