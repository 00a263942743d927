#include "stand/limit_check.h"

/* limit_check_init() sets no limit. */
void limit_check_init(struct limit_check *n,
		      const struct limit_check_rule *rule)
{
	*n = (struct limit_check){.rule = *rule};
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
	const struct limit_check_rule *rule = &n->rule;
	double per_window = n->per_s * (double)rule->window_ms / 1000;
	double allowed = rule->factor * per_window + rule->slack;

	if (!n->active || now_ms < n->set_ms + rule->grace_ms)
		return;
	n->requests++;
	g_queue_push_tail(&n->arrived, g_memdup2(&now_ms, sizeof(now_ms)));
	drop_before(n, now_ms - rule->window_ms);
	if (n->has_worst &&
	    n->arrived.length - allowed <= n->worst - n->allowed)
		return;
	n->has_worst = true;
	n->worst = n->arrived.length;
	n->allowed = allowed;
}
