/*
 * Tests of core/hedge: the delays of hedges and rescues, and the effect of the
 * delay for servers that don't report their load.
 */
#include "tests/unit.h"

#include <glib.h>

#include "core/hedge.h"

/* A hedge is sent at the last moment at which it can meet the target. */
static void test_hedge_delay(void **state)
{
	assert_in_range(hedge_delay_ms(50, 200, 0, true), 120, 140);
	/* Not before most answers have arrived. */
	assert_int_equal(hedge_delay_ms(60, 200, 0, true), 120);
	assert_int_equal(hedge_delay_ms(150, 400, 0, true), 300);
	/*
	 * If it can't meet the target: once the first send is certainly slow.
	 */
	assert_int_equal(hedge_delay_ms(180, 200, 0, true), 360);
	assert_int_equal(hedge_delay_ms(60, 200, 150, true), 120);
}

/*
 * A rescue waits for a multiple of the estimate, and at least for the target.
 */
static void test_rescue_delay(void **state)
{
	assert_int_equal(rescue_delay_ms(60, 200), 200);
	assert_int_equal(rescue_delay_ms(240, 200), 600);
}

/*
 * Simulates servers that don't report their load: a quarter of all sends are 5
 * times slower, service times vary by a third in both directions, and 17% of
 * the requests may be hedged. Returns how many of 1,000 requests are answered
 * within the target of 250 ms.
 */
static unsigned simulate_on_time(bool load_reported)
{
	enum { REQUESTS = 100000, WORK_MS = 90, TARGET_MS = 250 };
	GRand *rand = g_rand_new_with_seed(7);
	double allowance = 0;
	unsigned on_time = 0;

	for (int i = 0; i < REQUESTS; i++) {
		double ms[2];
		double hedge =
			hedge_delay_ms(WORK_MS, TARGET_MS, 0, load_reported);

		for (int k = 0; k < 2; k++) {
			ms[k] = WORK_MS * g_rand_double_range(rand, 0.67, 1.33);
			if (g_rand_int_range(rand, 0, 4) == 0)
				ms[k] *= 5;
		}
		allowance += 0.17;
		if (ms[0] > hedge && allowance >= 1) {
			allowance -= 1;
			ms[0] = MIN(ms[0], hedge + ms[1]);
		}
		on_time += ms[0] <= TARGET_MS;
	}
	g_rand_free(rand);
	return on_time / (REQUESTS / 1000);
}

/*
 * Of 1,000 answers 771 are on time with the delay for reported load, and 871
 * with the one for unreported load.
 */
static void test_unreported_load(void **state)
{
	unsigned reported = simulate_on_time(true);
	unsigned unreported = simulate_on_time(false);

	print_message("on time of 1,000: %u with the delay for reported load, "
		      "%u with the one for unreported load\n",
		      reported, unreported);
	assert_true(unreported >= reported + 40);
}

/* Not before the first send is likely to be slow. */
static void test_unreported_load_bounds(void **state)
{
	assert_int_equal(hedge_delay_ms(90, 250, 0, false), 133);
	/* With less time left, the delay for reported load applies. */
	assert_int_equal(hedge_delay_ms(90, 250, 50, false),
			 hedge_delay_ms(90, 250, 50, true));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_hedge_delay),
		cmocka_unit_test(test_rescue_delay),
		cmocka_unit_test(test_unreported_load),
		cmocka_unit_test(test_unreported_load_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
