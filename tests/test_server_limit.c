/*
 * Tests of core/server_limit: which of the words that an instance hears of a
 * server's limit counts.
 */
#include "tests/unit.h"

#include "core/server_limit.h"

static enum limit_change named(struct server_limit *l, double per_s,
			       int64_t asked_ms, int64_t heard_ms)
{
	struct limit_report w = {true, per_s, asked_ms, heard_ms,
				 LIMIT_BY_RESPONSE};

	return server_limit_update(l, &w, heard_ms);
}

static enum limit_change unnamed(struct server_limit *l, int64_t asked_ms,
				 int64_t heard_ms)
{
	struct limit_report w = {false, 0, asked_ms, heard_ms,
				 LIMIT_BY_RESPONSE};

	return server_limit_update(l, &w, heard_ms);
}

static void test_begins_changes_ends(void **state)
{
	struct server_limit l = {0};

	assert_int_equal(named(&l, 5, 100, 150), LIMIT_STARTED);
	assert_true(l.limited);
	assert_int_equal(l.since_ms, 150);
	assert_int_equal(named(&l, 5, 200, 250), LIMIT_UNCHANGED);
	assert_int_equal(named(&l, 7, 300, 350), LIMIT_CHANGED);
	assert_true(l.per_s == 7);
	assert_int_equal(l.since_ms, 150);
	assert_int_equal(unnamed(&l, 400, 450), LIMIT_ENDED);
	assert_false(l.limited);
	assert_int_equal(named(&l, 2, 500, 550), LIMIT_STARTED);
	assert_int_equal(l.since_ms, 550);
}

/* An answer that was under way when the limit was heard may be of before. */
static void test_an_overtaken_answer_ends_nothing(void **state)
{
	struct server_limit l = {0};

	named(&l, 5, 100, 150);
	assert_int_equal(unnamed(&l, 90, 200), LIMIT_UNCHANGED);
	assert_int_equal(unnamed(&l, 149, 210), LIMIT_UNCHANGED);
	assert_true(l.limited);
	assert_int_equal(unnamed(&l, 150, 220), LIMIT_ENDED);
}

/* Nor does one that was asked for before the last that named it was heard. */
static void test_the_last_confirmation_counts(void **state)
{
	struct server_limit l = {0};

	named(&l, 5, 100, 150);
	named(&l, 5, 160, 300);
	assert_int_equal(unnamed(&l, 200, 320), LIMIT_UNCHANGED);
	assert_int_equal(unnamed(&l, 300, 340), LIMIT_ENDED);
}

/* Of two answers of the same time the tighter limit counts. */
static void test_overtaken_values(void **state)
{
	struct server_limit l = {0};

	named(&l, 5, 100, 150);
	assert_int_equal(named(&l, 9, 120, 160), LIMIT_UNCHANGED);
	assert_true(l.per_s == 5);
	assert_int_equal(named(&l, 3, 120, 165), LIMIT_CHANGED);
	assert_true(l.per_s == 3);
	/* Surely of before. */
	assert_int_equal(named(&l, 1, 50, 110), LIMIT_UNCHANGED);
	assert_true(l.per_s == 3);
}

/* A word of before the end doesn't bring the limit back. */
static void test_late_word_after_the_end(void **state)
{
	struct server_limit l = {0};

	named(&l, 5, 100, 150);
	unnamed(&l, 200, 250);
	assert_int_equal(named(&l, 5, 100, 200), LIMIT_UNCHANGED);
	assert_false(l.limited);
	/* Of the same time: it may be the newer one. */
	assert_int_equal(named(&l, 5, 100, 220), LIMIT_STARTED);
}

/* Questions that never named it say nothing by not naming it. */
static void test_questions(void **state)
{
	struct server_limit l = {0};
	struct limit_report q = {
		.sent_ms = 300, .received_ms = 301, .source = LIMIT_BY_PROBE};

	named(&l, 5, 100, 150);
	assert_int_equal(server_limit_update(&l, &q, 301), LIMIT_UNCHANGED);
	assert_true(l.limited);
	q = (struct limit_report){true, 5, 310, 311, LIMIT_BY_PROBE};
	assert_int_equal(server_limit_update(&l, &q, 311), LIMIT_UNCHANGED);
	q = (struct limit_report){false, 0, 400, 401, LIMIT_BY_PROBE};
	assert_int_equal(server_limit_update(&l, &q, 401), LIMIT_ENDED);
}

/* Nobody has heard from the server for longer than the limit explains. */
static void test_stale(void **state)
{
	struct server_limit l = {0};

	named(&l, 2, 100, 1000);
	assert_false(server_limit_is_stale(&l, 1000 + 6000));
	assert_true(server_limit_is_stale(&l, 1000 + 6001));
	/* A peer's word of what it heard meanwhile counts as well. */
	server_limit_update(
		&l, &(struct limit_report){true, 2, 4000, 5000, LIMIT_BY_PEER},
		6000);
	assert_false(server_limit_is_stale(&l, 5000 + 6000));
	/* The lower it is the longer it takes, but not for ever. */
	named(&l, 0.2, 6000, 7000);
	assert_false(server_limit_is_stale(&l, 7000 + 15000));
	named(&l, 0, 8000, 9000);
	assert_false(server_limit_is_stale(&l, 9000 + 25000));
	assert_true(server_limit_is_stale(&l, 9000 + 25001));
	unnamed(&l, 40000, 40001);
	assert_false(server_limit_is_stale(&l, 99999));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_begins_changes_ends),
		cmocka_unit_test(test_an_overtaken_answer_ends_nothing),
		cmocka_unit_test(test_the_last_confirmation_counts),
		cmocka_unit_test(test_overtaken_values),
		cmocka_unit_test(test_late_word_after_the_end),
		cmocka_unit_test(test_questions),
		cmocka_unit_test(test_stale),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
