#include "stand/limit_check.h"

enum {
	LIMIT_GRACE_MS = 3000, /* not checked after a change of the limit */
	WINDOW_MS = 4000,
};

/* Allowed in a window: limit * RULE_FACTOR + RULE_SLACK requests. */
static const double RULE_FACTOR = 1.5;
static const double RULE_SLACK = 5;

/* limit_check_init() sets no limit. */
void limit_check_init(struct limit_check *c)
{
	*c = (struct limit_check){.active = false};
	g_queue_init(&c->arrived);
}

/* Drops the arrival times up to `ms`. */
static void drop_before(struct limit_check *c, int64_t ms)
{
	int64_t *at;

	while ((at = g_queue_peek_head(&c->arrived)) && *at <= ms)
		g_free(g_queue_pop_head(&c->arrived));
}

/* limit_check_set() sets or removes the limit; a change restarts the grace. */
void limit_check_set(struct limit_check *c, bool active, double per_s,
		     int64_t now_ms)
{
	if (active == c->active && per_s == c->per_s)
		return;
	drop_before(c, now_ms);
	c->active = active;
	c->per_s = per_s;
	c->set_ms = now_ms;
}

/* limit_check_request() counts a request and updates the worst window. */
void limit_check_request(struct limit_check *c, int64_t now_ms)
{
	double allowed = RULE_FACTOR * c->per_s * WINDOW_MS / 1000 + RULE_SLACK;

	if (!c->active || now_ms < c->set_ms + LIMIT_GRACE_MS)
		return;
	c->requests++;
	g_queue_push_tail(&c->arrived, g_memdup2(&now_ms, sizeof(now_ms)));
	drop_before(c, now_ms - WINDOW_MS);
	if (c->has_worst &&
	    c->arrived.length - allowed <= c->worst - c->allowed)
		return;
	c->has_worst = true;
	c->worst = c->arrived.length;
	c->allowed = allowed;
}
