#include <math.h>

#include "core/availability.h"
#include "core/limit_room.h"

static void add(struct limit_room *room, struct backend_limit *l,
		int64_t now_ms)
{
	int64_t next = limit_share_next_ms(&l->share, now_ms);

	if (now_ms < l->borrowed_until_ms) {
		room->ready++;
		room->saved++;
	}
	if (next < 0)
		return;
	if (limit_share_allows(&l->share, now_ms))
		room->ready += (unsigned)l->share.tokens;
	room->saved += l->share.tokens;
	room->rate_s += l->share.part.rate_s;
	if (room->next_ms < 0 || next < room->next_ms)
		room->next_ms = next;
}

/* limit_room() adds up what this instance may send to a service's servers. */
struct limit_room limit_room(const struct service *s, int64_t now_ms)
{
	struct limit_room room = {.next_ms = -1};

	for (guint i = 0; i < s->backends->len; i++) {
		const struct backend *b = g_ptr_array_index(s->backends, i);

		if (!backend_is_available(b, SEND_COMMITTED, now_ms))
			continue;
		room.all = backend_is_limited(b);
		if (!room.all)
			return room;
		add(&room, b->state->limit, now_ms);
	}
	return room;
}

/*
 * limit_room_wait_ms() tells how long a request waits that so many go before;
 * infinite where this instance holds nothing.
 */
double limit_room_wait_ms(const struct limit_room *room, unsigned before)
{
	double missing = before + 1 - room->saved;
	double wait;

	if (before < room->ready)
		return 0;
	if (room->rate_s <= 0)
		return HUGE_VAL;
	wait = missing > 0 ? missing / room->rate_s * 1000 : 0;
	return wait > (double)room->next_ms ? wait : (double)room->next_ms;
}
