/*
 * Tests of core/budget: whatever happens to the instances, all of them together
 * never exceed the system's limit in any sliding window, and the budget is
 * used.
 *
 * The tests from test_restarts on guard against 495 extra sends in 10 s, for
 * 2,063 requests, where the limit was 473. All servers of the service refused
 * requests, so every instance spent its whole budget, and
 * - a restarted instance had its part of the slack again, while what the
 *   previous process had spent was forgotten (restart of one instance every
 *   0.8 s: 471 sends by 27 lifetimes, 13 of them begun in the window, where 449
 *   were allowed);
 * - an instance cut off from the others divided the slack by too few (five of
 *   16 cut off: 447 sends by lifetimes that divided by 5 to 16, one over the
 *   limit);
 * - when callers moved, the old instance had spent what they had earned before
 *   the window, and the new one what they earned in it.
 * Without restarts and partitions the worst window was 38 below the limit.
 */
#include "tests/unit.h"

#include <glib.h>

#include "core/budget.h"
#include "tests/budget_system.h"

enum { INSTANCES = 13, RUN_MS = 60000 };

struct run {
	uint32_t requests[RUN_MS / STEP_MS], extra[RUN_MS / STEP_MS];
};

/* Simulates a run in which every request wants three extra sends. */
static void simulate(guint32 seed, struct run *d,
		     const struct budget_params *params)
{
	struct retry_budget b[INSTANCES];
	GRand *rand = g_rand_new_with_seed(seed);

	for (int k = 0; k < INSTANCES; k++)
		budget_init(&b[k], g_rand_double(rand));
	for (int i = 0; i < RUN_MS / STEP_MS; i++) {
		int64_t now = 1000000 + (int64_t)i * STEP_MS;
		/* Bursts and pauses of a few seconds. */
		double rate = (i / 300) % 3 == 2 ? 0.02 : 0.4;

		for (int k = 0; k < INSTANCES; k++) {
			if (g_rand_double(rand) > rate)
				continue;
			budget_add_request(&b[k], params, now);
			d->requests[i]++;
			for (int n = 0; n < 3; n++) {
				if (!budget_allows(&b[k], params, now))
					break;
				budget_spend(&b[k]);
				budget_send_done(&b[k], params, now);
				d->extra[i]++;
			}
		}
	}
	g_rand_free(rand);
}

/* Random load never exceeds the limit and uses at least half of the ratio. */
static void test_limit_holds(void **state)
{
	struct budget_params params = {.ratio = 0.2,
				       .slack = 56,
				       .window_ms = WINDOW_MS,
				       .instances = INSTANCES};
	int len = WINDOW_MS / STEP_MS;

	for (guint32 seed = 1; seed <= 20; seed++) {
		struct run *d = g_new0(struct run, 1);
		uint64_t used = 0, requests = 0;

		simulate(seed, d, &params);
		for (int i = len; i < RUN_MS / STEP_MS; i++) {
			/* The limit uses the largest of these windows. */
			uint64_t req = MAX(
				sum(d->requests, i - len, len),
				MAX(sum(d->requests, i - 2 * len, len),
				    sum(d->requests, i - len - len / 2, len)));

			assert_true((double)sum(d->extra, i - len, len) <=
				    0.2 * (double)req + 56);
		}
		used = sum(d->extra, 0, RUN_MS / STEP_MS);
		requests = sum(d->requests, 0, RUN_MS / STEP_MS);
		/* At least half of what the ratio alone allows is used. */
		assert_true((double)used > 0.1 * (double)requests);
		g_free(d);
	}
}

/* 200 requests per second, as in the reported window; all servers refuse. */
enum { MORE = 3, SEEDS = 10 };
static const double BUSY = 200.0 * STEP_MS / 1000;

/*
 * Rolling restart of all instances, one every 0.8 s. Callers move from an
 * instance to the others 3 s before its process ends. Servers start to refuse
 * 4 s after the first restart, so that all instances have a full budget.
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
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			int used = 0;

			for (int i = 0; i < SMALL; i++) {
				int end = BEGIN + i * EACH;
				bool out = t >= end - LEFT && t < end;

				sys->instances[i].share = out ? 0 : 1;
				used += !out;
				if (t == end)
					restart(sys, i);
			}
			for (int i = 0; i < SMALL; i++)
				sys->instances[i].share /= used;
			system_step(sys, t, t < REFUSE ? 0 : MORE);
		}
		check_limit(sys, "restarts", seed);
		system_free(sys);
	}
}

/* Some or all instances are killed at random times, again and again. */
static void test_kills(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			bool now = g_rand_int_range(sys->rand, 0, 250) == 0;
			double share = g_rand_double(sys->rand);

			for (int i = 0; now && i < SMALL; i++) {
				if (g_rand_double(sys->rand) < share)
					restart(sys, i);
			}
			system_step(sys, t, MORE);
		}
		check_limit(sys, "kills", seed);
		system_free(sys);
	}
}

/*
 * Network partition: each of five instances knows only itself, the others know
 * only each other.
 */
static void test_cut_off(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; t == STEPS / 4 && i < SMALL; i++)
				sys->instances[i].params.instances =
					i < 5 ? 1 : SMALL - 5;
			system_step(sys, t, MORE);
		}
		check_limit(sys, "cut off", seed);
		system_free(sys);
	}
}

/* All instances restart during a partition, and none ever knows another. */
static void test_restart_while_cut_off(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; t == STEPS / 4 && i < SMALL; i++) {
				sys->instances[i].params.instances = 1;
				restart(sys, i);
			}
			system_step(sys, t, MORE);
		}
		check_limit(sys, "restart while cut off", seed);
		system_free(sys);
	}
}

/* At random times callers move to some instances, and their number changes. */
static void test_moving_demand(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			bool now = g_rand_int_range(sys->rand, 0, 400) == 0;
			int few = g_rand_int_range(sys->rand, 1, SMALL + 1);
			int first = g_rand_int_range(sys->rand, 0, SMALL);

			if (now)
				sys->demand =
					BUSY * g_rand_double(sys->rand) * 3;
			for (int i = 0; now && i < SMALL; i++) {
				bool used = (i + SMALL - first) % SMALL < few;

				sys->instances[i].share = used ? 1.0 / few : 0;
			}
			system_step(sys, t, MORE);
		}
		check_limit(sys, "moving demand", seed);
		system_free(sys);
	}
}

/*
 * Servers start to refuse, and right afterwards all callers move to the other
 * half of the instances: the first half has spent what its requests earned
 * before the window, the second spends what its requests earn in the window.
 */
static void test_callers_move(void **state)
{
	enum { REFUSE = 3000, MOVE = REFUSE + 1000 / STEP_MS };

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct system *sys = system_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; i < SMALL; i++) {
				bool used = (i < SMALL / 2) == (t < MOVE);

				sys->instances[i].share =
					used ? 2.0 / SMALL : 0;
			}
			system_step(sys, t, t < REFUSE ? 0 : MORE);
		}
		check_limit(sys, "callers move", seed);
		system_free(sys);
	}
}

/*
 * Two bursts 10.6 s apart. The first is retried only 2 s later, as after a
 * timeout. Guards against its requests paying for the second burst's retries:
 * a window with the retries of both bursts has the requests of one only.
 */
static void test_two_bursts(void **state)
{
	enum { FIRST = 1000, BURST = 1000 };
	int late = FIRST + 2000 / STEP_MS, second = FIRST + 10600 / STEP_MS;
	struct system *sys = system_new(1, 0);

	for (int n = 0; n < BURST; n++)
		request(sys, n % SMALL, FIRST, 0);
	for (int i = 0; i < SMALL; i++)
		extra_sends(sys, i, late, BURST);
	for (int n = 0; n < BURST; n++)
		request(sys, n % SMALL, second, 0);
	for (int i = 0; i < SMALL; i++)
		extra_sends(sys, i, second, BURST);
	check_limit(sys, "two bursts", 1);
	system_free(sys);
}

/*
 * More instances than the slack has sends, with few requests each, and constant
 * kills: their credits add up to at most half of the slack.
 */
static void test_large_system(void **state)
{
	for (guint32 seed = 1; seed <= 3; seed++) {
		struct system *sys = system_with(LARGE, seed, BUSY / 4);

		for (int t = 0; t < STEPS; t++) {
			if (t % 10 == 0)
				restart(sys,
					g_rand_int_range(sys->rand, 0, LARGE));
			system_step(sys, t, MORE);
		}
		check_limit(sys, "large system", seed);
		system_free(sys);
	}
}

/*
 * A lifetime without requests has no budget, however long it lasts. What one
 * request pays can be spent for a window and a half, in decreasing parts.
 */
static void test_no_requests_no_budget(void **state)
{
	struct budget_params params = {.ratio = 3, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t0 = 5000000;

	budget_init(&b, 0.99);
	assert_false(budget_allows(&b, &params, t0));
	assert_false(budget_allows(&b, &params, t0 + 10 * WINDOW_MS));
	budget_add_request(&b, &params, t0);
	assert_true(budget_allows(&b, &params, t0));
	budget_spend(&b);
	assert_false(budget_allows(&b, &params, t0));
	budget_send_done(&b, &params, t0 + 1000);
	assert_false(budget_allows(&b, &params, t0 + 1000));
	/* The part paid by the previous window is spent as well. */
	assert_false(budget_allows(&b, &params, t0 + WINDOW_MS + 500));
	assert_false(budget_allows(&b, &params, t0 + 10 * WINDOW_MS));
}

/*
 * A send in flight counts until it ends: it may reach its server at any time.
 */
static void test_in_flight_counts(void **state)
{
	struct budget_params params = {.ratio = 3, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t0 = 5000000;

	budget_init(&b, 0);
	budget_add_request(&b, &params, t0);
	budget_spend(&b);
	for (int64_t t = t0; t < t0 + 3 * WINDOW_MS; t += 1000) {
		budget_add_request(&b, &params, t);
		assert_true(budget_left(&b, &params, t) >= 0);
	}
	budget_spend(&b);
	/* None has ended: both count as if just sent. */
	assert_int_equal(budget_window(&b, &params, t0 + 3 * WINDOW_MS).spent,
			 2);
	budget_refund(&b);
	budget_send_done(&b, &params, t0 + 3 * WINDOW_MS);
	assert_int_equal(budget_window(&b, &params, t0 + 3 * WINDOW_MS).spent,
			 1);
}

/* A changed window length resets all counts but that of sends in flight. */
static void test_window_changes(void **state)
{
	struct budget_params params = {.ratio = 30, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t = 5000000;

	budget_init(&b, 0);
	budget_add_request(&b, &params, t);
	budget_spend(&b);
	for (uint32_t ms = 4 * WINDOW_MS; ms > 0; ms /= 8) {
		params.window_ms = ms;
		budget_add_request(&b, &params, t);
		assert_int_equal(budget_window(&b, &params, t).requests, 1);
		assert_int_equal(budget_window(&b, &params, t).spent, 1);
		t += 10 * WINDOW_MS;
	}
	params.window_ms = 0;
	budget_add_request(&b, &params, t);
	assert_int_equal(budget_window(&b, &params, t).spent, 1);
	budget_send_done(&b, &params, t);
}

/* Returns the fraction of wanted retries that is allowed under light load. */
static double allowed_fraction(double per_s, guint32 seed)
{
	struct system *sys = system_new(seed, per_s * STEP_MS / 1000);
	uint64_t wanted = 0, sent;
	double share;

	for (int t = 0; t < STEPS; t++) {
		for (int i = 0; i < SMALL; i++) {
			int more = g_rand_int_range(sys->rand, 0, 20) == 0;

			if (g_rand_double(sys->rand) >= sys->demand / SMALL)
				continue;
			request(sys, i, t, more);
			wanted += (uint64_t)more;
		}
	}
	check_limit(sys, "light load", seed);
	sent = sum(sys->extra, 0, STEPS);
	share = wanted ? (double)sent / (double)wanted : 1;
	system_free(sys);
	return share;
}

/*
 * Light load: one request in 20 wants a retry, a quarter of what the ratio pays
 * for. After its first window an instance always has one retry per window, and
 * the ratio pays for one more at once per request and second. At 0.3 requests
 * per second and instance a second retry falls into the same window in 14 of
 * 100 cases, and the first window, in which half are allowed, is a tenth of the
 * run.
 */
static void test_light_load(void **state)
{
	double few = 0, some = 0, many = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		few += allowed_fraction(0.3 * SMALL, seed) / SEEDS;
		some += allowed_fraction(1.0 * SMALL, seed) / SEEDS;
		many += allowed_fraction(2.0 * SMALL, seed) / SEEDS;
	}
	print_message("allowed: %.2f %.2f %.2f\n", few, some, many);
	assert_true(few > 0.5);
	assert_true(some > 0.75);
	assert_true(many > 0.9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_holds),
		cmocka_unit_test(test_restarts),
		cmocka_unit_test(test_kills),
		cmocka_unit_test(test_cut_off),
		cmocka_unit_test(test_restart_while_cut_off),
		cmocka_unit_test(test_moving_demand),
		cmocka_unit_test(test_callers_move),
		cmocka_unit_test(test_two_bursts),
		cmocka_unit_test(test_large_system),
		cmocka_unit_test(test_no_requests_no_budget),
		cmocka_unit_test(test_in_flight_counts),
		cmocka_unit_test(test_window_changes),
		cmocka_unit_test(test_light_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
