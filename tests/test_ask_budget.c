/* Tests of core/probe_budget: the rate of questions of all instances. */
#include "tests/unit.h"

#include "core/ask_budget.h"

enum { INSTANCES = 16, SERVERS = 31 };

static const struct probe_rate rule = {.per_server_s = 60,
				       .instances = INSTANCES};

/* Everybody asks as much as it can: the day's mean stays under the rate. */
static void test_rate(void **state)
{
	struct probe_budget b[INSTANCES];
	double asked = 0;

	for (int i = 0; i < INSTANCES; i++)
		probe_budget_init(&b[i], 1);
	for (int ms = 1; ms <= 40000; ms++) {
		for (int i = 0; i < INSTANCES; i++)
			asked += probe_budget_take(&b[i], &rule, SERVERS, 5, 1,
						   ms);
	}
	assert_true(asked / 40 / SERVERS < 60);
	assert_true(asked / 40 / SERVERS > 30);
}

/*
 * Instances that are killed time and again, each 3 s. A process that starts knew
 * nothing of questions that the one before it had asked ahead of time and began
 * with some saved up: played with six times the usual callers, all instances
 * killed six times in 20 s, servers got 64.5 questions a second, 60 are allowed.
 */
static void test_killed(void **state)
{
	struct probe_budget b[INSTANCES];
	double asked = 0;

	for (int ms = 1; ms <= 40000; ms++) {
		for (int i = 0; i < INSTANCES && ms % 3000 == 1; i++)
			probe_budget_init(&b[i], ms);
		for (int i = 0; i < INSTANCES; i++)
			asked += probe_budget_take(&b[i], &rule, SERVERS, 1, 1,
						   ms);
	}
	assert_true(asked / 40 / SERVERS <= 60);
	assert_true(asked / 40 / SERVERS > 30);
}

/* A request's first question goes ahead when the others have to wait. */
static void test_first_question(void **state)
{
	struct probe_budget b;
	unsigned n = 0;

	/* A lifetime that has just begun owns nothing. */
	probe_budget_init(&b, 1);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 1), 0);
	while (probe_budget_take(&b, &rule, SERVERS, 5, 0, 20000) == 5)
		n++;
	assert_true(n > 10);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 0, 20000), 0);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000), 1);
	/* But not without end. */
	for (int i = 0; i < 1000; i++)
		probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 20000), 0);
	assert_int_equal(probe_budget_take(&b, &rule, SERVERS, 3, 1, 25000), 3);
}

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
		cmocka_unit_test(test_killed),
		cmocka_unit_test(test_first_question),
		cmocka_unit_test(test_no_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
