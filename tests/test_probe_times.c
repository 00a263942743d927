/* Tests of core/probe_times: the speed of servers by the time of probes. */
#include "tests/unit.h"

#include "core/probe_times.h"

/* Records probes of servers of which a third is four times slower. */
static void learn(struct probe_times *t, bool new_connection)
{
	for (int i = 0; i < 300; i++)
		probe_times_record(t, i % 3 ? 8 : 32, new_connection);
}

static void test_slow_server(void **state)
{
	struct probe_times t = {0};
	unsigned pct;

	assert_int_equal(probe_times_record(&t, 8, false), 100);
	learn(&t, false);
	assert_int_equal(probe_times_record(&t, 8, false), 100);
	pct = probe_times_record(&t, 32, false);
	assert_true(pct > 300 && pct < 500);
	/* A rounding difference isn't a slowdown. */
	assert_int_equal(probe_times_record(&t, 9, false), 100);
}

/* A new connection takes longer, on servers of normal speed too. */
static void test_new_connection(void **state)
{
	struct probe_times t = {0};

	learn(&t, false);
	assert_int_equal(probe_times_record(&t, 16, true), 100);
	learn(&t, true);
	assert_true(probe_times_record(&t, 32, true) > 300);
	assert_true(probe_times_record(&t, 100000, true) <= 2000);
	assert_int_equal(probe_times_record(&t, 0, true), 100);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_server),
		cmocka_unit_test(test_new_connection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
