/* Tests of member/select_instances: which instances a caller is given. */
#include "tests/unit.h"

#include "member/select_instances.h"

enum { ALL = 100, ANSWER = 64 };

/* Adds counts[d] instances in data centre dc-d; returns their number. */
static size_t create_instances(struct peer_endpoint *all, const size_t *counts,
			       size_t dcs)
{
	size_t n = 0;

	memset(all, 0, ALL * sizeof(*all));
	for (size_t d = 0; d < dcs; d++) {
		for (size_t i = 0; i < counts[d]; i++, n++) {
			g_snprintf(all[n].dc, sizeof(all[n].dc), "dc-%zu", d);
			g_snprintf(all[n].name, sizeof(all[n].name), "e%zu", n);
		}
	}
	return n;
}

static size_t count_in_dc(const struct peer_endpoint **out, size_t n,
			  const char *dc)
{
	size_t count = 0;

	for (size_t i = 0; i < n; i++)
		count += !strcmp(out[i]->dc, dc);
	return count;
}

static void test_prefers_own_dc(void **state)
{
	struct peer_endpoint all[ALL];
	const struct peer_endpoint *out[ANSWER];
	GRand *rand = g_rand_new_with_seed(1);
	size_t n = create_instances(all, (size_t[]){30, 8, 3}, 3);

	assert_int_equal(select_instances(all, n, "dc-0", rand, out, ANSWER),
			 30);
	assert_int_equal(count_in_dc(out, 30, "dc-0"), 30);
	assert_int_equal(select_instances(all, n, "dc-1", rand, out, ANSWER),
			 8);
	assert_int_equal(count_in_dc(out, 8, "dc-1"), 8);
	/* Three may all fail at once, so others are listed as well. */
	assert_int_equal(select_instances(all, n, "dc-2", rand, out, ANSWER),
			 41);
	assert_int_equal(count_in_dc(out, 41, "dc-2"), 3);
	/* A caller from elsewhere, or from an unknown data centre. */
	assert_int_equal(select_instances(all, n, "dc-9", rand, out, ANSWER),
			 41);
	assert_int_equal(select_instances(all, n, "", rand, out, ANSWER), 41);
	assert_int_equal(select_instances(all, 0, "dc-0", rand, out, ANSWER),
			 0);
	g_rand_free(rand);
}

/*
 * With more instances than fit a response, each is selected at some point, none
 * twice in one response.
 */
static void test_selection_covers_all(void **state)
{
	struct peer_endpoint all[ALL];
	const struct peer_endpoint *out[ANSWER];
	GRand *rand = g_rand_new_with_seed(2);
	size_t n = create_instances(all, (size_t[]){90, 2}, 2);
	unsigned seen[ALL] = {0};

	for (int i = 0; i < 100; i++) {
		assert_int_equal(
			select_instances(all, n, "dc-1", rand, out, ANSWER),
			ANSWER);
		for (size_t k = 0; k < ANSWER; k++)
			seen[out[k] - all]++;
	}
	for (size_t k = 0; k < n; k++)
		assert_in_range(seen[k], 40, 100);
	g_rand_free(rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_prefers_own_dc),
		cmocka_unit_test(test_selection_covers_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
