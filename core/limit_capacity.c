#include <math.h>

#include "core/availability.h"
#include "core/limit_capacity.h"

/*
 * Returns this instance's share of the rate at which b takes requests: of its
 * limit, or of what it takes while it is cold. NULL: the rate isn't bounded.
 */
static struct limit_share *bounding_share(const struct backend *b,
					  int64_t now_ms)
{
	if (backend_is_limited(b))
		return &b->state->limit->share;
	return b->state->slow_start &&
			       backend_phase(b, now_ms) == SLOW_START_COLD
		       ? &b->state->slow_start->share
		       : NULL;
}

/* Adds a send to a limited server that a peer has given up. */
static void add_borrowed(struct limit_capacity *c, const struct backend *b,
			 int64_t now_ms)
{
	if (!backend_is_limited(b))
		return;
	c->may_borrow = true;
	if (now_ms >= b->state->limit->borrowed_until_ms)
		return;
	c->available++;
	c->tokens++;
}

/* Adds this instance's quota of one server. */
static void add(struct limit_capacity *c, struct limit_share *share,
		int64_t now_ms)
{
	int64_t next = limit_share_next_ms(share, now_ms);

	if (next < 0)
		return;
	if (limit_share_allows(share, now_ms))
		c->available += (unsigned)share->tokens;
	c->tokens += share->tokens;
	c->rate_s += share->quota.rate_s;
	if (c->next_ms < 0 || next < c->next_ms)
		c->next_ms = next;
}

/* Adds up what this instance may send to the available servers of a service. */
struct limit_capacity limit_capacity(const struct service *s, int64_t now_ms)
{
	struct limit_capacity c = {.next_ms = -1};

	for (guint i = 0; i < s->backends->len; i++) {
		const struct backend *b = g_ptr_array_index(s->backends, i);
		struct limit_share *share;

		if (!backend_is_available(b, SEND_COMMITTED, now_ms))
			continue;
		share = bounding_share(b, now_ms);
		c.all_limited = share != NULL;
		if (!share)
			return c;
		add_borrowed(&c, b, now_ms);
		add(&c, share, now_ms);
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
