#include "stand/need.h"

enum {
	SETTLE_MS = 3000, /* after the first naming nothing is judged */
	WINDOW_MS = 4000,
};

/* In a window: so many times what the limit allows, and so many more. */
static const double RULE_FACTOR = 1.5;
static const double RULE_SLACK = 5;

/* need_init() makes one of a server that names no limit. */
void need_init(struct need *n)
{
	*n = (struct need){.named = false};
	g_queue_init(&n->arrived);
}

static void forget_before(struct need *n, int64_t ms)
{
	int64_t *at;

	while ((at = g_queue_peek_head(&n->arrived)) && *at <= ms)
		g_free(g_queue_pop_head(&n->arrived));
}

/* need_set() begins, changes or ends the limit; the rule settles anew. */
void need_set(struct need *n, bool named, double per_s, int64_t now_ms)
{
	if (named == n->named && per_s == n->per_s)
		return;
	forget_before(n, now_ms);
	n->named = named;
	n->per_s = per_s;
	n->since_ms = now_ms;
}

/* need_arrived() counts a request and keeps the worst window. */
void need_arrived(struct need *n, int64_t now_ms)
{
	double allowed = RULE_FACTOR * n->per_s * WINDOW_MS / 1000 + RULE_SLACK;

	if (!n->named || now_ms < n->since_ms + SETTLE_MS)
		return;
	n->got++;
	g_queue_push_tail(&n->arrived, g_memdup2(&now_ms, sizeof(now_ms)));
	forget_before(n, now_ms - WINDOW_MS);
	if (n->judged && n->arrived.length - allowed <= n->worst - n->allowed)
		return;
	n->judged = true;
	n->worst = n->arrived.length;
	n->allowed = allowed;
}
