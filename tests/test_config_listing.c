/*
 * Tests of control/config_listing: a listing of the configuration's topic that
 * has several pages. Results are passed in directly; no store runs.
 */
#include "tests/unit.h"

#include <errno.h>

#include "core/backend.h"
#include "http/socket.h"
#include "tests/watched_config.h"

static const struct config_source source = {
	.topic = "keyed.op",
	.key = "config",
	.evacuation_prefix = "evacuate/",
	.decode = decode,
};

static struct config_watch watch;

static int setup(void **state)
{
	socket_parse_addr("127.0.0.1:1", &store.addr);
	config_watch_start(&watch, ev_default_loop(0), &store, &source,
			   on_changed, NULL);
	watch.polls = true;
	applied = 0;
	return 0;
}

static int teardown(void **state)
{
	store_cancel(&watch.store);
	ev_timer_stop(watch.loop, &watch.retry);
	config_listing_clear(&watch.pages);
	buf_free(&watch.record);
	return 0;
}

/* Sends the first request of a listing. */
static void begin_listing(void)
{
	ev_timer_stop(watch.loop, &watch.retry);
	config_watch_read(&watch);
	assert_int_equal(watch.store.call, STORE_LIST);
	assert_int_equal(watch.store.after.len, 0);
}

/* Answers the pending request with a page of one record. */
static void answer(const char *key, const char *value, uint64_t end, bool more,
		   bool incomplete)
{
	struct store_record rec = {
		.pos = at(end - 1), .key = lstr0(key), .value = lstr0(value)};
	struct store_result r = {.end = at(end),
				 .records = &rec,
				 .nrecords = 1,
				 .more = more,
				 .incomplete = incomplete,
				 .last_key = lstr0(key)};

	store_cancel(&watch.store);
	watch.store.done(watch.store.priv, &r);
}

/* Guards against instances without a configuration beside foreign keys. */
static void test_configuration_on_a_later_page(void **state)
{
	begin_listing();
	answer("a&b", "odd", 10, true, false);
	assert_int_equal(watch.store.call, STORE_LIST);
	assert_true(lstr_eq(buf_lstr(&watch.store.after), LSTR("a&b")));
	answer("config", "7", 12, true, false);
	/* What the last page holds is put into force at the same time. */
	assert_int_equal(applied, 0);
	answer("evacuate/dc-1", "x", 12, false, false);
	assert_int_equal(applied, 1);
	assert_int_equal(watch.version, 7);
	assert_int_equal(watch.evacuations.n, 1);
	/* Records since the first page may be missing from it. */
	assert_int_equal(watch.pos.offset, 10);
	assert_true(watch.listed);
}

static void test_end_before_the_configuration_is_a_failure(void **state)
{
	begin_listing();
	answer("a&b", "odd", 10, false, true);
	assert_false(watch.listed);
	assert_int_equal(watch.failures, 1);
	assert_true(ev_is_active(&watch.retry));
	/* The next attempt begins anew, without the first one's records. */
	begin_listing();
	answer("config", "7", 10, false, false);
	assert_int_equal(watch.version, 7);
	assert_int_equal(watch.failures, 0);
}

static void test_failed_page_changes_nothing(void **state)
{
	struct store_result failed = {.err = -ETIMEDOUT};

	begin_listing();
	answer("config", "7", 10, true, false);
	store_cancel(&watch.store);
	watch.store.done(watch.store.priv, &failed);
	assert_int_equal(applied, 0);
	assert_false(watch.listed);
	begin_listing();
	answer("config", "8", 11, false, false);
	assert_int_equal(applied, 1);
	assert_int_equal(watch.version, 8);
}

static void test_incomplete_listing_restores_no_data_centre(void **state)
{
	begin_listing();
	answer("config", "7", 10, true, false);
	answer("evacuate/dc-1", "x", 10, false, false);
	assert_int_equal(watch.evacuations.n, 1);
	watch.relist = true;
	store_cancel(&watch.store);
	begin_listing();
	answer("config", "8", 12, false, true);
	assert_int_equal(watch.version, 8);
	assert_int_equal(watch.evacuations.n, 1);
	/* A complete one without the record does. */
	watch.relist = true;
	begin_listing();
	answer("config", "9", 14, false, false);
	assert_int_equal(watch.evacuations.n, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_configuration_on_a_later_page, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_end_before_the_configuration_is_a_failure, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_failed_page_changes_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_incomplete_listing_restores_no_data_centre, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
