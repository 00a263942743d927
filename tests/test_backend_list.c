/*
 * Tests of control/backend_list: records, feeds with gaps and repeats, grace
 * periods for expired entries and the schedule of reads; and randomized
 * histories after which instances that read or are fed must have equal lists.
 */
#include "tests/unit.h"

#include "tests/backend_lists.h"

static void test_records(void **state)
{
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 10, 1000);
	record(&l, 10, "a", "ready", 1000);
	assert_string_equal(state_of(&s, "a"), "ready");
	record(&l, 11, "a", "draining", 1000);
	assert_string_equal(state_of(&s, "a"), "draining");
	/* An older record of the same entry is ignored. */
	record(&l, 9, "a", "ready", 1000);
	assert_string_equal(state_of(&s, "a"), "draining");
	record(&l, 12, "a", "gone", 1000);
	assert_string_equal(state_of(&s, "a"), "gone");
}

/*
 * Entries that expired during an outage of the store have two seconds to
 * return.
 */
static void test_expired_entries_return(void **state)
{
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 0, 1000);
	record(&l, 0, "a", "ready", 1000);
	record(&l, 1, "b", "ready", 1000);
	backend_list_advance(&l, at(2), 1000, 1000);
	/* The store is away from 1 s to 8 s, and both leases expire. */
	backend_list_read_begin(&l, 8000);
	record(&l, 2, "a", "gone", 8000);
	record(&l, 3, "b", "gone", 8000);
	backend_list_advance(&l, at(4), 8000, 8000);
	assert_string_equal(state_of(&s, "a"), "ready");
	record(&l, 4, "a", "ready", 9000);
	backend_list_advance(&l, at(5), 9000, 9000);
	backend_list_apply_deferred(&l, 9900);
	assert_string_equal(state_of(&s, "b"), "ready");
	backend_list_apply_deferred(&l, 10300);
	assert_string_equal(state_of(&s, "a"), "ready");
	assert_string_equal(state_of(&s, "b"), "gone");
	/* Draining takes effect at once even then. */
	backend_list_read_begin(&l, 20000);
	record(&l, 5, "a", "draining", 20000);
	assert_string_equal(state_of(&s, "a"), "draining");
}

/* Without an outage a removal takes effect at once. */
static void test_removal_without_silence(void **state)
{
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 0, 1000);
	record(&l, 0, "a", "ready", 1000);
	backend_list_advance(&l, at(1), 1000, 1000);
	backend_list_read_begin(&l, 1500);
	record(&l, 1, "a", "gone", 1500);
	assert_string_equal(state_of(&s, "a"), "gone");
}

/*
 * A server that turns cold again is a change; that its warm-up goes on or has
 * ended is none.
 */
static void test_turns_cold(void **state)
{
	static const uint32_t warm_up_ms[] = {3000, 1500, 0, 2900, 1400};
	static const guint changes[] = {1, 1, 1, 2, 2};
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 0, 1000);
	for (guint i = 0; i < G_N_ELEMENTS(warm_up_ms); i++) {
		struct backend_change c = change(i + 1, "i-1", "ready");

		c.entry.sequence = i;
		c.entry.warm_up_ms = warm_up_ms[i];
		backend_list_apply_record(&l, &c, 1000 + i);
		assert_int_equal(l.recent->len, changes[i]);
	}
}

static void write_entry(struct backend_list *l, uint64_t offset,
			uint64_t server_start_ms, uint64_t sequence,
			const char *what, int64_t now)
{
	struct backend_change c = change(offset, "i-1", what);

	c.entry.server_start_ms = server_start_ms;
	c.entry.sequence = sequence;
	backend_list_apply_record(l, &c, now);
}

/* Late records of an earlier start or with a lower sequence are ignored. */
static void test_stale_records(void **state)
{
	struct backend_list l;
	struct seen s;

	init(&l, &s);
	read_empty_listing(&l, 1, 1000);
	write_entry(&l, 1, 5000, 8, "draining", 1000);
	write_entry(&l, 2, 5000, 7, "ready", 1010);
	assert_string_equal(state_of(&s, "i-1"), "draining");
	/* After a restart the sequence begins anew, and so does the state. */
	write_entry(&l, 3, 9000, 0, "ready", 1020);
	assert_string_equal(state_of(&s, "i-1"), "ready");
	write_entry(&l, 4, 5000, 9, "draining", 1030);
	assert_string_equal(state_of(&s, "i-1"), "ready");
	/* Late records don't bring back a removed server. */
	record(&l, 5, "i-1", "gone", 1040);
	assert_string_equal(state_of(&s, "i-1"), "gone");
	write_entry(&l, 6, 5000, 9, "ready", 1050);
	assert_string_equal(state_of(&s, "i-1"), "gone");
	/* A higher sequence or a later start does. */
	write_entry(&l, 7, 9000, 1, "ready", 1060);
	assert_string_equal(state_of(&s, "i-1"), "ready");
	record(&l, 8, "i-1", "gone", 1070);
	write_entry(&l, 9, 9500, 0, "ready", 1080);
	assert_string_equal(state_of(&s, "i-1"), "ready");
	/* Of a server without a start time the last record counts. */
	record(&l, 10, "i-2", "draining", 1090);
	record(&l, 11, "i-2", "ready", 1100);
	assert_string_equal(state_of(&s, "i-2"), "ready");
}

static void test_feed_and_gap(void **state)
{
	struct backend_list reader, fed;
	struct seen rs, fs;

	init(&reader, &rs);
	init(&fed, &fs);
	read_empty_listing(&reader, 0, 1000);
	/* An instance without a list must read a listing itself. */
	send_feed(&reader, &fed, false, 1000);
	read_empty_listing(&fed, 0, 1000);
	record(&reader, 0, "a", "ready", 1400);
	backend_list_advance(&reader, at(5), 1400, 1400);
	send_feed(&reader, &fed, true, 1450);
	assert_string_equal(state_of(&fs, "a"), "ready");
	assert_int_equal(fed.pos.offset, 5);
	assert_int_equal(fed.fresh_ms, 1400);
	/* This feed is lost; the next one covers it. */
	record(&reader, 5, "b", "ready", 1900);
	backend_list_advance(&reader, at(9), 1900, 1900);
	record(&reader, 9, "a", "draining", 2400);
	backend_list_advance(&reader, at(12), 2400, 2400);
	send_feed(&reader, &fed, true, 2400);
	assert_string_equal(state_of(&fs, "b"), "ready");
	assert_string_equal(state_of(&fs, "a"), "draining");
	/* A repeated or late feed changes nothing. */
	send_feed(&reader, &fed, true, 2410);
	/*
	 * After a long silence the changes covered by the feed begin too late.
	 */
	record(&reader, 12, "c", "ready", 2900);
	backend_list_advance(&reader, at(14), 2900, 2900);
	backend_list_advance(&reader, at(30), 6000, 6000);
	send_feed(&reader, &fed, false, 6000);
	assert_string_equal(state_of(&fs, "c"), "gone");
}

/* Deferred removals are fed as deferred, whether the entry returns or not. */
static void test_deferred_removal_is_fed(void **state)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	struct backend_list reader, fed;
	struct seen rs, fs;

	init(&reader, &rs);
	init(&fed, &fs);
	read_empty_listing(&reader, 0, 1000);
	record(&reader, 0, "a", "ready", 1000);
	record(&reader, 1, "b", "ready", 1000);
	backend_list_advance(&reader, at(2), 1000, 1000);
	backend_list_read_begin(&reader, 9000);
	backend_list_advance(&reader, at(2), 9000, 9000);
	/* The fed instance joins now, so it has seen no outage. */
	backend_list_export(&reader, all);
	backend_list_import(&fed, all, at(2), 9000, 9000);
	g_array_unref(all);
	record(&reader, 2, "a", "gone", 9000);
	record(&reader, 3, "b", "gone", 9000);
	backend_list_advance(&reader, at(4), 9000, 9000);
	send_feed(&reader, &fed, true, 9010);
	assert_string_equal(state_of(&fs, "a"), "ready");
	record(&reader, 4, "b", "ready", 10000);
	backend_list_advance(&reader, at(5), 10000, 10000);
	send_feed(&reader, &fed, true, 10010);
	backend_list_apply_deferred(&fed, 11300);
	backend_list_apply_deferred(&reader, 11300);
	assert_string_equal(state_of(&fs, "a"), "gone");
	assert_string_equal(state_of(&fs, "b"), "ready");
	assert_string_equal(state_of(&rs, "a"), "gone");
	assert_string_equal(state_of(&rs, "b"), "ready");
}

/* A peer's full list replaces a listing of the store; records follow it. */
static void test_import(void **state)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	struct backend_list l, fresh;
	struct seen s, fs;

	init(&l, &s);
	init(&fresh, &fs);
	read_empty_listing(&l, 0, 1000);
	record(&l, 3, "a", "ready", 1000);
	record(&l, 4, "b", "draining", 1000);
	record(&l, 5, "c", "ready", 1000);
	record(&l, 6, "c", "gone", 1000);
	backend_list_advance(&l, at(7), 1000, 1000);
	backend_list_export(&l, all);
	backend_list_import(&fresh, all, l.pos, 1000, 5000);
	assert_true(fresh.loaded);
	assert_int_equal(fresh.pos.offset, 7);
	assert_int_equal(fresh.fresh_ms, 1000);
	assert_string_equal(state_of(&fs, "a"), "ready");
	assert_string_equal(state_of(&fs, "b"), "draining");
	assert_string_equal(state_of(&fs, "c"), "gone");
	record(&fresh, 7, "a", "draining", 5100);
	assert_string_equal(state_of(&fs, "a"), "draining");
	g_array_unref(all);
}

/* A peer's older list neither removes nor reverts anything. */
static void test_import_stale(void **state)
{
	struct backend_list l, old;
	struct seen seen, old_seen;
	struct backend_change c;
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct backend_change));

	init(&old, &old_seen);
	read_empty_listing(&old, 0, 1000);
	c = change(1, "i-1", "ready");
	backend_list_apply_record(&old, &c, 1000);
	backend_list_advance(&old, at(2), 1000, 1000);
	backend_list_export(&old, all);
	init(&l, &seen);
	read_empty_listing(&l, 0, 1000);
	c = change(5, "i-1", "draining");
	backend_list_apply_record(&l, &c, 1100);
	c = change(6, "i-2", "ready");
	backend_list_apply_record(&l, &c, 1100);
	backend_list_advance(&l, at(7), 1100, 1100);
	backend_list_import(&l, all, at(2), 1000, 1200);
	assert_string_equal(state_of(&seen, "i-1"), "draining");
	assert_string_equal(state_of(&seen, "i-2"), "ready");
	assert_int_equal(l.pos.offset, 7);
	g_array_unref(all);
}

static void test_read_due(void **state)
{
	/*
	 * The first rank reads twice a second; others take over if nobody does.
	 */
	assert_in_range(backend_list_next_read_ms(0, false, 1000, 0, 0), 1400,
			1500);
	int64_t last = 0;

	for (unsigned rank = 1; rank < 600; rank++) {
		int64_t due =
			backend_list_next_read_ms(rank, rank % 2, 1000, 0, 0);

		assert_true(due >= last && due > 1500);
		/* Leaves time to read and act within two seconds. */
		assert_true(due <= 2400);
		last = due;
	}
	/* Retries are delayed, but by less than a second. */
	assert_in_range(backend_list_next_read_ms(0, true, 0, 5000, 1), 5100,
			5300);
	assert_in_range(backend_list_next_read_ms(0, true, 0, 5000, 50), 5500,
			6000);
	assert_in_range(backend_list_next_read_ms(100, false, 0, 5000, 50),
			5500, 6000);
	/* In a large system the instances behind the hubs retry less often. */
	assert_in_range(backend_list_next_read_ms(100, true, 0, 5000, 1), 5100,
			5300);
	assert_in_range(backend_list_next_read_ms(100, true, 0, 5000, 50), 7000,
			8000);
}

enum { RUNS = 60, STEPS = 400, INSTANCES = 4, IDS = 6 };

/* The log of a randomized history and the instances that follow it. */
struct simulation {
	GArray *log; /* struct backend_change, indexed by offset */
	struct backend_list lists[INSTANCES];
	struct seen seen[INSTANCES];
	GRand *rand;
	int64_t now;
};

static void simulation_write(struct simulation *w)
{
	static const char *const what[] = {"ready", "draining", "gone"};
	char id[8];
	struct backend_change c;

	g_snprintf(id, sizeof(id), "i-%d", g_rand_int_range(w->rand, 0, IDS));
	c = change(w->log->len, id, what[g_rand_int_range(w->rand, 0, 3)]);
	g_array_append_val(w->log, c);
}

/* Instance i reads the log and feeds the others; some datagrams are lost. */
static void simulation_read(struct simulation *w, int i)
{
	struct backend_list *l = &w->lists[i];
	struct backend_feed f;

	backend_list_read_begin(l, w->now);
	for (guint k = (guint)l->pos.offset; k < w->log->len; k++)
		backend_list_apply_record(
			l, &g_array_index(w->log, struct backend_change, k),
			w->now);
	backend_list_advance(l, at(w->log->len), w->now, w->now);
	for (int k = 0; k < INSTANCES; k++) {
		if (k == i || g_rand_int_range(w->rand, 0, 4) == 0)
			continue;
		backend_list_build_feed(l, &f, w->now);
		/* The instance's own read fills a gap later. */
		(void)backend_list_apply_feed(&w->lists[k], &f, w->now);
	}
}

static void run_history(guint32 seed)
{
	struct simulation w = {.rand = g_rand_new_with_seed(seed), .now = 1000};

	w.log = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	for (int i = 0; i < INSTANCES; i++) {
		init(&w.lists[i], &w.seen[i]);
		read_empty_listing(&w.lists[i], 0, w.now);
	}
	for (int i = 0; i < STEPS; i++) {
		w.now += g_rand_int_range(w.rand, 1, 300);
		if (g_rand_int_range(w.rand, 0, 40) == 0)
			w.now += 5000; /* outage of the store */
		if (g_rand_int_range(w.rand, 0, 3))
			simulation_write(&w);
		else
			simulation_read(&w,
					g_rand_int_range(w.rand, 0, INSTANCES));
		for (int k = 0; k < INSTANCES; k++)
			backend_list_apply_deferred(&w.lists[k], w.now);
	}
	for (int i = 0; i < INSTANCES; i++)
		simulation_read(&w, i);
	w.now += 5000;
	for (int k = 0; k < IDS; k++) {
		char id[8];
		const char *truth = "gone";

		g_snprintf(id, sizeof(id), "i-%d", k);
		for (guint n = 0; n < w.log->len; n++) {
			const struct backend_change *c =
				&g_array_index(w.log, struct backend_change, n);

			if (!strcmp(c->entry.id, id))
				truth = c->removed	    ? "gone"
					: c->entry.draining ? "draining"
							    : "ready";
		}
		for (int i = 0; i < INSTANCES; i++) {
			backend_list_apply_deferred(&w.lists[i], w.now);
			if (strcmp(state_of(&w.seen[i], id), truth))
				fail_msg("seed %u: instance %d has server %s "
					 "as %s, expected %s",
					 seed, i, id, state_of(&w.seen[i], id),
					 truth);
		}
	}
	g_rand_free(w.rand);
	g_array_unref(w.log);
}

static void test_histories(void **state)
{
	const char *env = g_getenv("MP_SEED");
	guint32 seed =
		env ? (guint32)g_ascii_strtoull(env, NULL, 10) : 20261202;

	print_message("seed %u\n", seed);
	for (guint32 i = 0; i < RUNS; i++)
		run_history(seed + i);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_records),
		cmocka_unit_test(test_expired_entries_return),
		cmocka_unit_test(test_removal_without_silence),
		cmocka_unit_test(test_turns_cold),
		cmocka_unit_test(test_stale_records),
		cmocka_unit_test(test_feed_and_gap),
		cmocka_unit_test(test_deferred_removal_is_fed),
		cmocka_unit_test(test_import),
		cmocka_unit_test(test_import_stale),
		cmocka_unit_test(test_read_due),
		cmocka_unit_test(test_histories),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
