/*
 * Tests of core/server_limit: which of several reports on a server's limit
 * counts.
 */
#include "tests/unit.h"

#include "core/server_limit.h"

/* Applies a response that was received at received_ms and has a limit. */
static enum limit_change limited_response(struct server_limit *l, double per_s,
					  int64_t sent_ms, int64_t received_ms)
{
	struct limit_report w = {true, per_s, sent_ms, received_ms,
				 LIMIT_BY_RESPONSE};

	return server_limit_update(l, &w, received_ms);
}

/* Applies a response without a limit. */
static enum limit_change
unlimited_response(struct server_limit *l, int64_t sent_ms, int64_t received_ms)
{
	struct limit_report w = {false, 0, sent_ms, received_ms,
				 LIMIT_BY_RESPONSE};

	return server_limit_update(l, &w, received_ms);
}

/* Reports in order start, change and end a limit. */
static void test_order(void **state)
{
	struct server_limit l = {0};

	assert_int_equal(limited_response(&l, 5, 100, 150), LIMIT_STARTED);
	assert_true(l.limited);
	assert_int_equal(l.since_ms, 150);
	assert_int_equal(limited_response(&l, 5, 200, 250), LIMIT_UNCHANGED);
	assert_int_equal(limited_response(&l, 7, 300, 350), LIMIT_CHANGED);
	assert_true(l.per_s == 7);
	assert_int_equal(l.since_ms, 150);
	assert_int_equal(unlimited_response(&l, 400, 450), LIMIT_ENDED);
	assert_false(l.limited);
	assert_int_equal(limited_response(&l, 2, 500, 550), LIMIT_STARTED);
	assert_int_equal(l.since_ms, 550);
}

/* A response in flight when the limit was received may be older than it. */
static void test_overtaken_response(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 5, 100, 150);
	assert_int_equal(unlimited_response(&l, 90, 200), LIMIT_UNCHANGED);
	assert_int_equal(unlimited_response(&l, 149, 210), LIMIT_UNCHANGED);
	assert_true(l.limited);
	assert_int_equal(unlimited_response(&l, 150, 220), LIMIT_ENDED);
}

/* The same applies to the last response that confirmed the limit. */
static void test_last_confirmation(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 5, 100, 150);
	limited_response(&l, 5, 160, 300);
	assert_int_equal(unlimited_response(&l, 200, 320), LIMIT_UNCHANGED);
	assert_int_equal(unlimited_response(&l, 300, 340), LIMIT_ENDED);
}

/* Of two responses of unknown order the lower limit counts. */
static void test_overtaken_limit(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 5, 100, 150);
	assert_int_equal(limited_response(&l, 9, 120, 160), LIMIT_UNCHANGED);
	assert_true(l.per_s == 5);
	assert_int_equal(limited_response(&l, 3, 120, 165), LIMIT_CHANGED);
	assert_true(l.per_s == 3);
	/* Certainly older. */
	assert_int_equal(limited_response(&l, 1, 50, 110), LIMIT_UNCHANGED);
	assert_true(l.per_s == 3);
}

/* A report from before the end doesn't restore the limit. */
static void test_late_report_after_end(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 5, 100, 150);
	unlimited_response(&l, 200, 250);
	assert_int_equal(limited_response(&l, 5, 100, 200), LIMIT_UNCHANGED);
	assert_false(l.limited);
	/* The order is unknown: it may be the newer one. */
	assert_int_equal(limited_response(&l, 5, 100, 220), LIMIT_STARTED);
}

/* A probe response without a limit counts only if earlier ones had one. */
static void test_probes(void **state)
{
	struct server_limit l = {0};
	struct limit_report q = {
		.sent_ms = 300, .received_ms = 301, .source = LIMIT_BY_PROBE};

	limited_response(&l, 5, 100, 150);
	assert_int_equal(server_limit_update(&l, &q, 301), LIMIT_UNCHANGED);
	assert_true(l.limited);
	q = (struct limit_report){true, 5, 310, 311, LIMIT_BY_PROBE};
	assert_int_equal(server_limit_update(&l, &q, 311), LIMIT_UNCHANGED);
	q = (struct limit_report){false, 0, 400, 401, LIMIT_BY_PROBE};
	assert_int_equal(server_limit_update(&l, &q, 401), LIMIT_ENDED);
}

/* No instance had a response for longer than the limit explains. */
static void test_stale(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 2, 100, 1000);
	assert_false(server_limit_is_stale(&l, 1000 + 6000));
	assert_true(server_limit_is_stale(&l, 1000 + 6001));
	/* A peer's report of a later response counts as well. */
	server_limit_update(
		&l, &(struct limit_report){true, 2, 4000, 5000, LIMIT_BY_PEER},
		6000);
	assert_false(server_limit_is_stale(&l, 5000 + 6000));
	/* The lower the limit the longer it takes, up to a bound. */
	limited_response(&l, 0.2, 6000, 7000);
	assert_false(server_limit_is_stale(&l, 7000 + 15000));
	limited_response(&l, 0, 8000, 9000);
	assert_false(server_limit_is_stale(&l, 9000 + 25000));
	assert_true(server_limit_is_stale(&l, 9000 + 25001));
	unlimited_response(&l, 40000, 40001);
	assert_false(server_limit_is_stale(&l, 99999));
}

/* A limit is unconfirmed 3 s after its last response, and not after its end. */
static void test_unconfirmed(void **state)
{
	struct server_limit l = {0};

	limited_response(&l, 0.3, 100, 1000);
	assert_false(server_limit_is_unconfirmed(&l, 4000));
	assert_true(server_limit_is_unconfirmed(&l, 4001));
	server_limit_update(
		&l,
		&(struct limit_report){true, 0.3, 4000, 5000, LIMIT_BY_PEER},
		6000);
	assert_false(server_limit_is_unconfirmed(&l, 8000));
	unlimited_response(&l, 9000, 9001);
	assert_false(server_limit_is_unconfirmed(&l, 99999));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_overtaken_response),
		cmocka_unit_test(test_last_confirmation),
		cmocka_unit_test(test_overtaken_limit),
		cmocka_unit_test(test_late_report_after_end),
		cmocka_unit_test(test_probes),
		cmocka_unit_test(test_stale),
		cmocka_unit_test(test_unconfirmed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
