/* Tests of core/client_limits: how a process's sockets are divided. */
#include "tests/unit.h"

#include "core/client_limits.h"

/* All parts together stay within what is left beside files. */
static void check(double descriptors, double files)
{
	struct socket_limits l = socket_limits_divide(descriptors, files);

	assert_true(l.traffic + l.peers + 32 <= descriptors - files);
	assert_true(2 * l.tunnels < l.traffic);
	assert_true(l.peers < l.traffic);
}

static void test_parts_fit(void **state)
{
	check(4100, 200);
	check(8192, 200);
	check(1024, 200);
	check(320, 200);
	check(20000, 200);
	check(1e9, 0);
}

/* The process starts with few descriptors, too. */
static void test_few_descriptors(void **state)
{
	struct socket_limits l = socket_limits_divide(100, 200);

	assert_true(l.traffic >= 16);
	assert_true(l.peers > 0);
	assert_true(l.tunnels > 0);
}

static void test_shares_make_one(void **state)
{
	assert_float_equal(SHARE_CALLERS + SHARE_OWN + SHARE_DIRECTORY +
				   SHARE_READINESS + SHARE_METRICS +
				   SHARE_TUNNELS + SHARE_SERVERS,
			   1, 1e-9);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parts_fit),
		cmocka_unit_test(test_few_descriptors),
		cmocka_unit_test(test_shares_make_one),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
