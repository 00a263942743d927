/*
 * Tests of control/backend_watch: which events count as an answer of the store,
 * and when it is read. Results are passed in directly; no store runs.
 */
#include "tests/unit.h"

#include <errno.h>

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "http/socket.h"
#include "misc/backoff.h"
#include "misc/clock.h"

static void on_changed(void *priv, const struct backend_change *c)
{
}

static void on_read_done(void *priv, bool recovered)
{
}

static void begin(struct backend_watch *w)
{
	static struct store_endpoint unreachable;

	socket_parse_addr("127.0.0.1:1", &unreachable.addr);
	backend_watch_start(w, ev_default_loop(0), &unreachable, on_changed,
			    on_read_done, NULL);
}

/* The store answers a request for a full listing that was sent at `sent_ms`. */
static void answer_listing(struct backend_watch *w, int64_t sent_ms)
{
	struct store_result r = {.end = {0, 10}};

	w->read_sent_ms = sent_ms;
	w->full_listing = true;
	w->store.done(w->store.priv, &r);
}

/*
 * Guards against feeds being counted as answers of the store. Two instances
 * polled for the configuration and were cut off from the store without an
 * error. Another one read the list of servers and fed it to them, so each kept
 * reporting its configuration as confirmed just now. No other instance polled,
 * and a version was in force 3 s after its confirmation instead of 2.5 s (102
 * instances; event 300 was logged by the pollers at 3.9 and 4.2 s, the version
 * was confirmed at 2.7 s, and the polls ended at 4.9 and 5.4 s).
 */
static void test_feed_is_no_store_answer(void **state)
{
	int64_t now_ms = clock_boot_ms();
	struct backend_feed feed = {
		.from = {0, 10}, .to = {0, 10}, .age_ms = 0};
	static struct store_endpoint store;
	struct config_watch config = {.store.store = &store};
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms - 2000);
	/* The poll waits for an answer that never comes. */
	config.store.call = STORE_READ;
	config.call_sent_ms = now_ms - 2100;
	feed.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	backend_watch_apply_feed(&w, &feed, now_ms);
	assert_int_equal(w.list.fresh_ms, now_ms);
	assert_int_equal(config_watch_age_ms(&config, w.answered_ms, now_ms),
			 2000);
	/* An answer of the store to this instance does count. */
	answer_listing(&w, now_ms - 100);
	assert_int_equal(config_watch_age_ms(&config, w.answered_ms, now_ms),
			 100);
	g_array_unref(feed.changes);
}

/* A failed call does not count. */
static void test_failure_is_no_store_answer(void **state)
{
	struct store_result failed = {.err = -ETIMEDOUT};
	int64_t now_ms = clock_boot_ms();
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms - 2000);
	w.read_sent_ms = now_ms;
	w.store.done(w.store.priv, &failed);
	assert_int_equal(w.answered_ms, now_ms - 2000);
}

/* A feed from `from` to 20, as of now_ms. */
static void feed(struct backend_watch *w, uint64_t from, int64_t now_ms)
{
	struct backend_feed f = {.from = {0, from}, .to = {0, 20}};

	f.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	backend_watch_apply_feed(w, &f, now_ms);
	g_array_unref(f.changes);
}

/* Returns whether a tick starts a call to the store; it then fails. */
static bool reads(struct backend_watch *w, int64_t now_ms)
{
	unsigned before = (unsigned)w->store.calls;

	backend_watch_tick(w, true, 40, true, now_ms);
	if (w->store.calls == before)
		return false;
	store_cancel(&w->store);
	return true;
}

/*
 * Guards against a read of the store by every instance of a large deployment
 * whenever a feed lacks changes: peers get time to close the gap.
 */
static void test_peers_close_a_gap_first(void **state)
{
	int64_t now_ms = clock_boot_ms();
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms);
	w.gap_delay_ms = 1000;
	feed(&w, 15, now_ms);
	assert_true(w.gap);
	assert_false(reads(&w, now_ms + 100));
	/* Later feeds don't fit either, and don't put off the read. */
	feed(&w, 15, now_ms + 900);
	assert_false(reads(&w, now_ms + 999));
	assert_true(reads(&w, now_ms + 1000));

	begin(&w);
	answer_listing(&w, now_ms);
	w.gap_delay_ms = 1000;
	feed(&w, 15, now_ms);
	feed(&w, 10, now_ms + 300);
	assert_false(w.gap);
	assert_false(reads(&w, now_ms + 1000));

	/* The first instances of a data centre read at once. */
	begin(&w);
	answer_listing(&w, now_ms);
	feed(&w, 15, now_ms);
	assert_true(reads(&w, now_ms + 100));
}

/*
 * While the hubs have no news, as during an outage of the store, all instances
 * behind them together try to read it about every 50 ms, however many they are.
 */
static void test_attempts_during_an_outage_are_bounded(void **state)
{
	enum { INSTANCES = 400, OUTAGE_MS = 8000, INTERVAL_MS = 50 };
	static struct backend_watch all[INSTANCES];
	int64_t start_ms = clock_boot_ms();
	unsigned attempts = 0;

	for (int i = 0; i < INSTANCES; i++) {
		begin(&all[i]);
		answer_listing(&all[i], start_ms);
	}
	for (int64_t t = start_ms; t < start_ms + OUTAGE_MS; t += 100) {
		for (int i = 0; i < INSTANCES; i++) {
			backoff_spread(&all[i].spread_ms,
				       INTERVAL_MS * INSTANCES,
				       g_random_double());
			if (!reads(&all[i], t))
				continue;
			all[i].failures++;
			attempts++;
		}
	}
	print_message("%u attempts\n", attempts);
	assert_true(attempts > 0);
	assert_true(attempts <= OUTAGE_MS / INTERVAL_MS * 3 / 2);
}

/* A listing answered by a page behind which the store leads nowhere. */
static void answer_incomplete(struct backend_watch *w, int64_t sent_ms)
{
	struct store_result r = {.end = {0, 20}, .incomplete = true};

	w->read_sent_ms = sent_ms;
	w->full_listing = true;
	w->store.done(w->store.priv, &r);
}

/*
 * Guards against servers that are removed, or a start that never ends, because
 * a listing can't be read to its end.
 */
static void test_incomplete_listing_removes_nothing(void **state)
{
	struct backend_change c = {.pos = {0, 5}, .entry.id = "i-1"};
	int64_t now_ms = clock_boot_ms();
	struct backend_watch w;

	begin(&w);
	answer_incomplete(&w, now_ms);
	assert_true(w.list.loaded);
	assert_int_equal(w.list.pos.offset, 20);
	backend_list_apply_record(&w.list, &c, now_ms);
	answer_incomplete(&w, now_ms);
	assert_non_null(g_hash_table_lookup(w.list.entries, "i-1"));
	/* The log is read meanwhile, and the listing repeated after a pause. */
	backend_watch_tick(&w, true, 0, false, now_ms + 4000);
	assert_int_equal(w.store.call, STORE_READ);
	store_cancel(&w.store);
	backend_watch_tick(&w, true, 0, false, clock_boot_ms() + 5000);
	assert_int_equal(w.store.call, STORE_LIST);
	store_cancel(&w.store);
	/* A complete one does remove it. */
	answer_listing(&w, now_ms + 5000);
	assert_null(g_hash_table_lookup(w.list.entries, "i-1"));
	backend_watch_tick(&w, true, 0, false, now_ms + 20000);
	assert_int_equal(w.store.call, STORE_READ);
	store_cancel(&w.store);
}

/* Applies a record that a read has returned. */
static void answer_read(struct backend_watch *w, struct lstr key,
			struct lstr value)
{
	struct store_record rec = {.pos = {0, 15}, .key = key, .value = value};
	struct store_result r = {
		.end = {0, 16}, .records = &rec, .nrecords = 1};

	w->full_listing = false;
	w->store.done(w->store.priv, &r);
}

/* Guards against the removal of a server whose id begins an odd key. */
static void test_key_with_zero_byte_removes_nothing(void **state)
{
	struct backend_change c = {.pos = {0, 5}, .entry.id = "i-1"};
	int64_t now_ms = clock_boot_ms();
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms);
	backend_list_apply_record(&w.list, &c, now_ms);
	answer_read(&w, LSTR("i-1\0x"), LSTR("odd"));
	answer_read(&w, LSTR("i-1\0"), LSTR(""));
	assert_int_equal(g_hash_table_size(w.list.entries), 1);
	/* An odd value under the id itself does remove it. */
	answer_read(&w, LSTR("i-1"), LSTR("odd"));
	assert_int_equal(g_hash_table_size(w.list.entries), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_feed_is_no_store_answer),
		cmocka_unit_test(test_failure_is_no_store_answer),
		cmocka_unit_test(test_peers_close_a_gap_first),
		cmocka_unit_test(test_attempts_during_an_outage_are_bounded),
		cmocka_unit_test(test_incomplete_listing_removes_nothing),
		cmocka_unit_test(test_key_with_zero_byte_removes_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
