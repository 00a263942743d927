/*
 * Keeps the system's own records in the store: those of instances and of
 * quarantined requests. The first instance by name, or the next in rank if it
 * stops, writes the missing ones for all: a check is one listing and at most one
 * write, whatever the number of instances.
 */
#ifndef MP_CONTROL_RECORD_CHECK_H
#define MP_CONTROL_RECORD_CHECK_H

#include "control/crash_watch.h"

struct record_check {
	struct store_channel store;
	struct peer_table *peers;
	struct crash_watch *crashes;
	GHashTable *stored;   /* name -> what its record says */
	GArray *verdicts;     /* struct crash_notice that are stored */
	unsigned found;	      /* members that only the listing has named */
	bool writing;	      /* the pending call is a write */
	bool complete;	      /* the batch contains all lost records */
	uint64_t first_era;   /* known first; 0: none yet */
	uint64_t checked_era; /* all records are stored in it */
	uint64_t seen_era;    /* the store's last known era */
	bool checked;	      /* the records were compared at least once */
	int64_t due_ms;	      /* no check before then */
	int64_t new_due_ms;   /* when new members are written; 0: none */
	int64_t repeat_ms;    /* when the next check is due in any case */
	unsigned failures;    /* consecutive */
	unsigned alone;	      /* consecutive checks without a live peer */
};

void record_check_init(struct record_check *r, struct ev_loop *loop,
		       struct store_endpoint *store, struct peer_table *peers,
		       struct crash_watch *crashes);
void record_check_note(struct record_check *r, const struct peer_info *p);
void record_check_tick(struct record_check *r, bool first, int64_t now_ms);

#endif
