/* Tests of control/feeder: who passes on what, and to whom. */
#include "tests/unit.h"

#include "control/feeder.h"

/* After a read: in a large system only the hubs feed all. */
static void test_after_read(void **state)
{
	assert_int_equal(feeder_after_read(false, 0), FEED_ALL);
	assert_int_equal(feeder_after_read(false, 12), FEED_ALL);
	assert_int_equal(feeder_after_read(true, 0), FEED_ALL);
	assert_int_equal(feeder_after_read(true, HUB_COUNT - 1), FEED_ALL);
	assert_int_equal(feeder_after_read(true, HUB_COUNT), FEED_HUBS);
}

/* The hubs can't read: the first passes on what others told them. */
static void test_relay(void **state)
{
	struct feeder f = {.fresh_ms = 1000, .sent_ms = 1010};

	assert_int_equal(feeder_after_feed(&f, true, 0, 1600, 1700), FEED_ALL);
	/* Nothing new, or too soon. */
	assert_int_equal(feeder_after_feed(&f, true, 0, 1000, 1700),
			 FEED_NOBODY);
	assert_int_equal(feeder_after_feed(&f, true, 0, 1300, 1400),
			 FEED_NOBODY);
	/* Not its duty. */
	assert_int_equal(feeder_after_feed(&f, true, 1, 1600, 1700),
			 FEED_NOBODY);
	assert_int_equal(feeder_after_feed(&f, false, 0, 1600, 1700),
			 FEED_NOBODY);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_after_read),
		cmocka_unit_test(test_relay),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
