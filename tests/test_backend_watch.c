/*
 * Tests of control/backend_watch: what counts as a sign of the store. Its
 * answers are handed in; no store runs here.
 */
#include "tests/unit.h"

#include <errno.h>

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "http/socket.h"
#include "misc/clock.h"

static void on_changed(void *priv, const struct backend_change *c)
{
}

static void on_read_done(void *priv, bool recovered)
{
}

static void begin(struct backend_watch *w)
{
	static struct store_endpoint nobody;

	socket_parse_addr("127.0.0.1:1", &nobody.addr);
	backend_watch_start(w, ev_default_loop(0), &nobody, on_changed,
			    on_read_done, NULL);
}

/* The store answers a whole listing that was sent at `sent_ms`. */
static void answer_listing(struct backend_watch *w, int64_t sent_ms)
{
	struct store_result r = {.end = {0, 10}};

	w->tried_ms = sent_ms;
	w->asked_all = true;
	w->store.done(w->store.priv, &r);
}

/*
 * Two instances polled for the configuration, and both were cut off from the
 * store, silently. Another one read the list of servers and fed them, so each
 * went on to say that it knew of nothing newer as of just now. No other polled,
 * and a version was in force 3 s after its confirmation, not 2.5 (102
 * instances; the pollers' own lines 300 came at 3.9 and 4.2 s, the version had
 * been confirmed at 2.7 s, and their polls ended at 4.9 and 5.4 s).
 */
static void test_fed_is_no_sign(void **state)
{
	int64_t now_ms = clock_ms();
	struct backend_feed feed = {
		.from = {0, 10}, .to = {0, 10}, .age_ms = 0};
	static struct store_endpoint store;
	struct config_watch config = {.store.store = &store};
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms - 2000);
	/* Its poll waits for an answer that never comes. */
	config.store.call = STORE_READ;
	config.asked_ms = now_ms - 2100;
	feed.changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	backend_watch_feed(&w, &feed, now_ms);
	assert_int_equal(w.list.fresh_ms, now_ms);
	assert_int_equal(config_watch_age_ms(&config, w.answered_ms, now_ms),
			 2000);
	/* An answer to itself is one. */
	answer_listing(&w, now_ms - 100);
	assert_int_equal(config_watch_age_ms(&config, w.answered_ms, now_ms),
			 100);
	g_array_unref(feed.changes);
}

/* A call that fails is none. */
static void test_failure_is_no_sign(void **state)
{
	struct store_result failed = {.err = -ETIMEDOUT};
	int64_t now_ms = clock_ms();
	struct backend_watch w;

	begin(&w);
	answer_listing(&w, now_ms - 2000);
	w.tried_ms = now_ms;
	w.store.done(w.store.priv, &failed);
	assert_int_equal(w.answered_ms, now_ms - 2000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fed_is_no_sign),
		cmocka_unit_test(test_failure_is_no_sign),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
