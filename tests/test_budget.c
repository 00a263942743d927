/*
 * Tests of core/budget: seeded days on several instances never go over the
 * system's rule in any sliding window, and the allowance is used.
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
		cmocka_unit_test(test_quiet_service),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
