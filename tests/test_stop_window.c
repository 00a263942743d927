/* Tests of core/stop_window: which requests a stopping instance still takes. */
#include "tests/unit.h"

#include "core/stop_window.h"

enum { BEGIN_MS = 50000 };

static struct stop_window window(int64_t grace_ms)
{
	return (struct stop_window){
		.begin_ms = BEGIN_MS, .grace_ms = grace_ms, .keep_ms = 5000};
}

/* Times count from the stop. */
static bool has_time(const struct stop_window *w, int64_t at_ms,
		     int64_t deadline_ms, int64_t usual_ms)
{
	struct stop_request r = {BEGIN_MS + deadline_ms, usual_ms};

	return stop_window_has_time(w, &r, BEGIN_MS + at_ms);
}

static void a_deadline_before_the_end_is_certain(void **state)
{
	struct stop_window w = window(6000);
	int64_t end_ms = stop_window_end_ms(&w) - BEGIN_MS;

	for (int64_t at = 0; at <= end_ms; at += 100) {
		assert_true(has_time(&w, at, end_ms, 0));
		assert_true(has_time(&w, at, end_ms, 100000));
	}
	assert_false(has_time(&w, 0, end_ms + 1, 0));
}

/* Requests sent later than 3 s after the signal must have their response. */
static void late_requests_need_a_deadline_before_the_end(void **state)
{
	struct stop_window w = window(6000);
	int64_t end_ms = stop_window_end_ms(&w) - BEGIN_MS;

	for (int64_t at = 2900; at < end_ms; at += 100)
		assert_false(has_time(&w, at, end_ms + 1, 1));
}

static void early_requests_need_an_expected_end(void **state)
{
	struct stop_window w = window(6000);
	int64_t end_ms = stop_window_end_ms(&w) - BEGIN_MS;

	assert_true(has_time(&w, 0, 20000, end_ms));
	assert_false(has_time(&w, 0, 20000, end_ms + 1));
	assert_true(has_time(&w, 2000, 20000, end_ms - 2000));
	assert_false(has_time(&w, 2000, 20000, end_ms - 1999));
	assert_false(has_time(&w, 0, 20000, 0));
}

static void times_of_a_stop_are_in_order(void **state)
{
	static const int64_t grace_ms[] = {0, 50, 300, 1000, 6000, 600000};

	for (size_t i = 0; i < sizeof(grace_ms) / sizeof(*grace_ms); i++) {
		struct stop_window w = window(grace_ms[i]);

		assert_true(stop_window_listen_until_ms(&w) >= BEGIN_MS);
		assert_true(stop_window_end_ms(&w) >=
			    stop_window_listen_until_ms(&w));
		assert_true(stop_window_exit_ms(&w) >= stop_window_end_ms(&w));
		assert_true(stop_window_exit_ms(&w) <= BEGIN_MS + grace_ms[i]);
	}
}

/* Callers connect as long as they keep a response of the directory. */
static void connections_are_taken_while_callers_keep_the_address(void **state)
{
	struct stop_window w = window(6000);

	assert_int_equal(stop_window_listen_until_ms(&w), BEGIN_MS + 5000);
	w = window(60000);
	assert_int_equal(stop_window_listen_until_ms(&w), BEGIN_MS + 5000);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_deadline_before_the_end_is_certain),
		cmocka_unit_test(late_requests_need_a_deadline_before_the_end),
		cmocka_unit_test(early_requests_need_an_expected_end),
		cmocka_unit_test(times_of_a_stop_are_in_order),
		cmocka_unit_test(
			connections_are_taken_while_callers_keep_the_address),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
