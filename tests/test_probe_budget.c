/* Tests of core/probe_budget: the rate of load probes of all instances. */
#include "tests/unit.h"

#include "core/probe_budget.h"

enum { INSTANCES = 16, SERVERS = 31 };

static const struct probe_rate rule = {.per_server_s = 60,
				       .instances = INSTANCES};

/* All instances probe as often as they may: the mean stays under the rate. */
static void test_rate(void **state)
{
	struct probe_budget b[INSTANCES];
	double sent = 0;

	for (int i = 0; i < INSTANCES; i++)
		probe_budget_init(&b[i], 1);
	for (int ms = 1; ms <= 40000; ms++) {
		for (int i = 0; i < INSTANCES; i++)
			sent += probe_budget_take(&b[i], &rule, SERVERS, 5, 1,
						  ms);
	}
	assert_true(sent / 40 / SERVERS < 60);
	assert_true(sent / 40 / SERVERS > 30);
}

/*
 * All instances are killed every 3 s. Guards against a budget that starts full
 * or in which a new process may go into debt at once: with all instances
 * killed six times in 20 s, under six times the usual number of callers,
 * servers got 64.5 probes per second where 60 are allowed.
 */
static void test_repeated_kills(void **state)
{
	struct probe_budget b[INSTANCES];
	double sent = 0;

	for (int ms = 1; ms <= 40000; ms++) {
		for (int i = 0; i < INSTANCES && ms % 3000 == 1; i++)
			probe_budget_init(&b[i], ms);
		for (int i = 0; i < INSTANCES; i++)
			sent += probe_budget_take(&b[i], &rule, SERVERS, 1, 1,
						  ms);
	}
	assert_true(sent / 40 / SERVERS <= 60);
	assert_true(sent / 40 / SERVERS > 30);
}

/* The first probe of a request may be taken on credit, the others not. */
static void test_first_probe_on_credit(void **state)
{
	struct probe_budget b;
	unsigned n = 0;

	/* A process that has just started has no tokens and no credit. */
	probe_budget_init(&b, 1);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 1), 0);
	while (probe_budget_take(&b, &rule, SERVERS, 5, 0, 20000) == 5)
		n++;
	assert_true(n > 10);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 0, 20000), 0);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000), 1);
	/* The debt is bounded. */
	for (int i = 0; i < 1000; i++)
		probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000), 0);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 25000), 3);
}

/* Without servers nothing is granted. */
static void test_no_servers(void **state)
{
	struct probe_budget b;

	probe_budget_init(&b, 1);
	assert_int_equal(probe_budget_take(&b, &rule, 0, 3, 1, 9000), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate),
		cmocka_unit_test(test_repeated_kills),
		cmocka_unit_test(test_first_probe_on_credit),
		cmocka_unit_test(test_no_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
