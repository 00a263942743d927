#include <math.h>

#include "core/availability.h"
#include "core/limit_room.h"

static void add(struct limit_capacity *room, struct backend_limit *l,
		int64_t now_ms)
{
	int64_t next = limit_share_next_ms(&l->share, now_ms);

	if (now_ms < l->granted_ms) {
		room->available++;
		room->tokens++;
	}
	if (next < 0)
		return;
	if (limit_share_allows(&l->share, now_ms))
		room->available += (unsigned)l->share.tokens;
	room->tokens += l->share.tokens;
	room->rate_s += l->share.quota.rate_s;
	if (room->next_ms < 0 || next < room->next_ms)
		room->next_ms = next;
}

/* limit_capacity() adds up what this instance may send to a service's servers. */
struct limit_capacity limit_capacity(const struct service *s, int64_t now_ms)
{
	struct limit_capacity room = {.next_ms = -1};

	for (guint i = 0; i < s->backends->len; i++) {
		const struct backend *b = g_ptr_array_index(s->backends, i);

		if (!backend_takes(b, SEND_COMMITTED, now_ms))
			continue;
		room.all_limited = backend_is_limited(b);
		if (!room.all_limited)
			return room;
		add(&room, b->state->limit, now_ms);
	}
	return room;
}

/*
 * limit_capacity_wait_ms() tells how long a request waits that so many go before;
 * infinite where this instance holds nothing.
 */
double limit_capacity_wait_ms(const struct limit_capacity *room,
			      unsigned before)
{
	double missing = before + 1 - room->tokens;
	double wait;

	if (before < room->available)
		return 0;
	if (room->rate_s <= 0)
		return HUGE_VAL;
	wait = missing > 0 ? missing / room->rate_s * 1000 : 0;
	return wait > (double)room->next_ms ? wait : (double)room->next_ms;
}
