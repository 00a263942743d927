/*
 * After the store has come back from a copy, the first instance compares what the
 * system itself has written there, the records of its instances and of its
 * quarantines, with what it knows, and writes again what is lost: one listing and at
 * most one write in each era, whatever the number of instances. If it ends meanwhile,
 * the next in rank does so.
 */
#ifndef MP_CONTROL_RECORD_CHECK_H
#define MP_CONTROL_RECORD_CHECK_H

#include "control/crash_watch.h"

struct record_check {
	struct store_channel store;
	struct peer_table *peers;
	struct crash_watch *crashes;
	GHashTable *boots;    /* instance -> uint64_t *, as its record says */
	GArray *verdicts;     /* struct crash_notice that stand there */
	bool wrote;	      /* the call under way is a write, and */
	bool whole;	      /* all that was lost fitted it */
	uint64_t first_era;   /* the one that was known first; 0: none yet */
	uint64_t checked_era; /* what was written stands there in this era */
	uint64_t seen_era;    /* the store's, and */
	int64_t due_ms;	      /* when a check in it is due */
};

void record_check_init(struct record_check *r, struct ev_loop *loop,
		       struct store_endpoint *store, struct peer_table *peers,
		       struct crash_watch *crashes);
void record_check_tick(struct record_check *r, bool first, int64_t now_ms);

#endif
