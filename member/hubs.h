/*
 * Who tells whom that it lives. A few instances all tell each other. Many tell
 * only the first ones by name, the hubs; the first of these sends all of them
 * the roll: the ids of those it hears, or, while that stays the same, its
 * digest only. So n instances send some 4n datagrams a heartbeat and not n^2.
 * Without a roll each tells every other, until one comes again. Decisions
 * on values only.
 */
#ifndef MP_MEMBER_HUBS_H
#define MP_MEMBER_HUBS_H

#include "member/peers.h"

/* The first serves, the next two know all and can take over at once. */
enum { HUBS = 3 };

/*
 * Who lives and stays, as a hub hears it, or a part of it: of the instances
 * with ids from `lo` to `hi` these and no others.
 */
struct roll {
	uint32_t lo, hi;
	GArray *entries; /* struct roll_entry, ordered by id */
};

void roll_init(struct roll *r);
void roll_clear(struct roll *r);
guint roll_part(const struct roll *r, guint begin, guint most,
		struct roll *part);
bool hubs_serve(const struct peer_table *t);
void hubs_mark(struct peer_table *t, int64_t now_ms);
bool hubs_roll_due(const struct peer_table *t, int64_t sent_ms, int64_t now_ms);
void hubs_write_roll(const struct peer_table *t, struct roll *r,
		     int64_t now_ms);
uint32_t roll_digest(const struct roll *r);
bool hubs_take_digest(struct peer_table *t, uint32_t digest, int64_t now_ms);
void hubs_take_roll(struct peer_table *t, const struct roll *r, GArray *unknown,
		    int64_t now_ms);
bool hubs_beat_due(const struct peer_table *t, const struct peer *p,
		   int64_t now_ms);
struct peer *hubs_find(const struct peer_table *t, uint32_t id);

#endif
