/* Tests of core/server_state: what a lifetime of a server has said, and how long. */
#include "tests/unit.h"

#include "core/server_state.h"

static struct server_states all;

static int begin(void **state)
{
	server_states_init(&all);
	return 0;
}

static int end(void **state)
{
	g_hash_table_unref(all.by_start);
	g_queue_clear(&all.unlisted);
	return 0;
}

static void test_kept_while_unlisted(void **state)
{
	struct server_state *m = server_state_get(&all, "i-1", 5);

	m->draining = true;
	server_state_release(m);
	assert_ptr_equal(server_state_find(&all, "i-1", 5), m);
	assert_null(server_state_find(&all, "i-1", 6));
	assert_null(server_state_find(&all, "i-2", 5));
	assert_ptr_equal(server_state_get(&all, "i-1", 5), m);
	assert_int_equal(all.unlisted.length, 0);
	m->superseded = true;
	server_state_release(m);
	assert_null(server_state_find(&all, "i-1", 5));
}

static void test_nothing_said_is_not_kept(void **state)
{
	server_state_release(server_state_get(&all, "i-1", 0));
	assert_int_equal(g_hash_table_size(all.by_start), 0);
}

static void test_unlisted_are_bounded(void **state)
{
	char id[BACKEND_NAME_MAX];

	for (int i = 0; i <= SERVER_STATE_UNLISTED_MAX; i++) {
		struct server_state *m;

		g_snprintf(id, sizeof(id), "i-%d", i);
		m = server_state_get(&all, id, 0);
		m->draining = true;
		server_state_release(m);
	}
	assert_int_equal(g_hash_table_size(all.by_start),
			 SERVER_STATE_UNLISTED_MAX);
	assert_null(server_state_find(&all, "i-0", 0));
	assert_non_null(server_state_find(&all, "i-1", 0));
}

/* The later end wins; an instance resumes at it or up to a quarter later. */
static void test_backoffs(void **state)
{
	struct server_state *m = server_state_get(&all, "i-1", 0);

	assert_false(server_state_back_off(m, 0, 0.5, 1000));
	assert_int_equal(m->resume_ms, 0);
	assert_true(server_state_back_off(m, 3, 0, 1000));
	assert_int_equal(m->backoff_until_ms, 4000);
	assert_in_range(m->resume_ms, 4000, 4001);
	assert_false(server_state_back_off(m, 0.25, 1, 2000));
	assert_in_range(m->resume_ms, 4000, 4001);
	assert_true(server_state_back_off(m, 4, 1, 1500));
	assert_in_range(m->resume_ms, 6500, 6501);
	/* A later end with an earlier return of its own. */
	assert_true(server_state_back_off(m, 0.75, 0, 5000));
	assert_int_equal(m->backoff_until_ms, 5750);
	assert_in_range(m->resume_ms, 6500, 6501);
	server_state_release(m);
}

/* Of 200 instances that were told in the same moment few resume in any 5% of the time. */
static void test_resumptions_are_spread(void **state)
{
	enum {
		INSTANCES = 200,
		BACKOFF_MS = 3000,
		WINDOW_MS = BACKOFF_MS / 4 / 20
	};
	unsigned in_window[20 + 1] = {0};
	GRand *rand = g_rand_new_with_seed(1);

	for (int i = 0; i < INSTANCES; i++) {
		struct server_state *m = server_state_get(&all, "i-1", 0);
		int64_t late;

		server_state_back_off(m, BACKOFF_MS / 1000.0,
				      g_rand_double(rand), 1000);
		late = m->resume_ms - m->backoff_until_ms;
		assert_in_range(late, 0, BACKOFF_MS / 4 + 1);
		in_window[late / WINDOW_MS]++;
		m->superseded = true;
		server_state_release(m);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(in_window); i++)
		assert_true(in_window[i] <= INSTANCES / 8);
	g_rand_free(rand);
}

/* Numbers beyond any clock count as longer than a lifetime. */
static void test_enormous_backoff(void **state)
{
	struct server_state *m = server_state_get(&all, "i-1", 0);

	assert_true(server_state_back_off(m, 1e22, 1, 1000));
	assert_true(m->backoff_until_ms > (int64_t)1 << 60);
	assert_true(m->resume_ms >= m->backoff_until_ms);
	assert_false(server_state_back_off(m, 1, 1, 2000));
	server_state_release(m);
}

/* Only an answer to what was sent after the backoff counts. */
static void test_resuming(void **state)
{
	struct server_state *m = server_state_get(&all, "i-1", 0);

	server_state_back_off(m, 1, 0, 1000);
	assert_true(m->resuming);
	server_state_answered(m, 1990);
	assert_true(m->resuming);
	server_state_answered(m, m->resume_ms);
	assert_false(m->resuming);
	server_state_release(m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_kept_while_unlisted, begin,
						end),
		cmocka_unit_test_setup_teardown(test_nothing_said_is_not_kept,
						begin, end),
		cmocka_unit_test_setup_teardown(test_unlisted_are_bounded,
						begin, end),
		cmocka_unit_test_setup_teardown(test_backoffs, begin, end),
		cmocka_unit_test_setup_teardown(test_resumptions_are_spread,
						begin, end),
		cmocka_unit_test_setup_teardown(test_enormous_backoff, begin,
						end),
		cmocka_unit_test_setup_teardown(test_resuming, begin, end),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
