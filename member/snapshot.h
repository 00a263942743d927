/*
 * The state of one instance, for another one that has just started: the newest
 * configuration record and the complete list of backend servers, each with the
 * store position from which to continue reading, and the members of the
 * deployment.
 */
#ifndef MP_MEMBER_SNAPSHOT_H
#define MP_MEMBER_SNAPSHOT_H

#include "core/evacuations.h"
#include "member/gossip.h"

struct snapshot {
	bool has_config; /* else the receiver must read it from the store */
	struct store_position config_pos;
	uint32_t config_age_ms; /* since it was known to be the newest */
	struct buf config;	/* the record as stored; owned */
	struct evacuations evacuations; /* with the configuration */
	struct store_position backends_pos;
	uint32_t backends_age_ms;
	bool has_backends;
	GArray *backends; /* struct backend_change, none removed */
	GArray *members;  /* struct peer_report; empty: not included */
	GArray *verdicts; /* struct crash_notice, quarantined requests */
};

void snapshot_init(struct snapshot *s);
void snapshot_clear(struct snapshot *s);
void snapshot_write(const struct snapshot *s, struct buf *out);
int snapshot_read(struct lstr bytes, struct snapshot *s);

#endif
