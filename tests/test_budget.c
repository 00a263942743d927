/*
 * Tests of core/budget: whatever becomes of the instances, all of them
 * together never go over the system's rule in any sliding window, and the
 * allowance is used.
 *
 * The story of the tests from test_restarts on. Users saw 495 sends beyond the
 * first of their request in 10 s, for 2,063 requests, where the rule allows 473.
 * Servers of the service turned requests away, so every instance spent what it
 * had. Each kept its account in its own memory, by its own window, with an equal
 * part of the rule's slack for itself. An instance that was restarted had its
 * part once more, while what the process before had spent was forgotten; one
 * that was cut off from the others divided the slack by fewer; and when callers
 * moved, the instance that they left had spent what they earned before the
 * window, and the one that they came to spent what they earned in it.
 * Evidence, from runs of 16 instances with all servers refusing: planned restarts
 * of one instance each 0.8 s, 471 sends in the worst window by 27 lifetimes, 13
 * of them begun in it, each with the right count of instances, and 449 allowed;
 * five instances cut off, 447 sends by 16 lifetimes, none begun in it, that
 * divided by 5 to 16, one over. With neither the worst was 38 under the limit.
 */
#include "tests/unit.h"

#include <glib.h>

#include "core/budget.h"

enum { INSTANCES = 13, WINDOW_MS = 10000, DAY_MS = 60000, STEP_MS = 10 };

struct day {
	uint32_t requests[DAY_MS / STEP_MS], extra[DAY_MS / STEP_MS];
};

static uint64_t sum(const uint32_t *cells, int from, int n)
{
	uint64_t s = 0;

	for (int i = from; i < from + n; i++)
		s += i >= 0 ? cells[i] : 0;
	return s;
}

/* Plays a day on which every request wants three more sends. */
static void play(guint32 seed, struct day *d, const struct budget_rule *rule)
{
	struct retry_budget b[INSTANCES];
	GRand *rand = g_rand_new_with_seed(seed);

	memset(b, 0, sizeof(b));
	for (int i = 0; i < DAY_MS / STEP_MS; i++) {
		int64_t now = 1000000 + (int64_t)i * STEP_MS;
		/* Bursts and pauses of some seconds. */
		double rate = (i / 300) % 3 == 2 ? 0.02 : 0.4;

		for (int k = 0; k < INSTANCES; k++) {
			if (g_rand_double(rand) > rate)
				continue;
			budget_request(&b[k], rule, now);
			d->requests[i]++;
			for (int n = 0; n < 3; n++) {
				if (!budget_allows(&b[k], rule, now))
					break;
				budget_spend(&b[k], rule, now);
				d->extra[i]++;
			}
		}
	}
	g_rand_free(rand);
}

static void test_never_over(void **state)
{
	struct budget_rule rule = {.ratio = 0.2,
				   .slack = 56,
				   .window_ms = WINDOW_MS,
				   .instances = INSTANCES};
	int w = WINDOW_MS / STEP_MS;

	for (guint32 seed = 1; seed <= 20; seed++) {
		struct day *d = g_new0(struct day, 1);
		uint64_t used = 0, requests = 0;

		play(seed, d, &rule);
		for (int i = w; i < DAY_MS / STEP_MS; i++) {
			/* The rule takes the better of these windows. */
			uint64_t req =
				MAX(sum(d->requests, i - w, w),
				    MAX(sum(d->requests, i - 2 * w, w),
					sum(d->requests, i - w - w / 2, w)));

			assert_true((double)sum(d->extra, i - w, w) <=
				    0.2 * (double)req + 56);
		}
		used = sum(d->extra, 0, DAY_MS / STEP_MS);
		requests = sum(d->requests, 0, DAY_MS / STEP_MS);
		/* At least half of what the ratio alone gives is usable. */
		assert_true((double)used > 0.1 * (double)requests);
		g_free(d);
	}
}

/* Any number of instances as they come and go, and what servers get of them. */
enum { SYSTEM = 16, LONG_DAY_MS = 90000, STEPS = LONG_DAY_MS / STEP_MS };

struct instance {
	struct retry_budget budget;
	struct budget_rule rule; /* as this one knows it */
	double share;		 /* of the demand */
};

struct world {
	struct instance instances[SYSTEM];
	GRand *rand;
	double demand; /* requests a step, of all instances */
	uint32_t requests[STEPS], extra[STEPS];
};

static const struct budget_rule system_rule = {
	.ratio = 0.2, .slack = 60, .window_ms = WINDOW_MS, .instances = SYSTEM};

/* A process starts: it knows nothing of before. */
static void begin_lifetime(struct world *w, int i)
{
	memset(&w->instances[i].budget, 0, sizeof(struct retry_budget));
}

static struct world *world_new(guint32 seed, double demand)
{
	struct world *w = g_new0(struct world, 1);

	w->rand = g_rand_new_with_seed(seed);
	w->demand = demand;
	for (int i = 0; i < SYSTEM; i++) {
		w->instances[i].rule = system_rule;
		w->instances[i].share = 1.0 / SYSTEM;
		begin_lifetime(w, i);
	}
	return w;
}

static void world_free(struct world *w)
{
	g_rand_free(w->rand);
	g_free(w);
}

static int64_t clock_at(int step)
{
	return 1000000 + (int64_t)step * STEP_MS;
}

/* Instance i wants to send up to `more` times beyond the first. */
static void want(struct world *w, int i, int step, int more)
{
	struct instance *in = &w->instances[i];

	for (int n = 0; n < more; n++) {
		if (!budget_allows(&in->budget, &in->rule, clock_at(step)))
			return;
		budget_spend(&in->budget, &in->rule, clock_at(step));
		w->extra[step]++;
	}
}

/* A request comes to instance i and wants `more` sends beyond its first. */
static void request(struct world *w, int i, int step, int more)
{
	struct instance *in = &w->instances[i];

	budget_request(&in->budget, &in->rule, clock_at(step));
	w->requests[step]++;
	want(w, i, step, more);
}

/* One step of the system; each request wants up to `more` sends. */
static void world_step(struct world *w, int step, int more)
{
	for (int i = 0; i < SYSTEM; i++) {
		double n = w->demand * w->instances[i].share;

		for (; n > 0; n--) {
			if (n >= 1 || g_rand_double(w->rand) < n)
				request(w, i, step, more);
		}
	}
}

/* The rule, in every window: what was sent, over what may be. */
static void check_rule(const struct world *w, const char *what, guint32 seed)
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

/* 200 requests a second, as in the users' window; every server refuses. */
enum { MORE = 3, SEEDS = 10 };
static const double BUSY = 200.0 * STEP_MS / 1000;

/*
 * Planned restarts of all instances in turn, one each 0.8 s. Callers leave an
 * instance 3 s before its process ends, for the others. Servers begin to refuse
 * 4 s after the first restart, so that all have a whole window's allowance.
 */
static void test_restarts(void **state)
{
	enum {
		EACH = 800 / STEP_MS,
		LEFT = 3000 / STEP_MS,
		BEGIN = 2000,
		REFUSE = BEGIN + 4000 / STEP_MS,
	};

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			int used = 0;

			for (int i = 0; i < SYSTEM; i++) {
				int end = BEGIN + i * EACH;
				bool out = t >= end - LEFT && t < end;

				w->instances[i].share = out ? 0 : 1;
				used += !out;
				if (t == end)
					begin_lifetime(w, i);
			}
			for (int i = 0; i < SYSTEM; i++)
				w->instances[i].share /= used;
			world_step(w, t, t < REFUSE ? 0 : MORE);
		}
		check_rule(w, "restarts", seed);
		world_free(w);
	}
}

/* Some, or all, are killed at random moments, time and again. */
static void test_kills(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			bool now = g_rand_int_range(w->rand, 0, 250) == 0;
			double share = g_rand_double(w->rand);

			for (int i = 0; now && i < SYSTEM; i++) {
				if (g_rand_double(w->rand) < share)
					begin_lifetime(w, i);
			}
			world_step(w, t, MORE);
		}
		check_rule(w, "kills", seed);
		world_free(w);
	}
}

/* Five are cut off from the others: each part takes itself for all there are. */
static void test_cut_off(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; t == STEPS / 4 && i < SYSTEM; i++)
				w->instances[i].rule.instances =
					i < 5 ? 1 : SYSTEM - 5;
			world_step(w, t, MORE);
		}
		check_rule(w, "cut off", seed);
		world_free(w);
	}
}

/* Callers move at random moments to some instances, more or less of them. */
static void test_moving_demand(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			bool now = g_rand_int_range(w->rand, 0, 400) == 0;
			int few = g_rand_int_range(w->rand, 1, SYSTEM + 1);
			int first = g_rand_int_range(w->rand, 0, SYSTEM);

			if (now)
				w->demand = BUSY * g_rand_double(w->rand) * 3;
			for (int i = 0; now && i < SYSTEM; i++) {
				bool used = (i + SYSTEM - first) % SYSTEM < few;

				w->instances[i].share = used ? 1.0 / few : 0;
			}
			world_step(w, t, MORE);
		}
		check_rule(w, "moving demand", seed);
		world_free(w);
	}
}

/*
 * Servers begin to refuse, and right afterwards all callers move to the other
 * half of the instances: the first half has spent what its requests of before
 * the window earned, the second what those in the window earn.
 */
static void test_callers_move(void **state)
{
	enum { REFUSE = 3000, MOVE = REFUSE + 1000 / STEP_MS };

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; i < SYSTEM; i++) {
				bool used = (i < SYSTEM / 2) == (t < MOVE);

				w->instances[i].share = used ? 2.0 / SYSTEM : 0;
			}
			world_step(w, t, t < REFUSE ? 0 : MORE);
		}
		check_rule(w, "callers move", seed);
		world_free(w);
	}
}

/*
 * Two short crowds 10.6 s apart. The first is sent again only 2 s later, as
 * when no answer comes; its requests then still paid for the second's repeats,
 * though a window that holds the repeats of both holds one crowd's requests.
 */
static void test_two_crowds(void **state)
{
	enum { FIRST = 1000, CROWD = 1000 };
	int late = FIRST + 2000 / STEP_MS, second = FIRST + 10600 / STEP_MS;
	struct world *w = world_new(1, 0);

	for (int n = 0; n < CROWD; n++)
		request(w, n % SYSTEM, FIRST, 0);
	for (int i = 0; i < SYSTEM; i++)
		want(w, i, late, CROWD);
	for (int n = 0; n < CROWD; n++)
		request(w, n % SYSTEM, second, 0);
	for (int i = 0; i < SYSTEM; i++)
		want(w, i, second, CROWD);
	check_rule(w, "two crowds", 1);
	world_free(w);
}

static void test_quiet_service(void **state)
{
	struct budget_rule rule = {.ratio = 0.2,
				   .slack = 56,
				   .window_ms = WINDOW_MS,
				   .instances = 13};
	struct retry_budget b = {0};

	/* Without any request the share of the slack is there, once. */
	for (int i = 0; i < 3; i++) {
		assert_true(budget_allows(&b, &rule, 5000000));
		budget_spend(&b, &rule, 5000000);
	}
	assert_false(budget_allows(&b, &rule, 5000000));
	assert_false(budget_allows(&b, &rule, 5000000 + WINDOW_MS - 1));
	/* It comes back once the window has passed. */
	assert_true(budget_allows(&b, &rule, 5000000 + 2 * WINDOW_MS));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_over),
		cmocka_unit_test(test_restarts),
		cmocka_unit_test(test_kills),
		cmocka_unit_test(test_cut_off),
		cmocka_unit_test(test_moving_demand),
		cmocka_unit_test(test_callers_move),
		cmocka_unit_test(test_two_crowds),
		cmocka_unit_test(test_quiet_service),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
