/*
 * Leases of the simulated store: the entry of a backend server is removed if
 * the server doesn't write it again within ttl_ms.
 */
#ifndef MP_STAND_LEASE_H
#define MP_STAND_LEASE_H

#include "stand/log.h"
#include "stand/query.h"

/* Leases of all backend servers. */
struct lease {
	GHashTable *written_ms; /* backend server -> int64_t * */
	int ttl_ms;
	bool changes_only; /* renewals without a change aren't appended */
};

void lease_init(struct lease *l, int ttl_ms);
void lease_renew(struct lease *l, const struct query *q, struct lstr body,
		 int64_t now_ms);
void lease_restart(struct lease *l, const struct log_part *p, int64_t now_ms);
bool lease_is_repeat(const struct lease *l, const struct log_part *p,
		     const struct query *q, struct lstr body);
bool lease_expire(struct lease *l, struct log_part *p, int64_t now_ms);

#endif
