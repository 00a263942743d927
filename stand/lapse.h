/*
 * Leases of the store stand-in: the entry of a backend server that has not written
 * for too long is dropped.
 */
#ifndef MP_STAND_LAPSE_H
#define MP_STAND_LAPSE_H

#include "stand/log.h"
#include "stand/query.h"

struct lapse {
	GHashTable *written_ms; /* backend server -> int64_t * */
	int ttl_ms;
	bool changes_only; /* what repeats an entry isn't appended */
};

void lapse_init(struct lapse *l, int ttl_ms);
void lapse_note(struct lapse *l, const struct query *q, struct lstr body,
		int64_t now_ms);
void lapse_restart(struct lapse *l, const struct log_part *p, int64_t now_ms);
bool lapse_is_repeat(const struct lapse *l, const struct log_part *p,
		     const struct query *q, struct lstr body);
bool lapse_drop(struct lapse *l, struct log_part *p, int64_t now_ms);

#endif
