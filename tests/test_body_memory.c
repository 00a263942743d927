/* Tests of core/body_memory: many bodies on an instance with little memory. */
#include "tests/unit.h"

#include "core/body_memory.h"

enum { MB = 1000 * 1000, UPLOAD = 360 * 1000 };

static void test_limit_is_a_share_of_the_machine(void **state)
{
	assert_in_range(body_memory_limit(160), 32 * MB, 80 * MB);
	assert_int_equal(body_memory_limit(0), 0);
	assert_int_equal(response_memory_limit(0), 0);
	/* Both kinds leave a quarter of the machine to the rest. */
	assert_in_range(body_memory_limit(160) + response_memory_limit(160), 0,
			120 * MB);
}

/* All shares together leave a tenth of the machine to the process itself. */
static void test_shares_fit(void **state)
{
	size_t all = body_memory_limit(160) + response_memory_limit(160) +
		     connection_memory_limit(160) + peer_memory_limit(160) +
		     tunnel_memory_limit(160) + kept_memory_limit(160);

	assert_in_range(all, 0, 144 * MB);
}

/* More uploads at once than fit: the rest is refused until some are freed. */
static void test_refuses_what_does_not_fit(void **state)
{
	struct body_memory m = {.limit = body_memory_limit(160)};
	unsigned fit = 0;

	while (body_memory_reserve(&m, 0, UPLOAD))
		fit++;
	assert_int_equal(fit, m.limit / UPLOAD);
	assert_int_equal(m.refused, 1);
	assert_true(m.used <= m.limit);
	body_memory_release(&m, UPLOAD);
	assert_true(body_memory_reserve(&m, 0, UPLOAD));
	assert_int_equal(m.peak, m.used);
}

static void test_small_body_always_fits(void **state)
{
	struct body_memory m = {.limit = 2 * UPLOAD};

	assert_true(body_memory_reserve(&m, 0, 2 * UPLOAD));
	assert_true(body_memory_reserve(&m, 0, 1200));
	assert_true(body_memory_reserve(&m, 0, 1200));
	assert_false(body_memory_reserve(&m, 0, UPLOAD));
	assert_int_equal(m.used, 2 * UPLOAD + 2400);
}

/* A body larger than all memory for bodies never fits. */
static void test_single_body_beyond_the_limit(void **state)
{
	struct body_memory m = {.limit = body_memory_limit(160)};

	assert_false(body_memory_reserve(&m, 0, (size_t)200 * MB));
	assert_false(body_memory_reserve(&m, 0, SIZE_MAX));
	assert_int_equal(m.used, 0);
}

static void test_growing_body(void **state)
{
	struct body_memory m = {.limit = 100 * 1000};

	assert_true(body_memory_reserve(&m, 0, 40 * 1000));
	assert_true(body_memory_reserve(&m, 40 * 1000, 80 * 1000));
	assert_int_equal(m.used, 80 * 1000);
	assert_false(body_memory_reserve(&m, 80 * 1000, 160 * 1000));
	assert_int_equal(m.used, 80 * 1000);
	body_memory_release(&m, 80 * 1000);
	assert_int_equal(m.used, 0);
}

static void test_without_a_limit(void **state)
{
	struct body_memory m = {.limit = 0};

	assert_true(body_memory_reserve(&m, 0, (size_t)500 * MB));
	assert_int_equal(m.refused, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limit_is_a_share_of_the_machine),
		cmocka_unit_test(test_shares_fit),
		cmocka_unit_test(test_refuses_what_does_not_fit),
		cmocka_unit_test(test_small_body_always_fits),
		cmocka_unit_test(test_single_body_beyond_the_limit),
		cmocka_unit_test(test_growing_body),
		cmocka_unit_test(test_without_a_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
