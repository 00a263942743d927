/*
 * A system of instances that share one service's retry budget, on a clock of its
 * own, and what servers get of them: for tests of core/budget.
 */
#ifndef MP_TESTS_BUDGET_SYSTEM_H
#define MP_TESTS_BUDGET_SYSTEM_H

#include <glib.h>

#include "core/budget.h"

enum { WINDOW_MS = 10000, STEP_MS = 10 };

/* Adds up n steps from step `from`; the time before the first is empty. */
static inline uint64_t sum(const uint32_t *cells, int from, int n)
{
	uint64_t s = 0;

	for (int i = from; i < from + n; i++)
		s += i >= 0 ? cells[i] : 0;
	return s;
}

/* Any number of instances as they come and go, and what servers get of them. */
enum {
	SYSTEM = 16, /* instances, as the smallest systems have */
	LARGE = 200,
	LONG_DAY_MS = 90000,
	STEPS = LONG_DAY_MS / STEP_MS,
};

struct instance {
	struct retry_budget budget;
	struct budget_params rule; /* as this one knows it */
	double share;		   /* of the demand */
};

struct world {
	struct instance instances[LARGE];
	int n; /* instances */
	GRand *rand;
	double demand; /* requests a step, of all instances */
	uint32_t requests[STEPS], extra[STEPS];
};

static const struct budget_params system_rule = {
	.ratio = 0.2,
	.slack = 60,
	.window_ms = WINDOW_MS,
};

/* A process starts: it knows nothing of before. */
static inline void begin_lifetime(struct world *w, int i)
{
	budget_init(&w->instances[i].budget, g_rand_double(w->rand));
}

/* A system of n instances that all hear each other, with as many callers each. */
static inline struct world *world_of(int n, guint32 seed, double demand)
{
	struct world *w = g_new0(struct world, 1);

	w->rand = g_rand_new_with_seed(seed);
	w->demand = demand;
	w->n = n;
	for (int i = 0; i < n; i++) {
		w->instances[i].rule = system_rule;
		w->instances[i].rule.instances = (unsigned)n;
		w->instances[i].share = 1.0 / n;
		begin_lifetime(w, i);
	}
	return w;
}

static inline struct world *world_new(guint32 seed, double demand)
{
	return world_of(SYSTEM, seed, demand);
}

static inline void world_free(struct world *w)
{
	g_rand_free(w->rand);
	g_free(w);
}

static inline int64_t clock_at(int step)
{
	return 1000000 + (int64_t)step * STEP_MS;
}

/* Instance i wants to send up to `more` times beyond the first. */
static inline void want(struct world *w, int i, int step, int more)
{
	struct instance *in = &w->instances[i];

	for (int n = 0; n < more; n++) {
		if (!budget_allows(&in->budget, &in->rule, clock_at(step)))
			return;
		budget_spend(&in->budget);
		budget_send_done(&in->budget, &in->rule, clock_at(step));
		w->extra[step]++;
	}
}

/* A request comes to instance i and wants `more` sends beyond its first. */
static inline void request(struct world *w, int i, int step, int more)
{
	struct instance *in = &w->instances[i];

	budget_add_request(&in->budget, &in->rule, clock_at(step));
	w->requests[step]++;
	want(w, i, step, more);
}

/* One step of the system; each request wants up to `more` sends. */
static inline void world_step(struct world *w, int step, int more)
{
	for (int i = 0; i < w->n; i++) {
		double n = w->demand * w->instances[i].share;

		for (; n > 0; n--) {
			if (n >= 1 || g_rand_double(w->rand) < n)
				request(w, i, step, more);
		}
	}
}

/* The rule, in every window: what was sent, over what may be. */
static inline void check_rule(const struct world *w, const char *what,
			      guint32 seed)
{
	int len = WINDOW_MS / STEP_MS;

	for (int i = 0; i < STEPS; i++) {
		uint64_t n = MAX(sum(w->requests, i, MIN(len, STEPS - i)),
				 MAX(sum(w->requests, i - len, len),
				     sum(w->requests, i - len / 2,
					 MIN(len, STEPS - i + len / 2))));
		uint64_t sent = sum(w->extra, i, MIN(len, STEPS - i));
		double allowed =
			system_rule.ratio * (double)n + system_rule.slack;

		if ((double)sent > allowed)
			fail_msg("%s, seed %u, from %d ms: %" G_GUINT64_FORMAT
				 " sends, %.0f allowed",
				 what, seed, i * STEP_MS, sent, allowed);
	}
}

#endif
