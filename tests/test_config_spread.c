/* Tests of core/config_spread: who fetches a version from whom, and when. */
#include "tests/unit.h"

#include <glib.h>

#include "core/config_spread.h"

enum {
	TICK_MS = 100,
	TRANSFER_MS = 100, /* of one answer, as long as few are sent */
	LIMIT_MS = 900,	   /* until the store is read at the latest */
	DC_INSTANCES = 143,
};

static void test_forwarder(void **state)
{
	struct config_spread s = {0};

	assert_int_equal(config_spread_next(&s, 0, 0.5, 1000),
			 SPREAD_FROM_REPORTER);
	assert_int_equal(config_spread_next(&s, 0, 0.5, 1100), SPREAD_WAIT);
	assert_int_equal(config_spread_next(&s, 0, 0.5, 1200),
			 SPREAD_FROM_REPORTER);
	config_spread_end(&s);
	assert_int_equal(
		config_spread_next(&s, CONFIG_FORWARDERS - 1, 0.5, 5000),
		SPREAD_FROM_REPORTER);
}

/* The others wait until the forwarders have the version, then try them. */
static void test_others(void **state)
{
	struct config_spread s = {0};

	assert_int_equal(config_spread_next(&s, CONFIG_FORWARDERS, 0, 1000),
			 SPREAD_WAIT);
	assert_int_equal(config_spread_next(&s, CONFIG_FORWARDERS, 0, 1100),
			 SPREAD_FROM_FORWARDER);
	assert_int_equal(config_spread_next(&s, CONFIG_FORWARDERS, 0, 1200),
			 SPREAD_WAIT);
	assert_int_equal(config_spread_next(&s, CONFIG_FORWARDERS, 0, 1300),
			 SPREAD_FROM_FORWARDER);
}

/* A call to a store that is silent isn't waited for. */
static void test_silent_store(void **state)
{
	assert_false(config_spread_replaces_call(0, 5000));
	assert_false(config_spread_replaces_call(1000, 1700));
	assert_true(config_spread_replaces_call(1000, 2000));
}

/* If neither the reporter nor a forwarder answers, the store is read in time. */
static void test_store_in_time(void **state)
{
	for (unsigned rank = 0; rank < 10; rank++) {
		struct config_spread s = {0};
		int64_t now = 1000;

		while (config_spread_next(&s, rank, rank / 10.0, now) !=
		       SPREAD_FROM_STORE)
			now += TICK_MS;
		assert_in_range(now - 1000, 500, LIMIT_MS);
	}
}

/*
 * A data centre's instances hear of a version at once. Forwarders have it after
 * one transfer; all others get it from them, and few do so in the same 100 ms.
 */
static void test_data_centre(void **state)
{
	struct config_spread s[DC_INSTANCES] = {0};
	unsigned most = 0, store = 0, done = 0;

	for (int64_t now = 0; now <= LIMIT_MS; now += TICK_MS) {
		unsigned fetches = 0;

		for (unsigned i = CONFIG_FORWARDERS; i < DC_INSTANCES; i++) {
			enum config_spread_step step;

			if (s[i].since_ms < 0)
				continue;
			step = config_spread_next(
				&s[i], i, (i * 37 % 100) / 100.0, 10000 + now);
			store += step == SPREAD_FROM_STORE;
			if (step != SPREAD_FROM_FORWARDER)
				continue;
			fetches++;
			if (now >= TRANSFER_MS) {
				s[i].since_ms = -1;
				done++;
			}
		}
		most = MAX(most, fetches);
	}
	assert_int_equal(done, DC_INSTANCES - CONFIG_FORWARDERS);
	assert_int_equal(store, 0);
	assert_true(most <= DC_INSTANCES * 6 / 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_forwarder),
		cmocka_unit_test(test_others),
		cmocka_unit_test(test_silent_store),
		cmocka_unit_test(test_store_in_time),
		cmocka_unit_test(test_data_centre),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
