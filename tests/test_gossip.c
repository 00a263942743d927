/*
 * Tests of member/gossip: messages survive a round trip, and truncated or invalid ones are rejected.
 */
#include "tests/unit.h"

#include <math.h>

#include <errno.h>

#include "member/gossip.h"
#include "tests/peer_info.h"
#include "tests/sample_changes.h"

/* Every truncated message is rejected, without reading beyond its end. */
static void assert_prefixes_rejected(const struct buf *b)
{
	struct gossip_message m;

	for (size_t n = 0; n < b->len; n++) {
		char *copy = g_memdup2(b->ptr, n ? n : 1);

		assert_int_not_equal(gossip_read((struct lstr){copy, n}, &m),
				     0);
		gossip_message_clear(&m);
		g_free(copy);
	}
}

/*
 * Datagrams with random bytes changed: each is rejected, or decoded without
 * reading out of bounds, with terminated names.
 */
static void test_corrupted_datagrams(void **state)
{
	struct peer_info self = info("e3", 77);
	struct backend_feed f = {.from = {2, 90}, .to = {2, 110}, .age_ms = 3};
	GRand *rand = g_rand_new_with_seed(43);
	struct buf b = {0};
	int taken = 0;

	f.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	fill_changes(f.changes, 6);
	assert_int_equal(gossip_write_feed(&b, &self, &f, 0), 6);
	for (int i = 0; i < 20000; i++) {
		char *copy = g_memdup2(b.ptr, b.len);
		struct gossip_message m;

		for (int k = g_rand_int_range(rand, 1, 5); k > 0; k--)
			copy[g_rand_int_range(rand, 0, (gint32)b.len)] =
				(char)g_rand_int_range(rand, 0, 256);
		if (gossip_read((struct lstr){copy, b.len}, &m) == 0) {
			taken++;
			assert_non_null(memchr(m.sender.name, 0,
					       sizeof(m.sender.name)));
			gossip_message_clear(&m);
		}
		g_free(copy);
	}
	/*
	 * Many changes only hit a number or a letter of a name, so some
	 * datagrams decode.
	 */
	assert_in_range(taken, 1, 19999);
	g_array_unref(f.changes);
	buf_free(&b);
	g_rand_free(rand);
}

/* Crash notices survive a round trip; an unknown kind is rejected. */
static void test_crash_notices(void **state)
{
	struct peer_info self = info("e3", 77);
	struct crash_notice notices[CRASH_NOTICES_MAX + 1],
		unknown_kind = {9, 1, 1, 0};
	struct gossip_message m;
	struct buf b = {0};

	for (unsigned i = 0; i < G_N_ELEMENTS(notices); i++)
		notices[i] = (struct crash_notice){
			CRASH_NOTICE_CRASHED + i % 3, UINT64_MAX - i,
			UINT32_MAX - i, UINT32_MAX / 2 - i};
	gossip_write_crashes(&b, &self, notices, CRASH_NOTICES_MAX);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_CRASHES);
	assert_int_equal(m.crashes->len, CRASH_NOTICES_MAX);
	for (unsigned i = 0; i < CRASH_NOTICES_MAX; i++) {
		const struct crash_notice *n =
			&g_array_index(m.crashes, struct crash_notice, i);

		assert_int_equal(n->kind, notices[i].kind);
		assert_true(n->digest == notices[i].digest);
		assert_int_equal(n->detail, notices[i].detail);
		assert_int_equal(n->age_ms, notices[i].age_ms);
	}
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	b.len = 0;
	gossip_write_crashes(&b, &self, &unknown_kind, 1);
	assert_int_not_equal(gossip_read(buf_lstr(&b), &m), 0);
	gossip_message_clear(&m);
	buf_free(&b);
}

static void test_round_trip(void **state)
{
	struct peer_info self = info("e3", 77);
	struct backend_feed f = {.from = {2, 90},
				 .to = {2, 110},
				 .age_ms = 3,
				 .covered_ms = 4,
				 .after_gap = true};
	struct gossip_message m;
	struct buf b = {0};

	f.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	fill_changes(f.changes, 6);
	assert_int_equal(gossip_write_feed(&b, &self, &f, 0), 6);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_FEED);
	assert_memory_equal(&m.sender.addr, &self.addr, sizeof(self.addr));
	assert_string_equal(m.sender.caller_addr, self.caller_addr);
	assert_int_equal(m.sender.boot_id, 77);
	assert_int_equal(m.sender.store_era, 3);
	assert_int_equal(m.sender.records_era, 2);
	assert_int_equal(m.sender.config.pos.era, 3);
	assert_int_equal(m.sender.config.pos.offset, 7);
	assert_int_equal(m.sender.config.age_ms, 5);
	assert_int_equal(m.sender.config.version, 21);
	assert_int_equal(m.sender.config.digest, 99);
	assert_int_equal(m.feed.from.offset, 90);
	assert_int_equal(m.feed.to.era, 2);
	assert_int_equal(m.feed.to.offset, 110);
	assert_int_equal(m.feed.changes->len, 6);
	for (guint i = 0; i < 6; i++)
		assert_memory_equal(
			&g_array_index(m.feed.changes, struct backend_change,
				       i),
			&g_array_index(f.changes, struct backend_change, i),
			sizeof(struct backend_change));
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	buf_free(&b);
	g_array_unref(f.changes);
}

/*
 * A roster of 1,000 entries in parts that fit a datagram each, and the other
 * messages about the roster.
 */
static void test_roster_round_trip(void **state)
{
	static const uint32_t wanted[] = {1, 4711, 4712};
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct peer_report infos[2];
	const struct peer_report *got;
	struct peer_info self = info("e3", 77), other = info("e4", 78);
	struct gossip_message m;
	struct buf b = {0};
	struct roster r;
	guint at = 0, seen = 0;
	uint32_t next = 0;

	roster_init(&r);
	for (uint32_t i = 0; i < 1000; i++) {
		struct roster_entry e = {1000 + i * 7, i % 3 != 0, i % 5 == 0};

		g_array_append_val(r.entries, e);
	}
	g_array_append_vals(ids, wanted, G_N_ELEMENTS(wanted));
	infos[0] = (struct peer_report){other, 70};
	infos[1] = (struct peer_report){other, AGE_UNKNOWN};
	while (at < 1000) {
		b.len = 0;
		at = gossip_write_roster(&b, &self, &r, at);
		assert_true(b.len <= GOSSIP_MAX);
		assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
		assert_int_equal(m.kind, GOSSIP_ROSTER);
		assert_int_equal(m.roster.lo, next);
		next = m.roster.hi + 1;
		for (guint i = 0; i < m.roster.entries->len; i++, seen++) {
			struct roster_entry e = g_array_index(
				m.roster.entries, struct roster_entry, i);

			assert_int_equal(e.ready, (e.id - 1000) / 7 % 3 != 0);
			assert_int_equal(e.relayed, (e.id - 1000) / 7 % 5 == 0);
		}
		gossip_message_clear(&m);
	}
	assert_int_equal(seen, 1000);
	assert_int_equal(next, 0);
	assert_prefixes_rejected(&b);
	b.len = 0;
	assert_int_equal(gossip_write_info_request(&b, &self, ids, 1), 3);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.ids->len, 2);
	assert_int_equal(g_array_index(m.ids, uint32_t, 0), 4711);
	assert_int_equal(g_array_index(m.ids, uint32_t, 1), 4712);
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	b.len = 0;
	gossip_write_join(&b, &self);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_JOIN);
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	b.len = 0;
	gossip_write_roster_digest(&b, &self, 99);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_ROSTER_DIGEST);
	assert_int_equal(m.digest, 99);
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	b.len = 0;
	gossip_write_roster_request(&b, &self);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_ROSTER_REQUEST);
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	b.len = 0;
	assert_int_equal(gossip_write_info(&b, &self, infos, 2), 2);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_string_equal(m.sender.name, "e3");
	assert_int_equal(m.infos->len, 2);
	got = &g_array_index(m.infos, struct peer_report, 0);
	assert_string_equal(got->info.name, "e4");
	assert_string_equal(got->info.caller_addr, other.caller_addr);
	assert_int_equal(got->sign_age_ms, 70);
	assert_int_equal(got[1].sign_age_ms, AGE_UNKNOWN);
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	buf_free(&b);
	g_array_unref(ids);
	roster_clear(&r);
}

/* Descriptions that don't fit into one datagram are left to the next. */
static void test_infos_fill_datagrams(void **state)
{
	struct peer_info self = info("e3", 1), other = info("e4", 2);
	struct peer_report infos[50];
	unsigned at = 0, datagrams = 0;
	struct buf b = {0};

	for (unsigned i = 0; i < G_N_ELEMENTS(infos); i++)
		infos[i] = (struct peer_report){other, 70};
	while (at < G_N_ELEMENTS(infos)) {
		struct gossip_message m;
		unsigned n;

		b.len = 0;
		n = gossip_write_info(&b, &self, infos + at,
				      G_N_ELEMENTS(infos) - at);
		assert_true(b.len <= GOSSIP_MAX);
		assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
		assert_int_equal(m.infos->len, n);
		gossip_message_clear(&m);
		at += n;
		datagrams++;
	}
	assert_true(datagrams <= 6);
	buf_free(&b);
}

static void test_load_round_trip(void **state)
{
	struct peer_load l = {
		.peer = peer_id("e3"), .n = 2, .items = {{123456, 3}, {7, 1}}};
	struct gossip_message m;
	struct buf b = {0};

	gossip_write_load(&b, &l);
	/*
	 * Sent about twenty times a second to each peer. With the sender's full
	 * info it was 104 bytes.
	 */
	assert_true(b.len <= 25);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_LOAD);
	assert_false(gossip_has_sender_info(&m));
	assert_int_equal(m.load.peer, peer_id("e3"));
	assert_int_equal(m.load.n, 2);
	assert_memory_equal(m.load.items, l.items, 2 * sizeof(*l.items));
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	buf_free(&b);
}

static void test_limits_round_trip(void **state)
{
	struct limit_gossip l = {.peer = peer_id("e3"), .n = LIMIT_GOSSIP_MAX};
	struct gossip_message m;
	struct buf b = {0};

	for (unsigned i = 0; i < LIMIT_GOSSIP_MAX; i++)
		l.items[i] =
			(struct limit_gossip_item){0xf0000000 + i, i % 2 == 0,
						   0.1 * i, 1U << 31, 1U << 30};
	gossip_write_limits(&b, &l);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_LIMITS);
	assert_false(gossip_has_sender_info(&m));
	assert_int_equal(m.limits.peer, peer_id("e3"));
	assert_int_equal(m.limits.n, LIMIT_GOSSIP_MAX);
	for (unsigned i = 0; i < LIMIT_GOSSIP_MAX; i++) {
		const struct limit_gossip_item *it = &m.limits.items[i];

		assert_int_equal(it->backend, l.items[i].backend);
		assert_int_equal(it->limited, l.items[i].limited);
		assert_true(it->per_s == l.items[i].per_s);
		assert_int_equal(it->sent_ago_ms, l.items[i].sent_ago_ms);
		assert_int_equal(it->received_ago_ms,
				 l.items[i].received_ago_ms);
	}
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	buf_free(&b);
}

static void test_grant_round_trip(void **state)
{
	struct limit_borrow_msg l = {
		.from = peer_id("e3"), .resource = 9, .serial = 11};

	for (int grant = 0; grant < 2; grant++) {
		struct gossip_message m;
		struct buf b = {0};

		l.grant = grant;
		gossip_write_grant(&b, &l);
		assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
		assert_int_equal(m.kind,
				 grant ? GOSSIP_GRANT : GOSSIP_GRANT_REQUEST);
		assert_false(gossip_has_sender_info(&m));
		assert_int_equal(m.call.grant, grant);
		assert_int_equal(m.call.from, peer_id("e3"));
		assert_int_equal(m.call.resource, 9);
		assert_int_equal(m.call.serial, 11);
		gossip_message_clear(&m);
		assert_prefixes_rejected(&b);
		buf_free(&b);
	}
}

/* A full drain message fits a datagram and survives a round trip. */
static void test_draining_round_trip(void **state)
{
	struct drain_gossip l = {.peer = peer_id("e3"), .n = DRAIN_GOSSIP_MAX};
	struct gossip_message m;
	struct buf b = {0};

	for (unsigned i = 0; i < DRAIN_GOSSIP_MAX; i++) {
		memset(l.items[i].id, 'a' + (int)i, BACKEND_NAME_MAX - 1);
		l.items[i].server_start_ms = UINT64_MAX - i;
	}
	gossip_write_drain(&b, &l);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.kind, GOSSIP_DRAINING);
	assert_false(gossip_has_sender_info(&m));
	assert_int_equal(m.drain.peer, peer_id("e3"));
	assert_int_equal(m.drain.n, DRAIN_GOSSIP_MAX);
	for (unsigned i = 0; i < DRAIN_GOSSIP_MAX; i++) {
		assert_string_equal(m.drain.items[i].id, l.items[i].id);
		assert_true(m.drain.items[i].server_start_ms ==
			    l.items[i].server_start_ms);
	}
	gossip_message_clear(&m);
	assert_prefixes_rejected(&b);
	buf_free(&b);
}

/* Negative, infinite and NaN limits are rejected. */
static void test_invalid_limits_rejected(void **state)
{
	static const double bad[] = {-1, NAN, INFINITY};
	struct limit_gossip l = {.peer = 1, .n = 1};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct gossip_message m;
		struct buf b = {0};

		l.items[0] = (struct limit_gossip_item){7, true, bad[i], 1, 1};
		gossip_write_limits(&b, &l);
		assert_int_not_equal(gossip_read(buf_lstr(&b), &m), 0);
		gossip_message_clear(&m);
		buf_free(&b);
	}
}

/*
 * Changes that all peers know already: the newest that fit one datagram are
 * repeated, with the positions that they cover.
 */
static void test_feed_fits(void **state)
{
	struct peer_info self = info("e3", 77);
	struct backend_feed f = {.from = {2, 90}, .to = {2, 400}};
	struct gossip_message m;
	struct buf b = {0};
	guint begin;

	f.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	fill_changes(f.changes, 200);
	begin = gossip_feed_first(&f, (struct store_position){2, 400}, 1000);
	assert_true(begin > 0);
	assert_int_equal(gossip_write_feed(&b, &self, &f, begin), 200);
	assert_true(b.len <= GOSSIP_MAX);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	const struct backend_change *first =
		&g_array_index(m.feed.changes, struct backend_change, 0);

	assert_int_equal(first->pos.offset, m.feed.from.offset);
	assert_int_equal(first->pos.offset + m.feed.changes->len, 300);
	assert_int_equal(m.feed.to.offset, 400);
	gossip_message_clear(&m);
	buf_free(&b);
	g_array_unref(f.changes);
}

/*
 * Many new changes at once, as when many servers start: they are split over as
 * many datagrams as needed, without a gap, and only the last one carries the
 * age.
 */
static void test_feed_split_over_datagrams(void **state)
{
	struct peer_info self = info("e3", 77);
	struct backend_feed f = {.from = {2, 90}, .to = {2, 400}, .age_ms = 3};
	struct gossip_message m;
	struct buf b = {0};
	uint64_t next;
	guint at;

	f.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	fill_changes(f.changes, 200);
	next = g_array_index(f.changes, struct backend_change, 49).pos.offset +
	       1;
	at = gossip_feed_first(&f, (struct store_position){2, next}, 1000);
	assert_int_equal(at, 50);
	while (at < 200) {
		b.len = 0;
		at = gossip_write_feed(&b, &self, &f, at);
		assert_true(b.len <= GOSSIP_MAX);
		assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
		assert_int_equal(m.feed.from.offset, next);
		assert_int_equal(m.feed.age_ms, at < 200 ? AGE_UNKNOWN : 3);
		next = m.feed.to.offset;
		gossip_message_clear(&m);
	}
	assert_int_equal(next, 400);
	/* Limited by changes_max: only the newest. */
	at = gossip_feed_first(&f, (struct store_position){2, 0}, 24);
	assert_int_equal(at, 200 - 24);
	b.len = 0;
	gossip_write_feed(&b, &self, &f, at);
	assert_int_equal(gossip_read(buf_lstr(&b), &m), 0);
	assert_int_equal(m.feed.from.offset,
			 g_array_index(f.changes, struct backend_change, at - 1)
					 .pos.offset +
				 1);
	gossip_message_clear(&m);
	buf_free(&b);
	g_array_unref(f.changes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_infos_fill_datagrams),
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_corrupted_datagrams),
		cmocka_unit_test(test_crash_notices),
		cmocka_unit_test(test_load_round_trip),
		cmocka_unit_test(test_limits_round_trip),
		cmocka_unit_test(test_draining_round_trip),
		cmocka_unit_test(test_invalid_limits_rejected),
		cmocka_unit_test(test_grant_round_trip),
		cmocka_unit_test(test_roster_round_trip),
		cmocka_unit_test(test_feed_fits),
		cmocka_unit_test(test_feed_split_over_datagrams),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
