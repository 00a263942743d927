#include "stand/limit_check.h"

enum {
	LIMIT_GRACE_MS = 3000, /* not checked after a change of the limit */
	WINDOW_MS = 4000,
};

/* Allowed in a window: limit * RULE_FACTOR + RULE_SLACK requests. */
static const double RULE_FACTOR = 1.5;
static const double RULE_SLACK = 5;

/* limit_check_init() sets no limit. */
void limit_check_init(struct limit_check *n)
{
	*n = (struct limit_check){.active = false};
	g_queue_init(&n->arrived);
}

/* Drops the arrival times up to `ms`. */
static void drop_before(struct limit_check *n, int64_t ms)
{
	int64_t *at;

	while ((at = g_queue_peek_head(&n->arrived)) && *at <= ms)
		g_free(g_queue_pop_head(&n->arrived));
}

/* limit_check_set() sets or removes the limit; a change restarts the grace. */
void limit_check_set(struct limit_check *n, bool active, double per_s,
		     int64_t now_ms)
{
	if (active == n->active && per_s == n->per_s)
		return;
	drop_before(n, now_ms);
	n->active = active;
	n->per_s = per_s;
	n->set_ms = now_ms;
}

/* limit_check_request() counts a request and updates the worst window. */
void limit_check_request(struct limit_check *n, int64_t now_ms)
{
	double allowed = RULE_FACTOR * n->per_s * WINDOW_MS / 1000 + RULE_SLACK;

	if (!n->active || now_ms < n->set_ms + LIMIT_GRACE_MS)
		return;
	n->requests++;
	g_queue_push_tail(&n->arrived, g_memdup2(&now_ms, sizeof(now_ms)));
	drop_before(n, now_ms - WINDOW_MS);
	if (n->has_worst &&
	    n->arrived.length - allowed <= n->worst - n->allowed)
		return;
	n->has_worst = true;
	n->worst = n->arrived.length;
	n->allowed = allowed;
}
