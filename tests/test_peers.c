/* Tests of member/peers: who is known, who lives, and what callers are told. */
#include "tests/unit.h"

#include "core/limit_share.h"
#include "tests/peer_info.h"

static void hear(struct peer_table *t, const char *name, int64_t now)
{
	struct peer_info p = info(name, 1);

	peers_note_heartbeat(t, &p, now);
}

static void test_rank_and_take_over(void **state)
{
	struct peer_info self = info("e3", 1), stopping;
	struct peer_table t;

	peers_init(&t, &self);
	assert_int_equal(peers_rank(&t, 1000), 0);
	hear(&t, "e1", 1000);
	hear(&t, "e2", 1000);
	hear(&t, "e4", 1000);
	assert_int_equal(peers_rank(&t, 1000), 2);
	/* e1 falls silent. */
	hear(&t, "e2", 3000);
	assert_int_equal(peers_rank(&t, 3000), 1);
	/* e2 stops as planned. */
	stopping = info("e2", 1);
	stopping.leaving = true;
	peers_note_heartbeat(&t, &stopping, 3100);
	assert_int_equal(peers_rank(&t, 3100), 0);
}

/* A peer whose heartbeats stop is told once, and again after it was back. */
static void test_lost_once(void **state)
{
	struct peer_info self = info("e3", 1);
	struct peer_table t;

	peers_init(&t, &self);
	hear(&t, "e1", 1000);
	hear(&t, "e2", 1000);
	assert_null(peers_next_lost(&t, 2000));
	hear(&t, "e2", 3000);
	assert_string_equal(peers_next_lost(&t, 3000)->info.name, "e1");
	assert_null(peers_next_lost(&t, 3000));
	hear(&t, "e1", 4000);
	assert_string_equal(peers_next_lost(&t, 5500)->info.name, "e2");
	assert_string_equal(peers_next_lost(&t, 5900)->info.name, "e1");
}

/* Checks how many callers are told of, and the name or address at `at`. */
static void expect_told(const struct peer_table *t, int64_t now, guint n,
			guint at, const char *name)
{
	GArray *out = peers_for_callers(t, now);

	assert_int_equal(out->len, n);
	assert_string_equal(g_array_index(out, struct peer_endpoint, at).name,
			    name);
	g_array_unref(out);
}

static void test_for_callers(void **state)
{
	struct peer_info self = info("e3", 1), stopping = info("e1", 1);
	GArray *out;
	struct peer_table t;

	peers_init(&t, &self);
	hear(&t, "e1", 1000);
	hear(&t, "e2", 1000);
	out = peers_for_callers(&t, 1000);
	assert_int_equal(out->len, 3);
	assert_string_equal(
		g_array_index(out, struct peer_endpoint, 0).caller_addr,
		"10.0.0.3:80");
	g_array_unref(out);
	stopping.leaving = true;
	peers_note_heartbeat(&t, &stopping, 1100);
	expect_told(&t, 1200, 2, 1, "e2");
	/* A dead one leaves the list within two seconds. */
	hear(&t, "e1", 2900);
	expect_told(&t, 3000, 2, 1, "e1");
	/* Whoever hears nobody is cut off: all it knows are named. */
	expect_told(&t, 9000, 3, 0, "e3");
	/* One that stops names the others only. */
	t.self.leaving = true;
	hear(&t, "e1", 9000);
	expect_told(&t, 9000, 2, 0, "e1");
}

/* Those that can't serve yet are named only when nobody can. */
static void test_ready_first(void **state)
{
	struct peer_info self = info("e3", 1), other = info("e1", 1);
	struct peer_table t;

	self.ready = true;
	peers_init(&t, &self);
	peers_note_heartbeat(&t, &other, 1000);
	hear(&t, "e2", 1000);
	expect_told(&t, 1000, 1, 0, "e3");
	assert_null(peers_pick_source(&t, 0, 1000));
	other.ready = true;
	peers_note_heartbeat(&t, &other, 1000);
	expect_told(&t, 1000, 2, 1, "e1");
	for (unsigned turn = 0; turn < 4; turn++)
		assert_string_equal(
			peers_pick_source(&t, turn, 1000)->info.name, "e1");
	t.self.ready = false;
	expect_told(&t, 1000, 1, 0, "e1");
	other.ready = false;
	peers_note_heartbeat(&t, &other, 1000);
	expect_told(&t, 1000, 3, 0, "e3");
}

static void test_fresh_is_told(void **state)
{
	struct peer_info self = info("e3", 1), p = info("e1", 1);
	struct peer_table t;

	peers_init(&t, &self);
	assert_true(peers_note_heartbeat(&t, &p, 1000));
	assert_false(peers_note_heartbeat(&t, &p, 1500));
	p.boot_id = 2;
	assert_true(peers_note_heartbeat(&t, &p, 1600));
	assert_true(peers_note_heartbeat(&t, &p, 9000));
	/* Its own datagrams don't make it a peer of itself. */
	assert_false(peers_note_heartbeat(&t, &self, 9000));
	assert_int_equal(peers_count(&t, 9000), 2);
	assert_int_equal(peers_count(&t, 90000), 1);
}

static unsigned count_sharers(const struct peer_table *t, int64_t now)
{
	GArray *all = peers_sharers(t, 6000, now);
	unsigned n = all->len;

	assert_int_equal(g_array_index(all, struct limit_sharer, 0).id,
			 peer_id(t->self.name));
	g_array_unref(all);
	return n;
}

/*
 * One that fell silent may be cut off and serve on, so it keeps what it holds; one
 * that left as planned does so until its grace time is over.
 */
static void test_sharers(void **state)
{
	struct peer_info self = info("e3", 1), stopping = info("e2", 1);
	struct peer_table t;
	GArray *all;

	peers_init(&t, &self);
	hear(&t, "e1", 1000);
	hear(&t, "e2", 1000);
	assert_int_equal(count_sharers(&t, 1000), 3);
	assert_int_equal(count_sharers(&t, 1000 + 3600 * 1000), 3);
	all = peers_sharers(&t, 6000, 60000);
	assert_int_equal(g_array_index(all, struct limit_sharer, 1).heard, 0);
	g_array_unref(all);
	stopping.leaving = true;
	peers_note_heartbeat(&t, &stopping, 2000);
	assert_int_equal(count_sharers(&t, 8900), 3);
	assert_int_equal(count_sharers(&t, 9000), 2);
	/* It starts anew. */
	hear(&t, "e2", 9500);
	assert_int_equal(count_sharers(&t, 9500), 3);
	/* Longer than cuts last: it is taken as gone. */
	assert_int_equal(count_sharers(&t, 9500 + 2 * 3600 * 1000), 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rank_and_take_over),
		cmocka_unit_test(test_lost_once),
		cmocka_unit_test(test_for_callers),
		cmocka_unit_test(test_ready_first),
		cmocka_unit_test(test_fresh_is_told),
		cmocka_unit_test(test_sharers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
