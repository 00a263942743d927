/* Tests of misc/hist: bucket bounds and quantile error. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>
#include <glib.h>

#include "misc/hist.h"

static int cmp_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* A value is at most its bucket's upper bound and above the previous one. */
static void test_bucket_bounds(void **state)
{
	GRand *rnd = g_rand_new_with_seed(1);

	for (int i = 0; i < 100000; i++) {
		uint64_t v = g_rand_int(rnd) >> g_rand_int_range(rnd, 0, 31);
		unsigned b = hist_bucket_index(v);

		assert_true(v <= hist_bucket_max_us(b));
		if (b > 0)
			assert_true(v > hist_bucket_max_us(b - 1));
	}
	g_rand_free(rnd);
}

/* Quantiles of random data are at most 1/16 above the exact ones. */
static void test_quantile_error(void **state)
{
	enum { N = 20000 };
	uint64_t *vals = malloc(N * sizeof(*vals));
	struct hist *h = calloc(1, sizeof(*h));
	GRand *rnd = g_rand_new_with_seed(2);
	const double qs[] = {0.5, 0.9, 0.99, 0.999};

	for (int i = 0; i < N; i++) {
		vals[i] = 100 + (uint64_t)g_rand_int_range(rnd, 0, 50000);
		hist_record(h, vals[i]);
	}
	qsort(vals, N, sizeof(*vals), cmp_u64);
	for (size_t i = 0; i < G_N_ELEMENTS(qs); i++) {
		uint64_t exact = vals[(size_t)(qs[i] * N)];
		uint64_t got = hist_quantile(h, qs[i]);

		assert_true(got >= exact);
		assert_true((double)got <= (double)exact * (1.0 + 1.0 / 16));
	}
	assert_int_equal(h->total, N);
	g_rand_free(rnd);
	free(h);
	free(vals);
}

static void test_empty_and_merge(void **state)
{
	struct hist *a = calloc(1, sizeof(*a)), *b = calloc(1, sizeof(*b));

	assert_int_equal(hist_quantile(a, 0.99), 0);
	hist_record(a, 5);
	hist_record(b, 5000);
	hist_merge(a, b);
	assert_int_equal(a->total, 2);
	assert_true(hist_quantile(a, 0.99) >= 5000);
	free(a);
	free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bucket_bounds),
		cmocka_unit_test(test_quantile_error),
		cmocka_unit_test(test_empty_and_merge),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
