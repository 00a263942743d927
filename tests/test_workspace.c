/* Tests of core/workspace: which workspace a key identifies. */
#include "tests/unit.h"

#include "core/workspace.h"

enum { KEY_BYTES = 32 };

static void test_two_keys_of_one_workspace(void **state)
{
	struct workspace list[2] = {{.name = LSTR("a")}, {.name = LSTR("b")}};
	struct workspaces w;

	workspaces_init(&w, list, 2);
	assert_true(workspaces_add_key(&w, &list[0], LSTR("k-1")));
	assert_true(workspaces_add_key(&w, &list[0], LSTR("k-2")));
	assert_true(workspaces_add_key(&w, &list[1], LSTR("k-3")));
	assert_ptr_equal(workspaces_find(&w, LSTR("k-1")), &list[0]);
	assert_ptr_equal(workspaces_find(&w, LSTR("k-2")), &list[0]);
	assert_ptr_equal(workspaces_find(&w, LSTR("k-3")), &list[1]);
	assert_int_equal(list[0].nkeys, 2);
	workspaces_clear(&w);
}

/* A key is compared as a whole, byte by byte. */
static void test_keys_that_differ_little(void **state)
{
	static const struct lstr others[] = {
		LSTR(""),   LSTR("Key"),  LSTR("key "), LSTR(" key"),
		LSTR("ke"), LSTR("keyy"), {"key\0", 4},
	};
	struct workspace list[1] = {{.name = LSTR("a")}};
	struct workspaces w;

	workspaces_init(&w, list, 1);
	assert_true(workspaces_add_key(&w, &list[0], LSTR("key")));
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		assert_null(workspaces_find(&w, others[i]));
	workspaces_clear(&w);
}

/* Without any key, a workspace can't be reached, and keys are required still. */
static void test_workspace_without_keys(void **state)
{
	struct workspace list[1] = {{.name = LSTR("a")}};
	struct workspaces w;

	workspaces_init(&w, list, 1);
	assert_true(w.required);
	assert_null(workspaces_find(&w, LSTR("key")));
	assert_null(workspaces_find(&w, LSTR("")));
	assert_int_equal(list[0].nkeys, 0);
	workspaces_clear(&w);
}

/* Neither of two workspaces is identified by a key that both have. */
static void test_shared_key(void **state)
{
	struct workspace list[3] = {
		{.name = LSTR("a")}, {.name = LSTR("b")}, {.name = LSTR("c")}};
	struct workspaces w;

	workspaces_init(&w, list, 3);
	assert_true(workspaces_add_key(&w, &list[0], LSTR("key")));
	assert_false(workspaces_add_key(&w, &list[1], LSTR("key")));
	assert_null(workspaces_find(&w, LSTR("key")));
	/* Nor is the third one, nor the first if it has the key twice. */
	assert_false(workspaces_add_key(&w, &list[2], LSTR("key")));
	assert_false(workspaces_add_key(&w, &list[0], LSTR("key")));
	assert_null(workspaces_find(&w, LSTR("key")));
	assert_true(workspaces_key_is_shared(&w, LSTR("key")));
	assert_false(workspaces_key_is_shared(&w, LSTR("other")));
	workspaces_clear(&w);
}

/* In the version after a move, the key identifies the new workspace only. */
static void test_key_that_moves(void **state)
{
	struct workspace before[2] = {{.name = LSTR("a")}, {.name = LSTR("b")}};
	struct workspace after[2] = {{.name = LSTR("a")}, {.name = LSTR("b")}};
	struct workspaces v1, v2;

	workspaces_init(&v1, before, 2);
	workspaces_init(&v2, after, 2);
	workspaces_add_key(&v1, &before[0], LSTR("key"));
	workspaces_add_key(&v2, &after[1], LSTR("key"));
	assert_ptr_equal(workspaces_find(&v1, LSTR("key")), &before[0]);
	assert_ptr_equal(workspaces_find(&v2, LSTR("key")), &after[1]);
	workspaces_clear(&v1);
	workspaces_clear(&v2);
}

/* The table holds nothing from which a key can be read. */
static void test_only_digests_are_kept(void **state)
{
	static const char key[KEY_BYTES + 1] =
		"0123456789abcdefghijklmnopqrstuv";
	struct workspace list[1] = {{.name = LSTR("a")}};
	struct workspaces w;
	GHashTableIter it;
	gpointer digest;

	workspaces_init(&w, list, 1);
	workspaces_add_key(&w, &list[0], lstr0(key));
	assert_int_equal(g_hash_table_size(w.by_key), 1);
	g_hash_table_iter_init(&it, w.by_key);
	assert_true(g_hash_table_iter_next(&it, &digest, NULL));
	assert_memory_not_equal(digest, key, KEY_BYTES);
	workspaces_clear(&w);
}

/* Instances on other machines must get the same number for a name. */
static void test_id_is_fixed(void **state)
{
	assert_int_equal(workspace_id(LSTR("")), 0x811c9dc5);
	assert_int_equal(workspace_id(LSTR("a")), 0xe40c292c);
	assert_int_not_equal(workspace_id(LSTR("ab")),
			     workspace_id(LSTR("ba")));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_two_keys_of_one_workspace),
		cmocka_unit_test(test_keys_that_differ_little),
		cmocka_unit_test(test_workspace_without_keys),
		cmocka_unit_test(test_shared_key),
		cmocka_unit_test(test_key_that_moves),
		cmocka_unit_test(test_only_digests_are_kept),
		cmocka_unit_test(test_id_is_fixed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
