/* Tests of control/feeder: which instance sends feeds, and to whom. */
#include "tests/unit.h"

#include "control/feeder.h"

/* In a large system only the hubs feed all after a read. */
static void test_after_read(void **state)
{
	assert_int_equal(feeder_target_after_read(false, 0), FEED_ALL);
	assert_int_equal(feeder_target_after_read(false, 12), FEED_ALL);
	assert_int_equal(feeder_target_after_read(true, 0), FEED_ALL);
	assert_int_equal(feeder_target_after_read(true, HUB_COUNT - 1),
			 FEED_ALL);
	assert_int_equal(feeder_target_after_read(true, HUB_COUNT), FEED_HUBS);
}

/* If the hubs can't read, the first one forwards what it received. */
static void test_first_hub_relays(void **state)
{
	struct feeder f = {.fresh_ms = 1000, .sent_ms = 1010};

	assert_int_equal(feeder_target_after_feed(&f, true, 0, 1600, 1700),
			 FEED_ALL);
	/* Nothing new, or too soon after the last feed. */
	assert_int_equal(feeder_target_after_feed(&f, true, 0, 1000, 1700),
			 FEED_NONE);
	assert_int_equal(feeder_target_after_feed(&f, true, 0, 1300, 1400),
			 FEED_NONE);
	/* Another instance forwards. */
	assert_int_equal(feeder_target_after_feed(&f, true, 1, 1600, 1700),
			 FEED_NONE);
	assert_int_equal(feeder_target_after_feed(&f, false, 0, 1600, 1700),
			 FEED_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_after_read),
		cmocka_unit_test(test_first_hub_relays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
