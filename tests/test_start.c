/* Tests of control/start: where a starting instance gets its state from. */
#include "tests/unit.h"

#include "control/start.h"

/*
 * An instance of a large system that has read the members' records and has
 * heard from peers that can serve.
 */
static const struct start_state large = {.large = true,
					 .members_read = true,
					 .members_read_ms = 1020,
					 .ready_peers = 30,
					 .rank = 40,
					 .started_ms = 1000};

static void test_members_read_first(void **state)
{
	struct start_state v = {.started_ms = 1000};

	/* The number of instances isn't known yet. */
	assert_false(start_should_read_store(&v, 1050));
	v.members_read = true;
	assert_true(start_should_read_store(&v, 1060));
	assert_false(start_should_fetch_from_peers(&v, 0));
	/* The store doesn't answer: use both the store and peers. */
	v.members_read = false;
	v.member_failures = 1;
	assert_true(start_should_read_store(&v, 2100));
	assert_true(start_should_fetch_from_peers(&v, 1));
}

static void test_large(void **state)
{
	struct start_state v = large;

	assert_false(start_should_read_store(&v, 1100));
	assert_true(start_should_fetch_from_peers(&v, 0));
	/* The first two read the store, so that others can ask them. */
	v.rank = 1;
	assert_true(start_should_read_store(&v, 1100));
	v.rank = 2;
	assert_false(start_should_read_store(&v, 1100));
	/* No peer has answered in time. */
	assert_true(start_should_read_store(&v, 3600));
}

/* After a crash of all instances no peer can help, and callers are waiting. */
static void test_no_peer_ready(void **state)
{
	struct start_state v = large;

	v.ready_peers = 0;
	/* The first heartbeats may still be answered. */
	assert_false(start_should_read_store(&v, 1060));
	assert_true(start_should_read_store(&v, 1120));
	/* Callers don't wait yet when the whole system starts. */
	v.first_start = true;
	assert_false(start_should_read_store(&v, 1120));
	assert_false(start_should_read_store(&v, 3400));
	assert_true(start_should_read_store(&v, 3600));
}

/* A peer refuses requests if too many arrive at once. */
static void test_refused(void **state)
{
	struct start_state v = large;

	v.failed_fetches = 1;
	assert_true(start_should_read_store(&v, 1100));
	assert_true(start_should_fetch_from_peers(&v, 0));
	v.first_start = true;
	assert_false(start_should_read_store(&v, 1100));
}

static void test_startup_done(void **state)
{
	struct start_state v = large;

	v.done = true;
	assert_true(start_should_read_store(&v, 1100));
	assert_false(start_should_fetch_from_peers(&v, 3));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_members_read_first),
		cmocka_unit_test(test_large),
		cmocka_unit_test(test_no_peer_ready),
		cmocka_unit_test(test_refused),
		cmocka_unit_test(test_startup_done),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
