/*
 * Distribution of liveness among entry instances. Few instances send heartbeats
 * to each other directly. In a large deployment they send them only to the
 * hubs, which are the first live instances by name; the first hub sends
 * everyone the roster: the ids of the instances that it receives heartbeats of
 * or, while that does not change, only its digest. So n instances send about 4n
 * datagrams per heartbeat interval instead of n^2. While no roster arrives,
 * every instance falls back to sending to more of the others, in the end to
 * all. No I/O; times are passed in.
 */
#ifndef MP_MEMBER_HUBS_H
#define MP_MEMBER_HUBS_H

#include "member/peers.h"

/*
 * The first hub sends the roster. The other two know all instances as well, so
 * they can take over at once.
 */
enum { HUB_COUNT = 3 };

/*
 * The instances that are alive and not leaving, as known to a hub, or a part of
 * them: of the ids from `lo` to `hi` exactly those listed are alive.
 */
struct roster {
	uint32_t lo, hi;
	GArray *entries; /* struct roster_entry, ordered by id */
};

void roster_init(struct roster *r);
void roster_clear(struct roster *r);
guint roster_part(const struct roster *r, guint begin, guint max,
		  struct roster *part);
bool hubs_enabled(const struct peer_table *t);
void hubs_assign(struct peer_table *t, int64_t now_ms);
const struct peer_info *hubs_first(const struct peer_table *t, int64_t now_ms);
bool hubs_roster_due(const struct peer_table *t, int64_t sent_ms,
		     int64_t now_ms);
void hubs_build_roster(const struct peer_table *t, struct roster *r,
		       int64_t now_ms);
uint32_t roster_digest(const struct roster *r);
bool hubs_apply_digest(struct peer_table *t, uint32_t digest, int64_t now_ms);
void hubs_apply_roster(struct peer_table *t, const struct roster *r,
		       GArray *unknown, int64_t now_ms);
bool hubs_roster_is_missing(const struct peer_table *t, int64_t now_ms);
bool hubs_roster_is_current(const struct peer_table *t, int64_t now_ms);
bool hubs_heartbeat_due(const struct peer_table *t, const struct peer *p,
			int64_t now_ms);
struct peer *hubs_find_peer(const struct peer_table *t, uint32_t id);

#endif
