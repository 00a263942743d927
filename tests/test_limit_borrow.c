/*
 * Tests of core/limit_borrow: when requests are sent to peers, and which grants
 * are accepted.
 */
#include "tests/unit.h"

#include "core/limit_borrow.h"

/* One request at a time; after a few without a grant the delay doubles. */
static void test_backoff(void **state)
{
	struct limit_borrow w = {0};
	int64_t now = 1000, last = 0;
	int64_t delays[12];

	for (int i = 0; i < 12; i++) {
		while (!limit_borrow_is_due(&w, now))
			now++;
		delays[i] = now - last;
		last = now;
		limit_borrow_request(&w, now);
		assert_false(limit_borrow_is_due(&w, now));
		assert_int_equal(limit_borrow_deadline_ms(&w), now + 20);
	}
	assert_int_equal(delays[1], 20);
	assert_int_equal(delays[3], 20);
	assert_int_equal(delays[4], 40);
	assert_int_equal(delays[5], 80);
	assert_int_equal(delays[11], 2000);
}

/* A grant for the last request counts, and the next request is due soon. */
static void test_grants(void **state)
{
	struct limit_borrow w = {0};
	uint32_t serial = 0;

	assert_false(limit_borrow_accept(&w, 0, 7, 1000));
	for (int i = 0; i < 8; i++)
		serial = limit_borrow_request(&w, 1000 + 3000 * i);
	assert_false(limit_borrow_is_due(&w, 22100));
	assert_false(limit_borrow_accept(&w, serial - 1, 7, 22010));
	assert_true(limit_borrow_accept(&w, serial, 7, 22010));
	assert_int_equal(w.lender, 7);
	assert_true(limit_borrow_is_due(&w, 22100));
	assert_int_equal(limit_grant_expiry_ms(22010), 22210);
}

/* A grant for a request of long ago is ignored. */
static void test_late_grant(void **state)
{
	struct limit_borrow w = {0};
	uint32_t serial = limit_borrow_request(&w, 1000);

	assert_true(limit_borrow_accept(&w, serial, 7, 1200));
	assert_false(limit_borrow_accept(&w, serial, 7, 1201));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_grants),
		cmocka_unit_test(test_late_grant),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
