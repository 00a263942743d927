/*
 * Tests of core/dedup: under concurrent duplicate submissions exactly one
 * run is allowed per key (checked on the recorded history of every
 * thread's claims), a done key answers with the first answer, an unknown
 * one never runs again, and a not-run one may run again.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <ck_pr.h>
#include <cmocka.h>

#include "core/dedup.h"

enum { THREADS = 8, KEYS = 2000 };

struct race {
	struct dedup *d;
	unsigned fresh[KEYS]; /* runs allowed per key, atomic */
};

static void *claimer(void *arg)
{
	struct race *r = arg;
	char key[32];

	for (int i = 0; i < KEYS; i++) {
		struct dedup_result seen = {0};

		snprintf(key, sizeof(key), "K%d", i);
		if (dedup_begin(r->d, "rezervari", key, &seen))
			ck_pr_inc_uint(&r->fresh[i]);
		g_free(seen.body);
	}
	return NULL;
}

static void test_concurrent_duplicates(void **state)
{
	static struct race r;
	struct dedup d;
	pthread_t t[THREADS];

	dedup_init(&d, KEYS * 2);
	r.d = &d;
	for (int i = 0; i < THREADS; i++)
		pthread_create(&t[i], NULL, claimer, &r);
	for (int i = 0; i < THREADS; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < KEYS; i++)
		assert_int_equal(r.fresh[i], 1);
	dedup_free(&d);
}

static void test_outcomes(void **state)
{
	struct dedup d;
	struct dedup_result seen = {0};

	dedup_init(&d, 100);
	assert_true(dedup_begin(&d, "becas-pagos", "a", &seen));
	assert_false(dedup_begin(&d, "becas-pagos", "a", &seen));
	assert_int_equal(seen.state, DEDUP_RUNNING);
	dedup_end(&d, "becas-pagos", "a", CALL_DONE, "{\"paid\":1}");
	assert_false(dedup_begin(&d, "becas-pagos", "a", &seen));
	assert_int_equal(seen.state, DEDUP_DONE);
	assert_string_equal(seen.body, "{\"paid\":1}");
	g_free(seen.body);
	/* Same key, other service: a different action. */
	assert_true(dedup_begin(&d, "rezervari", "a", &seen));

	assert_true(dedup_begin(&d, "becas-pagos", "b", &seen));
	dedup_end(&d, "becas-pagos", "b", CALL_UNKNOWN, "");
	assert_false(dedup_begin(&d, "becas-pagos", "b", &seen));
	assert_int_equal(seen.state, DEDUP_UNKNOWN);

	assert_true(dedup_begin(&d, "becas-pagos", "c", &seen));
	dedup_end(&d, "becas-pagos", "c", CALL_NOT_RUN, "");
	assert_true(dedup_begin(&d, "becas-pagos", "c", &seen));
	dedup_free(&d);
}

static void test_bounded(void **state)
{
	struct dedup d;
	struct dedup_result seen = {0};
	char key[16];

	dedup_init(&d, 10);
	for (int i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		assert_true(dedup_begin(&d, "s", key, &seen));
	}
	assert_true(g_hash_table_size(d.keys) <= 10);
	assert_false(dedup_begin(&d, "s", "k99", &seen));
	dedup_free(&d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_concurrent_duplicates),
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
