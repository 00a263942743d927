/*
 * Keeps the list of backend servers: reads it from the platform's store when
 * it is this instance's turn, and takes over what peers have read.
 */
#ifndef MP_CONTROL_BACKEND_WATCH_H
#define MP_CONTROL_BACKEND_WATCH_H

#include "control/backend_list.h"
#include "platform/store.h"

struct backend_watch {
	struct backend_list list;
	struct store_channel store;
	int64_t read_sent_ms; /* the last read was sent then */
	int64_t answered_ms;  /* the last one that the store answered was */
	unsigned failures;    /* in a row */
	bool relist;	   /* the store has nothing at the bookmark any more */
	bool gap;	   /* a feed began after what is known */
	int64_t gap_ms;	   /* when */
	bool full_listing; /* the call under way asks for a whole listing */
	bool listing;
	bool listing_restored; /* it is of a copy of the store */
	bool reading_tail;     /* the call under way looks for removals */
	struct store_position listing_end;
	int64_t era_ms; /* the store's present era was heard of then */
	/* A read has succeeded; `recovered`: the first after failures. */
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
			bool many, int64_t now_ms);
void backend_watch_apply_feed(struct backend_watch *w,
			      const struct backend_feed *f, int64_t now_ms);
void backend_watch_new_era(struct backend_watch *w, int64_t now_ms);
bool backend_watch_is_current(const struct backend_watch *w);

#endif
