/*
 * Tests of conf/fold: the acceptance rule, racing operators, snapshots and
 * gaps, and a seeded random history checked against a simple model: every
 * reader that folds the same log, from any snapshot on, reaches the same
 * version and values, and versions never go back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "common/event.h"
#include "conf/fold.h"

static JsonObject *parse(const char *text, JsonParser **p)
{
	*p = json_parser_new();
	assert_true(json_parser_load_from_data(*p, text, -1, NULL));
	return json_node_get_object(json_parser_get_root(*p));
}

static enum fold_result fold_text(struct conf_state *st, int64_t off,
				  const char *text)
{
	JsonParser *p;
	enum fold_result r = conf_fold(st, off, parse(text, &p));

	g_object_unref(p);
	return r;
}

static enum fold_result fold_patch(struct conf_state *st, int64_t off,
				   const char *id, int64_t base, char *kv)
{
	char *set[] = {kv, NULL};
	char *text = conf_patch_json(id, base, set, NULL);
	enum fold_result r = fold_text(st, off, text);

	g_free(text);
	return r;
}

/* Two phones patch version 1 at once: exactly the first in the log wins. */
static void test_racing_operators(void **state)
{
	struct conf_state st;

	conf_init(&st);
	assert_int_equal(fold_patch(&st, 0, "a", 0, "policy=rr"),
			 FOLD_ACCEPTED);
	assert_int_equal(fold_patch(&st, 1, "b", 1, "policy=p2c"),
			 FOLD_ACCEPTED);
	assert_int_equal(fold_patch(&st, 2, "c", 1, "policy=least"),
			 FOLD_REJECTED);
	assert_int_equal(st.version, 2);
	assert_string_equal(conf_get(&st, "policy"), "p2c");
	/* A retried copy of an accepted patch is stale, never applied twice. */
	assert_int_equal(fold_patch(&st, 3, "b", 1, "policy=p2c"),
			 FOLD_REJECTED);
	assert_int_equal(st.version, 2);
	conf_free(&st);
}

/* A reader that lost records to retention waits for a snapshot. */
static void test_gap_then_snapshot(void **state)
{
	struct conf_state st, src;

	conf_init(&st);
	conf_init(&src);
	fold_patch(&src, 0, "a", 0, "x=1");
	fold_patch(&src, 1, "b", 1, "y=2");
	char *snap = conf_snapshot_json(&src);

	conf_gap(&st, 5);
	assert_false(st.synced);
	assert_int_equal(fold_patch(&st, 5, "c", 2, "z=3"), FOLD_SKIPPED);
	assert_int_equal(fold_text(&st, 6, snap), FOLD_SNAPSHOT_NEW);
	assert_true(st.synced);
	assert_int_equal(st.version, 2);
	assert_string_equal(conf_get(&st, "y"), "2");
	assert_int_equal(fold_patch(&st, 7, "d", 2, "z=4"), FOLD_ACCEPTED);
	g_free(snap);
	conf_free(&st);
	conf_free(&src);
}

static void test_bad_records(void **state)
{
	struct conf_state st;

	conf_init(&st);
	assert_int_equal(fold_text(&st, 0, "{\"kind\":\"what\"}"), FOLD_BAD);
	assert_int_equal(fold_text(&st, 1, "{\"kind\":\"patch\"}"), FOLD_BAD);
	assert_null(
		conf_patch_json("id", 0, (char *[]){"novalue", NULL}, NULL));
	assert_int_equal(st.version, 0);
	conf_free(&st);
}

/*
 * A seeded random log: operators patch against versions they saw (some
 * stale), snapshots are written from a reader's view at random places.
 * Readers starting at every offset must agree with the full reader from
 * their first snapshot on, and no reader's version ever goes back.
 */
static void test_random_history(void **state)
{
	enum { RECORDS = 400, ROUNDS = 25 };
	const char *seed_env = getenv("MP_SEED");
	unsigned seed = seed_env ? (unsigned)atoi(seed_env) : 20261202;

	for (int round = 0; round < ROUNDS; round++) {
		GRand *rnd = g_rand_new_with_seed(seed + (unsigned)round);
		GPtrArray *log = g_ptr_array_new_with_free_func(g_free);
		GArray *versions = g_array_new(FALSE, FALSE, sizeof(int64_t));
		struct conf_state full;

		conf_init(&full);
		for (int64_t off = 0; off < RECORDS; off++) {
			char *text;

			if (g_rand_int_range(rnd, 0, 10) == 0) {
				text = conf_snapshot_json(&full);
			} else {
				int64_t seen = full.version -
					       g_rand_int_range(rnd, 0, 3);
				char kv[32], id[32];
				char *set[] = {kv, NULL};

				snprintf(kv, sizeof(kv), "k%d=%d",
					 g_rand_int_range(rnd, 0, 8),
					 g_rand_int_range(rnd, 0, 100));
				snprintf(id, sizeof(id), "p%lld",
					 (long long)off);
				text = conf_patch_json(id, seen < 0 ? 0 : seen,
						       set, NULL);
			}
			int64_t before = full.version;

			fold_text(&full, off, text);
			assert_true(full.version >= before);
			g_array_append_val(versions, full.version);
			g_ptr_array_add(log, text);
		}
		int64_t start = g_rand_int_range(rnd, 1, RECORDS);
		struct conf_state late;

		conf_init(&late);
		conf_gap(&late, start);
		for (int64_t off = start; off < RECORDS; off++) {
			int64_t before = late.version;
			bool was = late.synced;

			fold_text(&late, off, log->pdata[off]);
			if (was)
				assert_true(late.version >= before);
			if (late.synced)
				assert_int_equal(
					late.version,
					g_array_index(versions, int64_t, off));
		}
		if (late.synced) {
			GHashTableIter it;
			gpointer k, v;

			g_hash_table_iter_init(&it, full.values);
			while (g_hash_table_iter_next(&it, &k, &v))
				assert_string_equal(conf_get(&late, k), v);
		}
		conf_free(&late);
		conf_free(&full);
		g_array_free(versions, TRUE);
		g_ptr_array_free(log, TRUE);
		g_rand_free(rnd);
	}
	printf("random history: seed %u, %d rounds of %d records\n", seed,
	       ROUNDS, RECORDS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_racing_operators),
		cmocka_unit_test(test_gap_then_snapshot),
		cmocka_unit_test(test_bad_records),
		cmocka_unit_test(test_random_history),
	};

	mp_log_init("test");
	return cmocka_run_group_tests(tests, NULL, NULL);
}
