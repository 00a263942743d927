#include <math.h>

#include "core/availability.h"
#include "core/limit_capacity.h"

/* Adds this instance's quota of one server. */
static void add(struct limit_capacity *c, struct backend_limit *l,
		int64_t now_ms)
{
	int64_t next = limit_share_next_ms(&l->share, now_ms);

	if (now_ms < l->borrowed_until_ms) {
		c->available++;
		c->tokens++;
	}
	if (next < 0)
		return;
	if (limit_share_allows(&l->share, now_ms))
		c->available += (unsigned)l->share.tokens;
	c->tokens += l->share.tokens;
	c->rate_s += l->share.quota.rate_s;
	if (c->next_ms < 0 || next < c->next_ms)
		c->next_ms = next;
}

/* Adds up what this instance may send to the available servers of a service. */
struct limit_capacity limit_capacity(const struct service *s, int64_t now_ms)
{
	struct limit_capacity c = {.next_ms = -1};

	for (guint i = 0; i < s->backends->len; i++) {
		const struct backend *b = g_ptr_array_index(s->backends, i);

		if (!backend_is_available(b, SEND_COMMITTED, now_ms))
			continue;
		c.all_limited = backend_is_limited(b);
		if (!c.all_limited)
			return c;
		add(&c, b->state->limit, now_ms);
	}
	return c;
}

/*
 * Returns how long a request waits with `ahead` others in front of it; infinite
 * if this instance has no quota.
 */
double limit_capacity_wait_ms(const struct limit_capacity *c, unsigned ahead)
{
	double missing = ahead + 1 - c->tokens;
	double wait;

	if (ahead < c->available)
		return 0;
	if (c->rate_s <= 0)
		return HUGE_VAL;
	wait = missing > 0 ? missing / c->rate_s * 1000 : 0;
	return wait > (double)c->next_ms ? wait : (double)c->next_ms;
}
