/*
 * For how long the list of backend servers has been confirmed without a gap.
 * Leases expire only if servers couldn't renew them for long, so a list that
 * was confirmed at least once in each heartbeat since some time shows that the
 * store wasn't away since then, whoever read it. A gap proves nothing but that
 * nobody known here read the store: it may have been away, or this instance
 * stood still or was cut off. Pure logic without I/O.
 */
#ifndef MP_CONTROL_LIST_COVER_H
#define MP_CONTROL_LIST_COVER_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/*
	 * Entries whose leases expired during an outage of the store are
	 * written again within two seconds of its return; servers still missing
	 * then are gone.
	 */
	BACKEND_GRACE_MS = 2200,
};

struct list_cover {
	int64_t since_ms;    /* without a gap since then */
	bool after_gap;	     /* the store may have been away before that */
	int64_t gap_from_ms; /* when that gap began */
	/* A gap that ended up to this later may be the same; see begin. */
	int64_t slack_ms;
};

void list_cover_begin(struct list_cover *c, int64_t now_ms, int64_t slack_ms);
void list_cover_gap(struct list_cover *c, int64_t from_ms, int64_t now_ms);
bool list_cover_extend(struct list_cover *c, int64_t since_ms, bool after_gap);
int64_t list_cover_settled_ms(const struct list_cover *c);

#endif
