/* Tests of core/server_state: what servers announce and how long it lasts. */
#include "tests/unit.h"

#include "core/server_state.h"

static struct server_states all;

/* Starts each test with an empty table. */
static int setup(void **state)
{
	server_states_init(&all);
	return 0;
}

/* Frees the table. */
static int teardown(void **state)
{
	g_hash_table_unref(all.by_start);
	g_queue_clear(&all.unlisted);
	return 0;
}

/* Announced state outlives its last reference, until a later start is known. */
static void test_kept_while_unlisted(void **state)
{
	struct server_state *s = server_state_get(&all, "i-1", 5);

	s->draining = true;
	server_state_release(s);
	assert_ptr_equal(server_state_find(&all, "i-1", 5), s);
	assert_null(server_state_find(&all, "i-1", 6));
	assert_null(server_state_find(&all, "i-2", 5));
	assert_ptr_equal(server_state_get(&all, "i-1", 5), s);
	assert_int_equal(all.unlisted.length, 0);
	s->superseded = true;
	server_state_release(s);
	assert_null(server_state_find(&all, "i-1", 5));
}

/* Without announced state nothing is kept. */
static void test_empty_is_not_kept(void **state)
{
	server_state_release(server_state_get(&all, "i-1", 0));
	assert_int_equal(g_hash_table_size(all.by_start), 0);
}

/* Beyond the bound, the least recently listed state is evicted. */
static void test_unlisted_are_bounded(void **state)
{
	char id[BACKEND_NAME_MAX];

	for (int i = 0; i <= SERVER_STATE_UNLISTED_MAX; i++) {
		struct server_state *s;

		g_snprintf(id, sizeof(id), "i-%d", i);
		s = server_state_get(&all, id, 0);
		s->draining = true;
		server_state_release(s);
	}
	assert_int_equal(g_hash_table_size(all.by_start),
			 SERVER_STATE_UNLISTED_MAX);
	assert_null(server_state_find(&all, "i-0", 0));
	assert_non_null(server_state_find(&all, "i-1", 0));
}

/* The latest end counts; resumption is up to a quarter of the backoff later. */
static void test_backoff_end(void **state)
{
	struct server_state *s = server_state_get(&all, "i-1", 0);

	assert_false(server_state_back_off(s, 0, 0.5, 1000));
	assert_int_equal(s->resume_ms, 0);
	assert_true(server_state_back_off(s, 3, 0, 1000));
	assert_int_equal(s->backoff_until_ms, 4000);
	assert_in_range(s->resume_ms, 4000, 4001);
	assert_false(server_state_back_off(s, 0.25, 1, 2000));
	assert_in_range(s->resume_ms, 4000, 4001);
	assert_true(server_state_back_off(s, 4, 1, 1500));
	assert_in_range(s->resume_ms, 6500, 6501);
	/* A later end whose jittered resumption would be earlier. */
	assert_true(server_state_back_off(s, 0.75, 0, 5000));
	assert_int_equal(s->backoff_until_ms, 5750);
	assert_in_range(s->resume_ms, 6500, 6501);
	server_state_release(s);
}

/* Of 200 instances refused at once, few resume in any 5% of the jitter. */
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
		struct server_state *s = server_state_get(&all, "i-1", 0);
		int64_t late;

		server_state_back_off(s, BACKOFF_MS / 1000.0,
				      g_rand_double(rand), 1000);
		late = s->resume_ms - s->backoff_until_ms;
		assert_in_range(late, 0, BACKOFF_MS / 4 + 1);
		in_window[late / WINDOW_MS]++;
		s->superseded = true;
		server_state_release(s);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(in_window); i++)
		assert_true(in_window[i] <= INSTANCES / 8);
	g_rand_free(rand);
}

/* A backoff beyond the range of the clock is capped. */
static void test_enormous_backoff(void **state)
{
	struct server_state *s = server_state_get(&all, "i-1", 0);

	assert_true(server_state_back_off(s, 1e22, 1, 1000));
	assert_true(s->backoff_until_ms > (int64_t)1 << 60);
	assert_true(s->resume_ms >= s->backoff_until_ms);
	assert_false(server_state_back_off(s, 1, 1, 2000));
	server_state_release(s);
}

/* Only an answer to a request sent after the backoff ends resuming. */
static void test_resuming(void **state)
{
	struct server_state *s = server_state_get(&all, "i-1", 0);

	server_state_back_off(s, 1, 0, 1000);
	assert_true(s->resuming);
	server_state_answered(s, 1990);
	assert_true(s->resuming);
	server_state_answered(s, s->resume_ms);
	assert_false(s->resuming);
	server_state_release(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_kept_while_unlisted, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_empty_is_not_kept, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_unlisted_are_bounded,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_backoff_end, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_resumptions_are_spread,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_enormous_backoff, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_resuming, setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
