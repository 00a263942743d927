/* Tests of core/caller_timeout: the time that callers have already spent. */
#include "tests/unit.h"

#include <glib.h>

#include "core/caller_timeout.h"

/* The timeout is learned with and without overload. */
static void test_timeout(void **state)
{
	struct caller_timeout_spread no_spread = {0};
	struct caller_timeout p = {0};
	GRand *rand = g_rand_new_with_seed(1);

	/* Normal load: only first attempts, a few with more time than usual. */
	for (int i = 0; i < 300; i++)
		caller_timeout_record(&p,
				      i % 25 ? 1180 + (uint32_t)i % 5 : 3600);
	assert_in_range(p.timeout_ms, 1180, 1184);
	assert_true(caller_timeout_spent_ms(&p, &no_spread, 1170) == 0);
	assert_true(caller_timeout_spent_ms(&p, &no_spread, 1000) > 150);
	assert_true(caller_timeout_spent_ms(&p, &no_spread, 3600) == 0);
	/* Overload: two of three attempts are retries. */
	for (int i = 0; i < 300; i++)
		caller_timeout_record(
			&p, i % 3 ? (uint32_t)g_rand_int_range(rand, 300, 1100)
				  : 1180 + (uint32_t)i % 5);
	assert_in_range(p.timeout_ms, 1100, 1184);
	/* A different timeout is learned within a few requests. */
	for (int i = 0; i < 40; i++)
		caller_timeout_record(&p, 600);
	assert_int_equal(p.timeout_ms, 600);
	g_rand_free(rand);
}

/* Callers whose timeouts vary by 15%. */
struct fixture {
	struct caller_timeout p;
	struct caller_timeout_spread s;
	GRand *rand;
};

/* Returns the remaining time of a first attempt. */
static uint32_t first_left(struct fixture *f)
{
	return (uint32_t)g_rand_int_range(f->rand, 2100, 2451);
}

/* Records the remaining time of a request. */
static void record(struct fixture *f, uint32_t left, bool first_only)
{
	caller_timeout_record(&f->p, left);
	caller_timeout_spread_record(&f->s, &f->p, left, first_only);
}

/* Returns the percentage of first attempts that are taken for retries. */
static int mistaken_pct(struct fixture *f)
{
	int n = 0;

	for (int i = 0; i < 1000; i++)
		n += caller_timeout_spent_ms(&f->p, &f->s, first_left(f)) > 0;
	return n / 10;
}

/* The spread keeps most first attempts from being taken for retries. */
static void test_timeouts_vary(void **state)
{
	struct fixture f = {.rand = g_rand_new_with_seed(3)};

	/* Unknown at first: most are taken for retries. */
	for (int i = 0; i < 7; i++)
		record(&f, first_left(&f), true);
	assert_true(mistaken_pct(&f) > 50);
	/* Learned within about twenty requests. */
	for (int i = 0; i < 20; i++)
		record(&f, first_left(&f), true);
	assert_true(mistaken_pct(&f) < 15);
	for (int i = 0; i < 100; i++)
		record(&f, first_left(&f), true);
	assert_true(mistaken_pct(&f) < 10);
	/* A retry is still recognised, with the time that it has spent. */
	assert_in_range(caller_timeout_spent_ms(&f.p, &f.s, 2275 - 700), 550,
			850);
	/* The spread doesn't change under overload. */
	for (int i = 0; i < 300; i++)
		record(&f,
		       i % 3 ? (uint32_t)g_rand_int_range(f.rand, 900, 1700)
			     : first_left(&f),
		       false);
	assert_true(mistaken_pct(&f) < 25);
	assert_true(caller_timeout_spent_ms(&f.p, &f.s, 2275 - 700) > 400);
	g_rand_free(f.rand);
}

/* A few retries among the first attempts don't widen the spread. */
static void test_few_retries(void **state)
{
	struct fixture f = {.rand = g_rand_new_with_seed(4)};

	for (int i = 0; i < 400; i++)
		record(&f, i % 30 ? 1180 + (uint32_t)i % 5 : 900, true);
	assert_true(caller_timeout_spent_ms(&f.p, &f.s, 1100) > 60);
	g_rand_free(f.rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_timeout),
		cmocka_unit_test(test_timeouts_vary),
		cmocka_unit_test(test_few_retries),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
