/*
 * Tests of core/limit_share: what all instances together send to a server with
 * a limit.
 *
 * Guards against 36 requests in 4 s to a server with a limit of 5.1 per second,
 * where the rule allows 1.5 times what the limit does plus 5, that is 35: the
 * limit was ignored. A bucket of one request at every instance would exceed it
 * as well: after an idle period 16 instances send 36, and 100 send 122
 * (computed, not run).
 */
#include "tests/unit.h"

#include "tests/limit_system.h"

static const double limits[] = {0,   0.02, 0.3, 0.5, 0.9, 1,
				1.7, 2,	   5.1, 5.7, 25,  120};
static const int sizes[] = {1, 2, 3, 16, 64, 300};

/* Checks the rule for all limits, system sizes and a fault. */
static void check_rule(fault_fn fault, double senders, const char *what)
{
	for (size_t l = 0; l < G_N_ELEMENTS(limits); l++)
		check_limit(&limit_rule_announced, limits[l],
			    (guint32)(100 * l), fault, senders, what);
}

#define RULE_TEST(name, fault, senders)            \
	static void name(void **state)             \
	{                                          \
		check_rule(fault, senders, #name); \
	}

RULE_TEST(test_steady, NULL, 1)
RULE_TEST(test_idle_periods, idle_periods, 1)
RULE_TEST(test_kills, kills, 1)
RULE_TEST(test_all_killed, all_killed, 1)
RULE_TEST(test_hangs, hangs, 1)
RULE_TEST(test_partitions, partitions, 1)
RULE_TEST(test_delays, delays, 1)
RULE_TEST(test_replacements, replacements, 1)
RULE_TEST(test_all_faults, all_faults, 1)

/* Most instances lend their sends to those with callers. */
RULE_TEST(test_lent, NULL, 0.3)
RULE_TEST(test_lent_in_idle_periods, idle_periods, 0.3)
RULE_TEST(test_lent_under_kills, kills, 0.3)
RULE_TEST(test_lent_in_partitions, partitions, 0.3)
RULE_TEST(test_all_lent, replacements, 0)

/* With all instances sending, at least 85% of the limit is used, less one. */
static void test_utilization(void **state)
{
	static const double some[] = {0.5, 1, 2, 5.1, 25, 120};

	for (size_t l = 0; l < G_N_ELEMENTS(some); l++) {
		for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
			struct system *sys = system_new(&limit_rule_announced,
							sizes[s], some[l], 7);
			double wanted = some[l] * RUN_MS / 1000;

			simulate(sys, NULL);
			if ((double)sys->sum < 0.85 * wanted - 1)
				fail_msg("limit %g, %d instances: %d of %.0f",
					 some[l], sizes[s], (int)sys->sum,
					 wanted);
			system_free(sys);
		}
	}
}

/* Without known instances there is no quota. */
static void test_no_instances_known(void **state)
{
	struct limit_instances none = {NULL, 0};

	assert_false(
		limit_quota(&limit_rule_announced, 100, SERVER, &none).held);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_steady),
		cmocka_unit_test(test_idle_periods),
		cmocka_unit_test(test_kills),
		cmocka_unit_test(test_all_killed),
		cmocka_unit_test(test_hangs),
		cmocka_unit_test(test_partitions),
		cmocka_unit_test(test_delays),
		cmocka_unit_test(test_replacements),
		cmocka_unit_test(test_all_faults),
		cmocka_unit_test(test_lent),
		cmocka_unit_test(test_lent_in_idle_periods),
		cmocka_unit_test(test_lent_under_kills),
		cmocka_unit_test(test_lent_in_partitions),
		cmocka_unit_test(test_all_lent),
		cmocka_unit_test(test_utilization),
		cmocka_unit_test(test_no_instances_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
