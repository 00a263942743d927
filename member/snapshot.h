/*
 * What one instance knows, for another that has just started while the store
 * does not answer: the newest configuration record and the whole list of
 * backend servers, with the places from which the store is to be read on.
 */
#ifndef MP_MEMBER_SNAPSHOT_H
#define MP_MEMBER_SNAPSHOT_H

#include "member/gossip.h"

struct snapshot {
	bool has_config; /* else the receiver is to read it in the store */
	struct store_position config_pos;
	uint32_t config_age_ms; /* it was known then that these are all */
	struct buf config;	/* the record as the store holds it; owned */
	struct store_position backends_pos;
	uint32_t backends_age_ms;
	GArray *backends; /* struct backend_change, none removed */
};

void snapshot_init(struct snapshot *s);
void snapshot_clear(struct snapshot *s);
void snapshot_write(const struct snapshot *s, struct buf *out);
int snapshot_read(struct lstr bytes, struct snapshot *s);

#endif
