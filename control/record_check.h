/*
 * Restores the system's own records after the store was restored from a backup.
 * The first instance compares the stored records of instances and quarantined
 * requests with what it knows, and writes those that are lost: one listing and
 * at most one write in each era, whatever the number of instances. If it stops
 * meanwhile, the next in rank takes over.
 */
#ifndef MP_CONTROL_RECORD_CHECK_H
#define MP_CONTROL_RECORD_CHECK_H

#include "control/crash_watch.h"

struct record_check {
	struct store_channel store;
	struct peer_table *peers;
	struct crash_watch *crashes;
	GHashTable *boots;    /* instance -> uint64_t *, `boot` of its record */
	GArray *verdicts;     /* struct crash_notice that are stored */
	bool writing;	      /* the pending call is a write */
	bool complete;	      /* the batch contains all lost records */
	uint64_t first_era;   /* known first; 0: none yet */
	uint64_t checked_era; /* all records are stored in it */
	uint64_t seen_era;    /* the store's last known era */
	int64_t due_ms;	      /* when a check in that era is due */
};

void record_check_init(struct record_check *r, struct ev_loop *loop,
		       struct store_endpoint *store, struct peer_table *peers,
		       struct crash_watch *crashes);
void record_check_tick(struct record_check *r, bool first, int64_t now_ms);

#endif
