#include <errno.h>
#include <string.h>

#include <ck_pr.h>

#include "route/policy.h"

/*
 * route_eligible() tells whether w may get new work: on the list, not
 * leaving, not drained by an operator.
 */
bool route_eligible(struct route_worker *w)
{
	return ck_pr_load_uint(&w->state) == WORKER_LIVE &&
	       !ck_pr_load_uint(&w->drained);
}

/* Tries at most n slots from start for the first eligible worker. */
static int first_eligible(struct route_pool *pool, unsigned start)
{
	unsigned n = ck_pr_load_uint(&pool->count);

	for (unsigned i = 0; i < n; i++) {
		unsigned k = (start + i) % n;

		if (route_eligible(&pool->workers[k]))
			return (int)k;
	}
	return -ENOENT;
}

static int pick_rr(void *priv, struct route_pool *pool, GRand *rnd)
{
	return first_eligible(pool, ck_pr_faa_uint(&pool->rr_next, 1));
}

static int pick_random(void *priv, struct route_pool *pool, GRand *rnd)
{
	unsigned n = ck_pr_load_uint(&pool->count);

	if (n == 0)
		return -ENOENT;
	return first_eligible(pool,
			      (unsigned)g_rand_int_range(rnd, 0, (gint)n));
}

/* The load a policy sees: our own calls in flight plus the last report. */
static unsigned load_of(struct route_worker *w)
{
	return ck_pr_load_uint(&w->outstanding) + ck_pr_load_uint(&w->reported);
}

static int pick_least(void *priv, struct route_pool *pool, GRand *rnd)
{
	unsigned n = ck_pr_load_uint(&pool->count), best_load = ~0u;
	int best = -ENOENT;

	/* Start at a random place so that ties do not all go to worker 0. */
	unsigned start = n ? (unsigned)g_rand_int_range(rnd, 0, (gint)n) : 0;

	for (unsigned i = 0; i < n; i++) {
		unsigned k = (start + i) % n;
		struct route_worker *w = &pool->workers[k];

		if (!route_eligible(w))
			continue;
		unsigned l = ck_pr_load_uint(&w->outstanding);

		if (l < best_load) {
			best_load = l;
			best = (int)k;
		}
	}
	return best;
}

/*
 * Power of two choices: two random eligible workers, the less loaded one
 * wins. Load reports are stale by the time they arrive; sampling two keeps
 * a stale low report from drawing every call to one worker.
 */
static int pick_p2c(void *priv, struct route_pool *pool, GRand *rnd)
{
	int a = pick_random(priv, pool, rnd);
	int b = pick_random(priv, pool, rnd);

	if (a < 0 || b < 0)
		return a < 0 ? b : a;
	return load_of(&pool->workers[b]) < load_of(&pool->workers[a]) ? b : a;
}

const struct route_policy route_policies[] = {
	{"rr", pick_rr, NULL},	     {"random", pick_random, NULL},
	{"least", pick_least, NULL}, {"p2c", pick_p2c, NULL},
	{NULL, NULL, NULL},
};

/* route_policy_find() returns the policy of that name, or NULL. */
const struct route_policy *route_policy_find(const char *name)
{
	for (const struct route_policy *p = route_policies; p->name; p++)
		if (!strcmp(p->name, name))
			return p;
	return NULL;
}

/* route_pool_find() returns the index of the named worker, or -ENOENT. */
int route_pool_find(struct route_pool *pool, const char *name)
{
	unsigned n = ck_pr_load_uint(&pool->count);

	for (unsigned i = 0; i < n; i++)
		if (!strcmp(pool->workers[i].name, name))
			return (int)i;
	return -ENOENT;
}

/*
 * route_pool_add() appends a worker (control thread only). The slot is
 * filled before count is raised, so traffic threads never see a half-made
 * worker. Returns its index, or -ENOSPC when the pool is full.
 */
int route_pool_add(struct route_pool *pool, const char *name, const char *addr,
		   const char *dc)
{
	unsigned n = ck_pr_load_uint(&pool->count);

	if (n >= ROUTE_POOL_MAX)
		return -ENOSPC;
	struct route_worker *w = &pool->workers[n];

	g_strlcpy(w->name, name, sizeof(w->name));
	g_strlcpy(w->addr, addr, sizeof(w->addr));
	g_strlcpy(w->dc, dc, sizeof(w->dc));
	ck_pr_store_uint(&w->state, WORKER_LIVE);
	ck_pr_fence_store();
	ck_pr_store_uint(&pool->count, n + 1);
	return (int)n;
}
