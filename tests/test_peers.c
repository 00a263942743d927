/*
 * Tests of member/peers: rank, loss and return of peers, and the instances that
 * callers are given.
 */
#include "tests/unit.h"

#include "core/limit_share.h"
#include "member/contact.h"
#include "tests/peer_info.h"

static void receive_heartbeat(struct peer_table *t, const char *name,
			      int64_t now)
{
	struct peer_info p = info(name, 1);

	peers_note_heartbeat(t, &p, now);
}

static void test_rank_and_takeover(void **state)
{
	struct peer_info self = info("e3", 1), leaving_peer;
	struct peer_table t;

	peers_init(&t, &self);
	assert_int_equal(peers_rank(&t, 1000), 0);
	receive_heartbeat(&t, "e1", 1000);
	receive_heartbeat(&t, "e2", 1000);
	receive_heartbeat(&t, "e4", 1000);
	assert_int_equal(peers_rank(&t, 1000), 2);
	/* The heartbeats of e1 stop. */
	receive_heartbeat(&t, "e2", 3000);
	assert_int_equal(peers_rank(&t, 3000), 1);
	/* e2 begins a planned shutdown. */
	leaving_peer = info("e2", 1);
	leaving_peer.leaving = true;
	peers_note_heartbeat(&t, &leaving_peer, 3100);
	assert_int_equal(peers_rank(&t, 3100), 0);
}

/*
 * A peer whose heartbeats stop is reported once, and again after it was back.
 */
static void test_loss_reported_once(void **state)
{
	struct peer_info self = info("e3", 1);
	struct peer_table t;

	peers_init(&t, &self);
	receive_heartbeat(&t, "e1", 1000);
	receive_heartbeat(&t, "e2", 1000);
	assert_null(peers_next_lost(&t, 2000));
	receive_heartbeat(&t, "e2", 3000);
	assert_string_equal(peers_next_lost(&t, 3000)->info.name, "e1");
	assert_null(peers_next_lost(&t, 3000));
	receive_heartbeat(&t, "e1", 4000);
	assert_string_equal(peers_next_lost(&t, 5500)->info.name, "e2");
	assert_string_equal(peers_next_lost(&t, 5900)->info.name, "e1");
}

/*
 * Checks the number of instances that callers are given, and the name at index
 * `at`.
 */
static void expect_listed(struct peer_table *t, int64_t now, guint n, guint at,
			  const char *name)
{
	GArray *out;

	contact_update(t, 0, now);
	out = peers_for_callers(t, now);
	assert_int_equal(out->len, n);
	assert_string_equal(g_array_index(out, struct peer_endpoint, at).name,
			    name);
	g_array_unref(out);
}

static void test_for_callers(void **state)
{
	struct peer_info self = info("e3", 1), leaving_peer = info("e1", 1);
	GArray *out;
	struct peer_table t;

	peers_init(&t, &self);
	receive_heartbeat(&t, "e1", 1000);
	receive_heartbeat(&t, "e2", 1000);
	out = peers_for_callers(&t, 1000);
	assert_int_equal(out->len, 3);
	assert_string_equal(
		g_array_index(out, struct peer_endpoint, 0).caller_addr,
		"10.0.0.3:80");
	g_array_unref(out);
	leaving_peer.leaving = true;
	peers_note_heartbeat(&t, &leaving_peer, 1100);
	expect_listed(&t, 1200, 2, 1, "e2");
	/* A dead instance is dropped within two seconds. */
	receive_heartbeat(&t, "e1", 2900);
	expect_listed(&t, 3000, 2, 1, "e1");
	/*
	 * An instance that receives nothing, from the store either, is cut off:
	 * it lists those that were alive then.
	 */
	expect_listed(&t, 9000, 2, 0, "e3");
	expect_listed(&t, 9000, 2, 1, "e1");
	/* A stopping instance lists only the others. */
	t.self.leaving = true;
	receive_heartbeat(&t, "e1", 9000);
	expect_listed(&t, 9000, 1, 0, "e1");
}

/* Instances that cannot serve yet are listed only if none can. */
static void test_ready_listed_first(void **state)
{
	struct peer_info self = info("e3", 1), other = info("e1", 1);
	struct peer_table t;

	self.ready = true;
	peers_init(&t, &self);
	peers_note_heartbeat(&t, &other, 1000);
	receive_heartbeat(&t, "e2", 1000);
	expect_listed(&t, 1000, 1, 0, "e3");
	assert_null(peers_pick_source(&t, 0, 1000));
	other.ready = true;
	peers_note_heartbeat(&t, &other, 1000);
	expect_listed(&t, 1000, 2, 1, "e1");
	for (unsigned turn = 0; turn < 4; turn++)
		assert_string_equal(peers_pick_source(&t, turn, 1000)->name,
				    "e1");
	t.self.ready = false;
	expect_listed(&t, 1000, 1, 0, "e1");
	other.ready = false;
	peers_note_heartbeat(&t, &other, 1000);
	expect_listed(&t, 1000, 3, 0, "e3");
}

static void test_new_peer_needs_reply(void **state)
{
	struct peer_info self = info("e3", 1), p = info("e1", 1);
	struct peer_table t;

	peers_init(&t, &self);
	assert_true(peers_note_heartbeat(&t, &p, 1000));
	assert_false(peers_note_heartbeat(&t, &p, 1500));
	p.boot_id = 2;
	assert_true(peers_note_heartbeat(&t, &p, 1600));
	assert_true(peers_note_heartbeat(&t, &p, 9000));
	/* An instance ignores datagrams of its own. */
	assert_false(peers_note_heartbeat(&t, &self, 9000));
	assert_int_equal(peers_count(&t, 9000), 2);
	assert_int_equal(peers_count(&t, 90000), 1);
}

/* Returns the number of participants, with this instance first. */
static unsigned count_participants(const struct peer_table *t, int64_t now)
{
	GArray *all = peers_limit_participants(t, 6000, now);
	unsigned n = all->len;

	assert_int_equal(g_array_index(all, struct limit_instance, 0).id,
			 peer_id(t->self.name));
	g_array_unref(all);
	return n;
}

/*
 * A silent instance may be cut off and still serving, so it keeps its share of
 * limits; a leaving one keeps it until its grace period is over.
 */
static void test_limit_participants(void **state)
{
	struct peer_info self = info("e3", 1), leaving_peer = info("e2", 1);
	struct peer_table t;
	GArray *all;

	peers_init(&t, &self);
	receive_heartbeat(&t, "e1", 1000);
	receive_heartbeat(&t, "e2", 1000);
	assert_int_equal(count_participants(&t, 1000), 3);
	assert_int_equal(count_participants(&t, 1000 + 3600 * 1000), 3);
	all = peers_limit_participants(&t, 6000, 60000);
	assert_int_equal(g_array_index(all, struct limit_instance, 1).reachable,
			 0);
	g_array_unref(all);
	leaving_peer.leaving = true;
	peers_note_heartbeat(&t, &leaving_peer, 2000);
	assert_int_equal(count_participants(&t, 8900), 3);
	assert_int_equal(count_participants(&t, 9000), 2);
	/* It restarts. */
	receive_heartbeat(&t, "e2", 9500);
	assert_int_equal(count_participants(&t, 9500), 3);
	/* Silent for longer than partitions last: presumed gone. */
	assert_int_equal(count_participants(&t, 9500 + 2 * 3600 * 1000), 1);
}

/* Sends `to` the reports of all instances that `from` considers alive. */
static void report_all(const struct peer_table *from, struct peer_table *to,
		       int64_t now)
{
	GArray *all = peers_reports(from, now);

	for (guint i = 0; i < all->len; i++)
		peers_note_report(
			to, &g_array_index(all, struct peer_report, i), now);
	g_array_unref(all);
}

/*
 * Guards against an instance that is gone staying alive for as long as others
 * join one after the other, are told of it and tell the rest.
 */
static void test_reports_age(void **state)
{
	struct peer_info self = info("e2", 1);
	struct peer_table calm, joining[6];

	peers_init(&calm, &self);
	receive_heartbeat(&calm, "e1", 1000);
	/* e1 is gone from here on; an instance joins each 1.5 s. */
	for (guint i = 0; i < G_N_ELEMENTS(joining); i++) {
		int64_t now = 2500 + 1500 * (int64_t)i;
		struct peer_info other = info("e3", 1);

		other.name[1] += (char)i;
		peers_init(&joining[i], &other);
		report_all(&calm, &joining[i], now);
		peers_note_heartbeat(&calm, &other, now);
		report_all(&joining[i], &calm, now + 1000);
		assert_int_equal(
			peer_alive(peers_find(&calm, "e1"), now + 1000), false);
	}
	/* A report of a sign that is more recent than what is known counts. */
	receive_heartbeat(&joining[0], "e1", 12000);
	report_all(&joining[0], &calm, 12500);
	assert_true(peer_alive(peers_find(&calm, "e1"), 13600));
	assert_false(peer_alive(peers_find(&calm, "e1"), 13700));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rank_and_takeover),
		cmocka_unit_test(test_loss_reported_once),
		cmocka_unit_test(test_for_callers),
		cmocka_unit_test(test_ready_listed_first),
		cmocka_unit_test(test_new_peer_needs_reply),
		cmocka_unit_test(test_limit_participants),
		cmocka_unit_test(test_reports_age),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
