/*
 * Tests of route/policy: no policy ever picks a worker that is leaving,
 * drained or off the list (seeded random pools), and each policy's own
 * rule holds.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "route/policy.h"

static struct route_pool *make_pool(int n)
{
	struct route_pool *p = calloc(1, sizeof(*p));
	char name[32];

	for (int i = 0; i < n; i++) {
		snprintf(name, sizeof(name), "harta-%d", i);
		assert_int_equal(route_pool_add(p, name, "127.0.0.1:1", "dc"),
				 i);
	}
	return p;
}

static void test_never_ineligible(void **state)
{
	GRand *rnd = g_rand_new_with_seed(3);

	for (const struct route_policy *pol = route_policies; pol->name;
	     pol++) {
		for (int round = 0; round < 200; round++) {
			int n = g_rand_int_range(rnd, 1, 20);
			struct route_pool *p = make_pool(n);
			int eligible = 0;

			for (int i = 0; i < n; i++) {
				struct route_worker *w = &p->workers[i];

				w->state =
					(unsigned)g_rand_int_range(rnd, 0, 3);
				w->drained = g_rand_int_range(rnd, 0, 4) == 0;
				w->outstanding =
					(unsigned)g_rand_int_range(rnd, 0, 9);
				eligible += route_eligible(w);
			}
			for (int k = 0; k < 50; k++) {
				int got = pol->pick(pol->priv, p, rnd);

				if (eligible == 0 && got >= 0 &&
				    !route_eligible(&p->workers[got]))
					fail_msg("%s picked ineligible",
						 pol->name);
				if (got >= 0)
					assert_true(route_eligible(
						&p->workers[got]));
			}
			free(p);
		}
	}
	g_rand_free(rnd);
}

static void test_least_and_rr(void **state)
{
	GRand *rnd = g_rand_new_with_seed(4);
	struct route_pool *p = make_pool(4);
	const struct route_policy *least = route_policy_find("least");
	const struct route_policy *rr = route_policy_find("rr");

	p->workers[0].outstanding = 5;
	p->workers[1].outstanding = 1;
	p->workers[2].outstanding = 3;
	p->workers[3].outstanding = 9;
	assert_int_equal(least->pick(NULL, p, rnd), 1);
	int seen[4] = {0};

	for (int i = 0; i < 8; i++)
		seen[rr->pick(NULL, p, rnd)]++;
	for (int i = 0; i < 4; i++)
		assert_int_equal(seen[i], 2);
	assert_null(route_policy_find("fastest"));
	free(p);
	g_rand_free(rnd);
}

/* p2c never picks the most loaded of two when it sees both. */
static void test_p2c_prefers_light(void **state)
{
	GRand *rnd = g_rand_new_with_seed(5);
	struct route_pool *p = make_pool(2);
	const struct route_policy *p2c = route_policy_find("p2c");
	int heavy = 0;

	p->workers[0].reported = 10;
	for (int i = 0; i < 1000; i++)
		heavy += p2c->pick(NULL, p, rnd) == 0;
	/* only when both samples hit worker 0: about a quarter */
	assert_true(heavy < 350);
	free(p);
	g_rand_free(rnd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_never_ineligible),
		cmocka_unit_test(test_least_and_rr),
		cmocka_unit_test(test_p2c_prefers_light),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
