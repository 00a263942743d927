/*
 * Simulated system of instances that share one service's retry budget, for
 * tests of core/budget: its clock, its requests and what the servers get.
 */
#ifndef MP_TESTS_BUDGET_SYSTEM_H
#define MP_TESTS_BUDGET_SYSTEM_H

#include <glib.h>

#include "core/budget.h"

enum { WINDOW_MS = 10000, STEP_MS = 10 };

/* Adds up n steps from step `from` on; steps before the first count 0. */
static inline uint64_t sum(const uint32_t *steps, int from, int n)
{
	uint64_t s = 0;

	for (int i = from; i < from + n; i++)
		s += i >= 0 ? steps[i] : 0;
	return s;
}

enum {
	SMALL = 16, /* instances of the smallest systems */
	LARGE = 200,
	RUN_LONG_MS = 90000,
	STEPS = RUN_LONG_MS / STEP_MS,
};

struct instance {
	struct retry_budget budget;
	struct budget_params params; /* with the instances it knows */
	double share;		     /* of the demand */
};

struct system {
	struct instance instances[LARGE];
	int n; /* instances */
	GRand *rand;
	double demand; /* requests per step, all instances */
	uint32_t requests[STEPS], extra[STEPS];
};

static const struct budget_params system_params = {
	.ratio = 0.2,
	.slack = 60,
	.window_ms = WINDOW_MS,
};

/* Restarts instance i: nothing is kept of the previous process. */
static inline void restart(struct system *sys, int i)
{
	budget_init(&sys->instances[i].budget, g_rand_double(sys->rand));
}

/* Returns n instances that all know each other and get equal load. */
static inline struct system *system_with(int n, guint32 seed, double demand)
{
	struct system *sys = g_new0(struct system, 1);

	sys->rand = g_rand_new_with_seed(seed);
	sys->demand = demand;
	sys->n = n;
	for (int i = 0; i < n; i++) {
		sys->instances[i].params = system_params;
		sys->instances[i].params.instances = (unsigned)n;
		sys->instances[i].share = 1.0 / n;
		restart(sys, i);
	}
	return sys;
}

/* Returns a system of the usual size. */
static inline struct system *system_new(guint32 seed, double demand)
{
	return system_with(SMALL, seed, demand);
}

/* Frees a system. */
static inline void system_free(struct system *sys)
{
	g_rand_free(sys->rand);
	g_free(sys);
}

/* Returns the time of a step. */
static inline int64_t clock_at(int step)
{
	return 1000000 + (int64_t)step * STEP_MS;
}

/* Makes up to `more` extra sends from instance i, as its budget allows. */
static inline void extra_sends(struct system *sys, int i, int step, int more)
{
	struct instance *in = &sys->instances[i];

	for (int n = 0; n < more; n++) {
		if (!budget_allows(&in->budget, &in->params, clock_at(step)))
			return;
		budget_spend(&in->budget);
		budget_send_done(&in->budget, &in->params, clock_at(step));
		sys->extra[step]++;
	}
}

/* Adds a request at instance i that wants `more` extra sends. */
static inline void request(struct system *sys, int i, int step, int more)
{
	struct instance *in = &sys->instances[i];

	budget_add_request(&in->budget, &in->params, clock_at(step));
	sys->requests[step]++;
	extra_sends(sys, i, step, more);
}

/* Runs one step; each request wants up to `more` extra sends. */
static inline void system_step(struct system *sys, int step, int more)
{
	for (int i = 0; i < sys->n; i++) {
		double n = sys->demand * sys->instances[i].share;

		for (; n > 0; n--) {
			if (n >= 1 || g_rand_double(sys->rand) < n)
				request(sys, i, step, more);
		}
	}
}

/* Fails if the extra sends of any window exceed the limit. */
static inline void check_limit(const struct system *sys, const char *what,
			       guint32 seed)
{
	int len = WINDOW_MS / STEP_MS;

	for (int i = 0; i < STEPS; i++) {
		uint64_t n = MAX(sum(sys->requests, i, MIN(len, STEPS - i)),
				 MAX(sum(sys->requests, i - len, len),
				     sum(sys->requests, i - len / 2,
					 MIN(len, STEPS - i + len / 2))));
		uint64_t sent = sum(sys->extra, i, MIN(len, STEPS - i));
		double allowed =
			system_params.ratio * (double)n + system_params.slack;

		if ((double)sent > allowed)
			fail_msg("%s, seed %u, from %d ms: %" G_GUINT64_FORMAT
				 " sends, %.0f allowed",
				 what, seed, i * STEP_MS, sent, allowed);
	}
}

#endif
