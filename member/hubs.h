/*
 * Who tells whom that it lives. A few instances all tell each other. Many tell
 * only the first ones by name, the hubs; the first of these sends all of them
 * the roster: the ids of those it hears, or, while that stays the same, its
 * digest only. So n instances send some 4n datagrams a heartbeat and not n^2.
 * Without a roster each tells every other, until one comes again. Decisions
 * on values only.
 */
#ifndef MP_MEMBER_HUBS_H
#define MP_MEMBER_HUBS_H

#include "member/peers.h"

/* The first serves, the next two know all and can take over at once. */
enum { HUB_COUNT = 3 };

/*
 * Who lives and stays, as a hub hears it, or a part of it: of the instances
 * with ids from `lo` to `hi` these and no others.
 */
struct roster {
	uint32_t lo, hi;
	GArray *entries; /* struct roster_entry, ordered by id */
};

void roster_init(struct roster *r);
void roster_clear(struct roster *r);
guint roster_part(const struct roster *r, guint begin, guint most,
		  struct roster *part);
bool hubs_enabled(const struct peer_table *t);
void hubs_assign(struct peer_table *t, int64_t now_ms);
bool hubs_roster_due(const struct peer_table *t, int64_t sent_ms,
		     int64_t now_ms);
void hubs_build_roster(const struct peer_table *t, struct roster *r,
		       int64_t now_ms);
uint32_t roster_digest(const struct roster *r);
bool hubs_apply_digest(struct peer_table *t, uint32_t digest, int64_t now_ms);
void hubs_apply_roster(struct peer_table *t, const struct roster *r,
		       GArray *unknown, int64_t now_ms);
bool hubs_heartbeat_due(const struct peer_table *t, const struct peer *p,
			int64_t now_ms);
struct peer *hubs_find_peer(const struct peer_table *t, uint32_t id);

#endif
