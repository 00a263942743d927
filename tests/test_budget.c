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
#include "tests/budget_system.h"

enum { INSTANCES = 13, DAY_MS = 60000 };

struct day {
	uint32_t requests[DAY_MS / STEP_MS], extra[DAY_MS / STEP_MS];
};

/* Plays a day on which every request wants three more sends. */
static void play(guint32 seed, struct day *d, const struct budget_params *rule)
{
	struct retry_budget b[INSTANCES];
	GRand *rand = g_rand_new_with_seed(seed);

	for (int k = 0; k < INSTANCES; k++)
		budget_init(&b[k], g_rand_double(rand));
	for (int i = 0; i < DAY_MS / STEP_MS; i++) {
		int64_t now = 1000000 + (int64_t)i * STEP_MS;
		/* Bursts and pauses of some seconds. */
		double rate = (i / 300) % 3 == 2 ? 0.02 : 0.4;

		for (int k = 0; k < INSTANCES; k++) {
			if (g_rand_double(rand) > rate)
				continue;
			budget_add_request(&b[k], rule, now);
			d->requests[i]++;
			for (int n = 0; n < 3; n++) {
				if (!budget_allows(&b[k], rule, now))
					break;
				budget_spend(&b[k]);
				budget_send_done(&b[k], rule, now);
				d->extra[i]++;
			}
		}
	}
	g_rand_free(rand);
}

static void test_never_over(void **state)
{
	struct budget_params rule = {.ratio = 0.2,
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

/* The same, and all start anew while it lasts: nobody ever knew of the others. */
static void test_cut_off_anew(void **state)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world *w = world_new(seed, BUSY);

		for (int t = 0; t < STEPS; t++) {
			for (int i = 0; t == STEPS / 4 && i < SYSTEM; i++) {
				w->instances[i].rule.instances = 1;
				begin_lifetime(w, i);
			}
			world_step(w, t, MORE);
		}
		check_rule(w, "cut off anew", seed);
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

/*
 * More instances than the slack has sends, few requests each, and some killed all
 * the time: what each is given beside its requests' ratio adds up to half of the
 * slack at most.
 */
static void test_large_system(void **state)
{
	for (guint32 seed = 1; seed <= 3; seed++) {
		struct world *w = world_of(LARGE, seed, BUSY / 4);

		for (int t = 0; t < STEPS; t++) {
			if (t % 10 == 0)
				begin_lifetime(
					w, g_rand_int_range(w->rand, 0, LARGE));
			world_step(w, t, MORE);
		}
		check_rule(w, "large system", seed);
		world_free(w);
	}
}

/*
 * A lifetime that has got no request owns nothing, however long it lasts. What
 * one request pays is there for a window and a half, in parts.
 */
static void test_nothing_for_nothing(void **state)
{
	struct budget_params rule = {.ratio = 3, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t0 = 5000000;

	budget_init(&b, 0.99);
	assert_false(budget_allows(&b, &rule, t0));
	assert_false(budget_allows(&b, &rule, t0 + 10 * WINDOW_MS));
	budget_add_request(&b, &rule, t0);
	assert_true(budget_allows(&b, &rule, t0));
	budget_spend(&b);
	assert_false(budget_allows(&b, &rule, t0));
	budget_send_done(&b, &rule, t0 + 1000);
	assert_false(budget_allows(&b, &rule, t0 + 1000));
	/* The third that the window before pays is used up with the others. */
	assert_false(budget_allows(&b, &rule, t0 + WINDOW_MS + 500));
	assert_false(budget_allows(&b, &rule, t0 + 10 * WINDOW_MS));
}

/* One that is out counts until it ends: its server may get it any moment. */
static void test_out_counts(void **state)
{
	struct budget_params rule = {.ratio = 3, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t0 = 5000000;

	budget_init(&b, 0);
	budget_add_request(&b, &rule, t0);
	budget_spend(&b);
	for (int64_t t = t0; t < t0 + 3 * WINDOW_MS; t += 1000) {
		budget_add_request(&b, &rule, t);
		assert_true(budget_left(&b, &rule, t) >= 0);
	}
	budget_spend(&b);
	/* None was ended: both count now, as if just sent. */
	assert_int_equal(budget_window(&b, &rule, t0 + 3 * WINDOW_MS).spent, 2);
	budget_refund(&b);
	budget_send_done(&b, &rule, t0 + 3 * WINDOW_MS);
	assert_int_equal(budget_window(&b, &rule, t0 + 3 * WINDOW_MS).spent, 1);
}

/* Another window in the settings: the account begins anew, what is out stays. */
static void test_window_changes(void **state)
{
	struct budget_params rule = {.ratio = 30, .window_ms = WINDOW_MS};
	struct retry_budget b;
	int64_t t = 5000000;

	budget_init(&b, 0);
	budget_add_request(&b, &rule, t);
	budget_spend(&b);
	for (uint32_t ms = 4 * WINDOW_MS; ms > 0; ms /= 8) {
		rule.window_ms = ms;
		budget_add_request(&b, &rule, t);
		assert_int_equal(budget_window(&b, &rule, t).requests, 1);
		assert_int_equal(budget_window(&b, &rule, t).spent, 1);
		t += 10 * WINDOW_MS;
	}
	rule.window_ms = 0;
	budget_add_request(&b, &rule, t);
	assert_int_equal(budget_window(&b, &rule, t).spent, 1);
	budget_send_done(&b, &rule, t);
}

/* Of the repeats wanted on calm days, the share that is allowed. */
static double calm_share(double per_s, guint32 seed)
{
	struct world *w = world_new(seed, per_s * STEP_MS / 1000);
	uint64_t wanted = 0, sent;
	double share;

	for (int t = 0; t < STEPS; t++) {
		for (int i = 0; i < SYSTEM; i++) {
			int more = g_rand_int_range(w->rand, 0, 20) == 0;

			if (g_rand_double(w->rand) >= w->demand / SYSTEM)
				continue;
			request(w, i, t, more);
			wanted += (uint64_t)more;
		}
	}
	check_rule(w, "calm", seed);
	sent = sum(w->extra, 0, STEPS);
	share = wanted ? (double)sent / (double)wanted : 1;
	world_free(w);
	return share;
}

/*
 * Calm days: one request in 20 wants a repeat, a quarter of what the ratio pays.
 * Once there for a window an instance has one repeat a window in any case, and
 * the ratio pays one at once for each request a second. With 0.3 requests a
 * second there the wish for another falls into the same window in 14 of 100
 * cases, and a tenth of the day is the first window, where half are allowed.
 */
static void test_calm(void **state)
{
	double few = 0, some = 0, many = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		few += calm_share(0.3 * SYSTEM, seed) / SEEDS;
		some += calm_share(1.0 * SYSTEM, seed) / SEEDS;
		many += calm_share(2.0 * SYSTEM, seed) / SEEDS;
	}
	print_message("allowed: %.2f %.2f %.2f\n", few, some, many);
	assert_true(few > 0.5);
	assert_true(some > 0.75);
	assert_true(many > 0.9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_over),
		cmocka_unit_test(test_restarts),
		cmocka_unit_test(test_kills),
		cmocka_unit_test(test_cut_off),
		cmocka_unit_test(test_cut_off_anew),
		cmocka_unit_test(test_moving_demand),
		cmocka_unit_test(test_callers_move),
		cmocka_unit_test(test_two_crowds),
		cmocka_unit_test(test_large_system),
		cmocka_unit_test(test_nothing_for_nothing),
		cmocka_unit_test(test_out_counts),
		cmocka_unit_test(test_window_changes),
		cmocka_unit_test(test_calm),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
