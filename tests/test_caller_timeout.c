/* Tests of core/caller_timeout: what callers have spent before they came here. */
#include "tests/unit.h"

#include <glib.h>

#include "core/caller_timeout.h"

static void test_patience(void **state)
{
	struct caller_timeout_spread sharp = {0};
	struct caller_timeout p = {0};
	GRand *rand = g_rand_new_with_seed(1);

	/* Calm: all first attempts, a few callers name more than usual. */
	for (int i = 0; i < 300; i++)
		caller_timeout_record(&p,
				      i % 25 ? 1180 + (uint32_t)i % 5 : 3600);
	assert_in_range(p.timeout_ms, 1180, 1184);
	assert_true(caller_timeout_spent_ms(&p, &sharp, 1170) == 0);
	assert_true(caller_timeout_spent_ms(&p, &sharp, 1000) > 150);
	assert_true(caller_timeout_spent_ms(&p, &sharp, 3600) == 0);
	/* Overload: two of three attempts are later ones. */
	for (int i = 0; i < 300; i++)
		caller_timeout_record(
			&p, i % 3 ? (uint32_t)g_rand_int_range(rand, 300, 1100)
				  : 1180 + (uint32_t)i % 5);
	assert_in_range(p.timeout_ms, 1100, 1184);
	/* Another limit is learned within some requests. */
	for (int i = 0; i < 40; i++)
		caller_timeout_record(&p, 600);
	assert_int_equal(p.timeout_ms, 600);
	g_rand_free(rand);
}

/* Callers whose limits differ by 15%, at first in calm. */
struct varied {
	struct caller_timeout p;
	struct caller_timeout_spread s;
	GRand *rand;
};

static uint32_t first_left(struct varied *v)
{
	return (uint32_t)g_rand_int_range(v->rand, 2100, 2451);
}

static void note(struct varied *v, uint32_t left, bool calm)
{
	caller_timeout_record(&v->p, left);
	caller_timeout_spread_record(&v->s, &v->p, left, calm);
}

/* Share of first attempts that are taken for later ones, in percent. */
static int mistaken_pct(struct varied *v)
{
	int n = 0;

	for (int i = 0; i < 1000; i++)
		n += caller_timeout_spent_ms(&v->p, &v->s, first_left(v)) > 0;
	return n / 10;
}

static void test_limits_differ(void **state)
{
	struct varied v = {.rand = g_rand_new_with_seed(3)};

	/* Unknown at first: most would count as later attempts. */
	for (int i = 0; i < 7; i++)
		note(&v, first_left(&v), true);
	assert_true(mistaken_pct(&v) > 50);
	/* Learned within some twenty requests. */
	for (int i = 0; i < 20; i++)
		note(&v, first_left(&v), true);
	assert_true(mistaken_pct(&v) < 15);
	for (int i = 0; i < 100; i++)
		note(&v, first_left(&v), true);
	assert_true(mistaken_pct(&v) < 10);
	/* A later attempt is known all the same, with what it has spent. */
	assert_in_range(caller_timeout_spent_ms(&v.p, &v.s, 2275 - 700), 550,
			850);
	/* In overload it stays as learned. */
	for (int i = 0; i < 300; i++)
		note(&v,
		     i % 3 ? (uint32_t)g_rand_int_range(v.rand, 900, 1700)
			   : first_left(&v),
		     false);
	assert_true(mistaken_pct(&v) < 25);
	assert_true(caller_timeout_spent_ms(&v.p, &v.s, 2275 - 700) > 400);
	g_rand_free(v.rand);
}

/* A few later attempts in calm don't widen it. */
static void test_few_later(void **state)
{
	struct varied v = {.rand = g_rand_new_with_seed(4)};

	for (int i = 0; i < 400; i++)
		note(&v, i % 30 ? 1180 + (uint32_t)i % 5 : 900, true);
	assert_true(caller_timeout_spent_ms(&v.p, &v.s, 1100) > 60);
	g_rand_free(v.rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_patience),
		cmocka_unit_test(test_limits_differ),
		cmocka_unit_test(test_few_later),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
