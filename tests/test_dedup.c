/*
 * Tests of core/dedup: of concurrent duplicates exactly one run per key is
 * allowed, counted over all threads; duplicates of a done call get the first
 * answer; an unknown call never runs again, one that did not run may.
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
	unsigned fresh[KEYS]; /* runs allowed per key; atomic */
};

/* Tries to begin a run of every key. */
static void *claimer(void *arg)
{
	struct race *r = arg;
	char key[32];

	for (int i = 0; i < KEYS; i++) {
		struct dedup_result first = {0};

		snprintf(key, sizeof(key), "K%d", i);
		if (dedup_begin(r->d, "rezervari", key, &first))
			ck_pr_inc_uint(&r->fresh[i]);
		g_free(first.body);
	}
	return NULL;
}

/* Of threads that race for the same keys one gets each key. */
static void test_concurrent_duplicates(void **state)
{
	static struct race r;
	struct dedup d;
	pthread_t t[THREADS];

	dedup_init(&d, KEYS * 2, 0);
	r.d = &d;
	for (int i = 0; i < THREADS; i++)
		pthread_create(&t[i], NULL, claimer, &r);
	for (int i = 0; i < THREADS; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < KEYS; i++)
		assert_int_equal(r.fresh[i], 1);
	dedup_free(&d);
}

/* The outcome of the first call decides what a duplicate gets. */
static void test_outcomes(void **state)
{
	struct dedup d;
	struct dedup_result first = {0};

	dedup_init(&d, 100, 0);
	assert_true(dedup_begin(&d, "becas-pagos", "a", &first));
	assert_false(dedup_begin(&d, "becas-pagos", "a", &first));
	assert_int_equal(first.state, DEDUP_RUNNING);
	dedup_end(&d, "becas-pagos", "a", CALL_DONE, LSTR("{\"paid\":1}"));
	assert_false(dedup_begin(&d, "becas-pagos", "a", &first));
	assert_int_equal(first.state, DEDUP_DONE);
	assert_string_equal(first.body, "{\"paid\":1}");
	g_free(first.body);
	/* The same key of another service is another action. */
	assert_true(dedup_begin(&d, "rezervari", "a", &first));

	assert_true(dedup_begin(&d, "becas-pagos", "b", &first));
	dedup_end(&d, "becas-pagos", "b", CALL_UNKNOWN, LSTR(""));
	assert_false(dedup_begin(&d, "becas-pagos", "b", &first));
	assert_int_equal(first.state, DEDUP_UNKNOWN);

	assert_true(dedup_begin(&d, "becas-pagos", "c", &first));
	dedup_end(&d, "becas-pagos", "c", CALL_NOT_RUN, LSTR(""));
	assert_true(dedup_begin(&d, "becas-pagos", "c", &first));
	dedup_free(&d);
}

/* The number of keys is bounded, and the newest are kept. */
static void test_bounded(void **state)
{
	struct dedup d;
	struct dedup_result first = {0};
	char key[16];

	dedup_init(&d, 10, 0);
	for (int i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		assert_true(dedup_begin(&d, "s", key, &first));
	}
	assert_true(g_hash_table_size(d.keys) <= 10);
	assert_false(dedup_begin(&d, "s", "k99", &first));
	dedup_free(&d);
}

/*
 * Guards against answers that fill the memory: the oldest ones are dropped, and
 * the keys stay.
 */
static void test_answers_are_bounded(void **state)
{
	struct dedup_result first = {0};
	struct dedup d;
	char key[16];

	dedup_init(&d, 100, 25);
	for (int i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		assert_true(dedup_begin(&d, "s", key, &first));
		dedup_end(&d, "s", key, CALL_DONE, LSTR("ten bytes."));
	}
	assert_int_equal(d.bytes, 20);
	assert_false(dedup_begin(&d, "s", "k1", &first));
	assert_int_equal(first.state, DEDUP_DONE);
	assert_null(first.body);
	assert_false(dedup_begin(&d, "s", "k2", &first));
	assert_string_equal(first.body, "ten bytes.");
	g_free(first.body);
	dedup_free(&d);
}

/* Guards against an answer that is cut at its first zero byte. */
static void test_answer_with_a_zero_byte(void **state)
{
	struct dedup_result first = {0};
	struct dedup d;

	dedup_init(&d, 100, 0);
	assert_true(dedup_begin(&d, "s", "k", &first));
	dedup_end(&d, "s", "k", CALL_DONE, LSTR("a\0b"));
	assert_false(dedup_begin(&d, "s", "k", &first));
	assert_int_equal(first.len, 3);
	assert_memory_equal(first.body, "a\0b", 3);
	g_free(first.body);
	dedup_free(&d);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_concurrent_duplicates),
		cmocka_unit_test(test_outcomes),
		cmocka_unit_test(test_bounded),
		cmocka_unit_test(test_answers_are_bounded),
		cmocka_unit_test(test_answer_with_a_zero_byte),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
