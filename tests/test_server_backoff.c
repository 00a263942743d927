/*
 * Tests of what servers get after they have asked to back off or announced that
 * they drain.
 */
#include "tests/unit.h"

#include "tests/bench.h"

enum { ROUNDS_MAX = 100 };

/* Calls until server i has received a request, then resets its counts. */
static void call_until_received(struct bench *b, int i)
{
	b->servers[i].received = 0;
	for (int k = 0; k < ROUNDS_MAX && !b->servers[i].received; k++)
		bench_run_until(b, bench_call(b, "GET", 1000));
	assert_true(b->servers[i].received);
	b->servers[i].received = b->servers[i].probes = 0;
}

/*
 * Makes calls for `ms`; returns how many were served, and sets `calls` to their
 * number.
 */
static int call_for_ms(struct bench *b, int ms, int *calls)
{
	int64_t end = clock_ms() + ms;
	int served = 0;

	*calls = 0;
	while (clock_ms() < end) {
		struct caller *c = bench_call(b, "POST", 1000);

		bench_run_until(b, c);
		served += c->status == 200;
		++*calls;
	}
	return served;
}

/* Calls until server i has rejected a request and asked to back off. */
static void trigger_backoff(struct bench *b, int i, const char *header)
{
	b->servers[i].script = SCRIPT_REFUSE;
	b->servers[i].extra_headers = header;
	call_until_received(b, i);
	b->servers[i].script = SCRIPT_SERVE;
	b->servers[i].extra_headers = NULL;
}

static void assert_gets_nothing(struct bench *b, int i, int ms)
{
	int calls, served = call_for_ms(b, ms, &calls);

	assert_true(calls > 5);
	assert_int_equal(served, calls);
	assert_int_equal(b->servers[i].received, 0);
	assert_int_equal(b->servers[i].probes, 0);
}

static void assert_serves(struct bench *b, int i, int ms)
{
	int calls;

	call_for_ms(b, ms, &calls);
	assert_true(b->servers[i].received > 0);
}

/* Lets the entry of server i lapse and return. */
static void list_again(struct bench *b, int i)
{
	backend_set_remove(&b->traffic.backends, b->servers[i].id);
	bench_run_ms(b, 5);
	bench_put(b, i, false);
}

static void test_no_requests_during_backoff(void **state)
{
	for (int reported = 0; reported < 2; reported++) {
		struct bench *b = bench_new(2);

		b->servers[0].reports_load = b->servers[1].reports_load =
			reported;
		trigger_backoff(b, 0, "Retry-After: 0.5\r\n");
		assert_gets_nothing(b, 0, 450);
		assert_serves(b, 0, 600);
		bench_free(b);
	}
}

static void test_load_report_with_backoff_ignored(void **state)
{
	struct bench *b = bench_new(2);
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	trigger_backoff(b, 0, "Retry-After: 0.3\r\nServer-Load: 0,0,2,100\r\n");
	assert_int_equal(s->load.at_ms, 0);
	bench_free(b);
}

static void test_backoff_survives_entry(void **state)
{
	struct bench *b = bench_new(2);

	trigger_backoff(b, 0, "Retry-After: 0.5\r\n");
	list_again(b, 0);
	assert_gets_nothing(b, 0, 400);
	assert_serves(b, 0, 600);
	bench_free(b);
}

/* A later start under the same id has not asked to back off. */
static void test_backoff_ends_with_start(void **state)
{
	struct bench *b = bench_new(2);

	trigger_backoff(b, 0, "Retry-After: 30\r\n");
	bench_restart(b, 0, 5000);
	assert_serves(b, 0, 300);
	bench_free(b);
}

static void test_shorter_backoff_does_not_shorten(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *first, *second;

	call_until_received(b, 0); /* a new server gets one request at a time */
	b->servers[1].busy_slots = 2;
	b->servers[0].script = SCRIPT_REFUSE_LATE;
	b->servers[0].work_ms = 60;
	b->servers[0].extra_headers = "Retry-After: 0.6\r\n";
	first = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	second = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	assert_int_equal(b->servers[0].received, 2);
	bench_run_ms(b, 20);
	b->servers[0].extra_headers = "Retry-After: 0.05\r\n";
	b->servers[1].busy_slots = 0;
	bench_run_until(b, first);
	bench_run_until(b, second);
	b->servers[0].script = SCRIPT_SERVE;
	b->servers[0].received = b->servers[0].probes = 0;
	assert_gets_nothing(b, 0, 400);
	bench_free(b);
}

static void test_waiting_request_not_sent_during_backoff(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *first, *second;
	struct backend *s;

	call_until_received(b, 0);
	s = g_hash_table_lookup(b->traffic.backends.by_id, "i-0");
	b->servers[0].script = SCRIPT_REFUSE_LATE;
	b->servers[0].extra_headers = "Retry-After: 0.5\r\n";
	b->servers[0].work_ms = 60;
	b->servers[0].busy_slots = 1;
	first = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	second = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	assert_int_equal(s->service->waiting.length, 1);
	bench_run_until(b, first);
	bench_run_until(b, second);
	assert_int_equal(first->status, 503);
	assert_int_equal(second->status, 503);
	assert_int_equal(b->servers[0].received, 1);
	assert_int_equal(b->traffic.counters.withdrawn, 0);
	bench_free(b);
}

static void test_invalid_backoff_changes_nothing(void **state)
{
	struct bench *b = bench_new(2);

	trigger_backoff(b, 0, "Retry-After: Wed, 21 Oct 2015 07:28:00 GMT\r\n");
	assert_true(b->traffic.counters.invalid_values > 0);
	assert_serves(b, 0, 300);
	bench_free(b);
}

static void test_all_backing_off_retry_after_first(void **state)
{
	struct bench *b = bench_new(2);

	trigger_backoff(b, 0, "Retry-After: 4\r\n");
	trigger_backoff(b, 1, "Retry-After: 2\r\n");
	for (int i = 0; i < 5; i++) {
		int64_t t0 = clock_ms();
		struct caller *c = bench_call(b, i % 2 ? "GET" : "POST", 20000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_true(clock_ms() - t0 < 30);
		assert_true(c->retry_after > 1.5 && c->retry_after < 3);
	}
	assert_int_equal(b->servers[0].received + b->servers[1].received, 0);
	assert_int_equal(b->servers[0].probes + b->servers[1].probes, 0);
	bench_free(b);
}

static void test_all_backing_off_waits_if_short(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	trigger_backoff(b, 0, "Retry-After: 0.04\r\n");
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	assert_int_equal(b->servers[0].received, 1);
	bench_free(b);
}

static void announce_draining(struct bench *b, int i)
{
	b->servers[i].extra_headers = "Server-Leaving: 1\r\n";
	call_until_received(b, i);
	b->servers[i].extra_headers = NULL;
}

/*
 * Neither a new entry nor a lapse of the entry ends what the server has
 * announced.
 */
static void test_no_requests_after_draining(void **state)
{
	struct bench *b = bench_new(2);

	announce_draining(b, 0);
	assert_gets_nothing(b, 0, 200);
	bench_put(b, 0, false);
	assert_gets_nothing(b, 0, 200);
	list_again(b, 0);
	assert_gets_nothing(b, 0, 200);
	bench_restart(b, 0, 5000);
	assert_serves(b, 0, 300);
	bench_free(b);
}

/* Also if the entry of the server arrives after the announcement. */
static void test_draining_from_peer(void **state)
{
	struct bench *b = bench_new(2);
	struct drain_gossip *news = g_new0(struct drain_gossip, 1);

	backend_set_remove(&b->traffic.backends, "i-0");
	news->n = 2;
	g_strlcpy(news->items[0].id, "i-0", BACKEND_NAME_MAX);
	g_strlcpy(news->items[1].id, "i-1", BACKEND_NAME_MAX);
	news->items[1].server_start_ms =
		9; /* another start than the listed one */
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_DRAIN, news);
	bench_run_ms(b, 5);
	bench_put(b, 0, false);
	assert_gets_nothing(b, 0, 200);
	bench_free(b);
}

static void test_draining_in_probe_response(void **state)
{
	struct bench *b = bench_new(2);

	b->servers[0].probe_headers = "Server-Leaving: 1\r\n";
	b->servers[0].unhealthy = true;
	for (int k = 0; k < ROUNDS_MAX && !b->servers[0].probes; k++)
		bench_run_until(b, bench_call(b, "GET", 1000));
	b->servers[0].probe_headers = NULL;
	b->servers[0].unhealthy = false;
	b->servers[0].received = b->servers[0].probes = 0;
	assert_gets_nothing(b, 0, 200);
	bench_free(b);
}

/* With an argument, runs only the test of that name. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_requests_during_backoff),
		cmocka_unit_test(test_load_report_with_backoff_ignored),
		cmocka_unit_test(test_backoff_survives_entry),
		cmocka_unit_test(test_backoff_ends_with_start),
		cmocka_unit_test(test_shorter_backoff_does_not_shorten),
		cmocka_unit_test(test_waiting_request_not_sent_during_backoff),
		cmocka_unit_test(test_invalid_backoff_changes_nothing),
		cmocka_unit_test(test_all_backing_off_retry_after_first),
		cmocka_unit_test(test_all_backing_off_waits_if_short),
		cmocka_unit_test(test_no_requests_after_draining),
		cmocka_unit_test(test_draining_from_peer),
		cmocka_unit_test(test_draining_in_probe_response),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
