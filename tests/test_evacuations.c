/* Tests of core/evacuations: a set of data centres. */
#include "tests/unit.h"

#include <errno.h>

#include "core/evacuations.h"

/* A key of another writer evacuates nothing if it can't be a name. */
static void test_names(void **state)
{
	struct evacuations e = {.n = 0};

	assert_int_equal(evacuations_add(&e, LSTR("dc\0x"), 1), -EINVAL);
	assert_int_equal(evacuations_add(&e, LSTR("dc\nts=0"), 1), -EINVAL);
	assert_int_equal(evacuations_add(&e, LSTR("dc\x7f"), 1), -EINVAL);
	assert_int_equal(evacuations_add(&e, LSTR(""), 1), -EINVAL);
	assert_int_equal(e.n, 0);
}

static void test_set(void **state)
{
	struct evacuations e = {.n = 0}, other = {.n = 0};

	assert_int_equal(evacuations_hash(&e), 0);
	assert_int_equal(evacuations_add(&e, LSTR("dc-2"), 1), 1);
	assert_int_equal(evacuations_add(&e, LSTR("dc-1"), 1), 1);
	assert_int_equal(evacuations_add(&e, LSTR("dc-2"), 2), 0);
	assert_int_equal(e.n, 2);
	assert_int_equal(e.list[1].era, 2);
	assert_true(evacuations_contains(&e, "dc-1"));
	assert_false(evacuations_contains(&e, "dc-3"));
	/* The order of additions doesn't matter. */
	evacuations_add(&other, LSTR("dc-1"), 1);
	assert_false(evacuations_equal(&e, &other));
	assert_int_not_equal(evacuations_hash(&e), evacuations_hash(&other));
	evacuations_add(&other, LSTR("dc-2"), 1);
	assert_true(evacuations_equal(&e, &other));
	assert_int_equal(evacuations_hash(&e), evacuations_hash(&other));
	assert_true(evacuations_remove(&e, LSTR("dc-1")));
	assert_false(evacuations_remove(&e, LSTR("dc-1")));
	assert_false(evacuations_contains(&e, "dc-1"));
	assert_true(evacuations_contains(&e, "dc-2"));
}

static void test_invalid_names(void **state)
{
	struct evacuations e = {.n = 0};
	char long_name[BACKEND_NAME_MAX + 1] = {0};
	char name[16];

	memset(long_name, 'x', BACKEND_NAME_MAX);
	assert_int_equal(evacuations_add(&e, LSTR(""), 1), -EINVAL);
	assert_int_equal(evacuations_add(&e, lstr0(long_name), 1), -EINVAL);
	assert_int_equal(evacuations_add(&e, (struct lstr){"a\0b", 3}, 1),
			 -EINVAL);
	assert_false(evacuations_remove(&e, lstr0(long_name)));
	for (int i = 0; i < EVACUATIONS_MAX; i++) {
		g_snprintf(name, sizeof(name), "dc-%d", i);
		assert_int_equal(evacuations_add(&e, lstr0(name), 1), 1);
	}
	assert_int_equal(evacuations_add(&e, LSTR("one more"), 1), -ENOSPC);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_set),
		cmocka_unit_test(test_names),
		cmocka_unit_test(test_invalid_names),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
