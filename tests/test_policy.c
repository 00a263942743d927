/*
 * Tests of core/policy and place_candidates(): with random sets of servers, no
 * policy picks one that is draining or excluded by the configuration. Each
 * policy follows its own rule.
 */
#include "tests/unit.h"

#include "core/place.h"
#include "core/policy.h"
#include "tests/servers.h"

/* Returns the server that a policy picks, or NULL. */
static struct backend *pick(const struct place_policy *pol, struct servers *s,
			    GRand *rand)
{
	struct place_query q = {.service = s->service, .dc = "dc-0"};
	GPtrArray *fit = place_candidates(&q);
	struct backend *b = NULL;

	if (fit->len)
		b = fit->pdata[pol->pick(pol->priv,
					 (struct backend **)fit->pdata,
					 fit->len, rand)];
	g_ptr_array_unref(fit);
	return b;
}

/* No policy picks an ineligible server, and each picks one if there is any. */
static void test_never_ineligible(void **state)
{
	GRand *rand = g_rand_new_with_seed(3);

	for (const struct place_policy *pol = place_policies; pol->name;
	     pol++) {
		for (int round = 0; round < 200; round++) {
			int n = g_rand_int_range(rand, 1, 20);
			struct servers *s = servers_new(n, 2);
			int eligible = 0;

			for (int i = 0; i < n; i++) {
				struct backend *b = s->list[i];

				b->entry.draining =
					g_rand_int_range(rand, 0, 3) == 0;
				b->excluded = g_rand_int_range(rand, 0, 4) == 0;
				b->in_flight =
					(unsigned)g_rand_int_range(rand, 0, 9);
				eligible += !b->entry.draining && !b->excluded;
			}
			for (int k = 0; k < 50; k++) {
				struct backend *b = pick(pol, s, rand);

				assert_int_equal(b != NULL, eligible > 0);
				if (b)
					assert_true(!b->entry.draining &&
						    !b->excluded);
			}
			servers_free(s);
		}
	}
	g_rand_free(rand);
}

/* `least` picks the fewest requests in flight; `rr` picks all equally often. */
static void test_least_and_rr(void **state)
{
	GRand *rand = g_rand_new_with_seed(4);
	struct servers *s = servers_new(4, 2);
	const struct place_policy *least = place_policy_find("least");
	const struct place_policy *rr = place_policy_find("rr");
	uint64_t picks = 0;

	s->list[0]->in_flight = 5;
	s->list[1]->in_flight = 1;
	s->list[2]->in_flight = 3;
	s->list[3]->in_flight = 9;
	assert_ptr_equal(pick(least, s, rand), s->list[1]);
	int seen[4] = {0};

	for (int i = 0; i < 8; i++) {
		struct backend *b = pick(rr, s, rand);

		b->last_picked = ++picks;
		for (int k = 0; k < 4; k++)
			seen[k] += s->list[k] == b;
	}
	for (int i = 0; i < 4; i++)
		assert_int_equal(seen[i], 2);
	assert_null(place_policy_find("fastest"));
	servers_free(s);
	g_rand_free(rand);
}

/* p2c never picks the more loaded server of a sample with both. */
static void test_p2c_prefers_light(void **state)
{
	GRand *rand = g_rand_new_with_seed(5);
	struct servers *s = servers_new(2, 2);
	const struct place_policy *p2c = place_policy_find("p2c");
	int heavy = 0;

	s->list[0]->load.running = 10;
	for (int i = 0; i < 1000; i++)
		heavy += pick(p2c, s, rand) == s->list[0];
	/* Only if both samples are server 0, which is a quarter of them. */
	assert_true(heavy < 350);
	servers_free(s);
	g_rand_free(rand);
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
