/* Servers that ask to back off or announce that they drain: what they get afterwards. */
#include "tests/unit.h"

#include "tests/bench.h"

enum { ROUNDS_MAX = 100 };

/* Calls one after the other until server i has got one; its counts begin anew. */
static void call_until_received(struct bench *b, int i)
{
	b->servers[i].received = 0;
	for (int k = 0; k < ROUNDS_MAX && !b->servers[i].received; k++)
		bench_run_until(b, bench_call(b, "GET", 1000));
	assert_true(b->servers[i].received);
	b->servers[i].received = b->servers[i].asked = 0;
}

/* Calls for some time; returns how many were served. */
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

/* Calls until server i has turned one away and asked to back off. */
static void ask_to_back_off(struct bench *b, int i, const char *header)
{
	b->servers[i].script = SCRIPT_REFUSE;
	b->servers[i].says = header;
	call_until_received(b, i);
	b->servers[i].script = SCRIPT_SERVE;
	b->servers[i].says = NULL;
}

static void assert_gets_nothing(struct bench *b, int i, int ms)
{
	int calls, served = call_for_ms(b, ms, &calls);

	assert_true(calls > 5);
	assert_int_equal(served, calls);
	assert_int_equal(b->servers[i].received, 0);
	assert_int_equal(b->servers[i].asked, 0);
}

static void assert_serves(struct bench *b, int i, int ms)
{
	int calls;

	call_for_ms(b, ms, &calls);
	assert_true(b->servers[i].received > 0);
}

static void list_again(struct bench *b, int i)
{
	backend_set_remove(&b->traffic.backends, b->servers[i].id);
	bench_run_ms(b, 5);
	bench_put(b, i, false);
}

static void test_requests_during_backoff(void **state)
{
	for (int told = 0; told < 2; told++) {
		struct bench *b = bench_new(2);

		b->servers[0].tells_load = b->servers[1].tells_load = told;
		ask_to_back_off(b, 0, "Retry-After: 0.5\r\n");
		assert_gets_nothing(b, 0, 450);
		assert_serves(b, 0, 600);
		bench_free(b);
	}
}

static void test_report_of_one_that_turns_away_taken_as_room(void **state)
{
	struct bench *b = bench_new(2);
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	ask_to_back_off(b, 0, "Retry-After: 0.3\r\nServer-Load: 0,0,2,100\r\n");
	assert_int_equal(s->load.at_ms, 0);
	bench_free(b);
}

static void test_backoff_lost_with_the_entry(void **state)
{
	struct bench *b = bench_new(2);

	ask_to_back_off(b, 0, "Retry-After: 0.5\r\n");
	list_again(b, 0);
	assert_gets_nothing(b, 0, 400);
	assert_serves(b, 0, 600);
	bench_free(b);
}

/* A later start under the same id has asked for nothing. */
static void test_backoff_ends_with_the_lifetime(void **state)
{
	struct bench *b = bench_new(2);

	ask_to_back_off(b, 0, "Retry-After: 30\r\n");
	bench_restart(b, 0, 5000);
	assert_serves(b, 0, 300);
	bench_free(b);
}

static void test_backoff_cut_short_by_a_shorter_one(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *first, *second;

	call_until_received(b, 0); /* one that is new gets one at a time */
	b->servers[1].busy = 2;
	b->servers[0].script = SCRIPT_REFUSE_LATE;
	b->servers[0].work_ms = 60;
	b->servers[0].says = "Retry-After: 0.6\r\n";
	first = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	second = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	assert_int_equal(b->servers[0].received, 2);
	bench_run_ms(b, 20);
	b->servers[0].says = "Retry-After: 0.05\r\n";
	b->servers[1].busy = 0;
	bench_run_until(b, first);
	bench_run_until(b, second);
	b->servers[0].script = SCRIPT_SERVE;
	b->servers[0].received = b->servers[0].asked = 0;
	assert_gets_nothing(b, 0, 400);
	bench_free(b);
}

static void test_waiting_request_sent_to_the_one_that_turns_away(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *first, *second;
	struct backend *s;

	call_until_received(b, 0);
	s = g_hash_table_lookup(b->traffic.backends.by_id, "i-0");
	b->servers[0].script = SCRIPT_REFUSE_LATE;
	b->servers[0].says = "Retry-After: 0.5\r\n";
	b->servers[0].work_ms = 60;
	b->servers[0].busy = 1;
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

	ask_to_back_off(b, 0, "Retry-After: Wed, 21 Oct 2015 07:28:00 GMT\r\n");
	assert_true(b->traffic.counters.invalid_values > 0);
	assert_serves(b, 0, 300);
	bench_free(b);
}

static void test_all_back_off_refused_with_the_first_resumption(void **state)
{
	struct bench *b = bench_new(2);

	ask_to_back_off(b, 0, "Retry-After: 4\r\n");
	ask_to_back_off(b, 1, "Retry-After: 2\r\n");
	for (int i = 0; i < 5; i++) {
		int64_t t0 = clock_ms();
		struct caller *c = bench_call(b, i % 2 ? "GET" : "POST", 20000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_true(clock_ms() - t0 < 30);
		assert_true(c->retry_after > 1.5 && c->retry_after < 3);
	}
	assert_int_equal(b->servers[0].received + b->servers[1].received, 0);
	assert_int_equal(b->servers[0].asked + b->servers[1].asked, 0);
	bench_free(b);
}

static void test_all_back_off_held_for_a_near_resumption(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	ask_to_back_off(b, 0, "Retry-After: 0.04\r\n");
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	assert_int_equal(b->servers[0].received, 1);
	bench_free(b);
}

static void announce_draining(struct bench *b, int i)
{
	b->servers[i].says = "Server-Leaving: 1\r\n";
	call_until_received(b, i);
	b->servers[i].says = NULL;
}

/* Neither a later entry nor a lapse ends what the server has said. */
static void test_requests_after_draining(void **state)
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

/* Also one whose entry comes after the news. */
static void test_drain_news_received_by_a_peer(void **state)
{
	struct bench *b = bench_new(2);
	struct drain_news *news = g_new0(struct drain_news, 1);

	backend_set_remove(&b->traffic.backends, "i-0");
	news->n = 2;
	g_strlcpy(news->items[0].id, "i-0", BACKEND_NAME_MAX);
	g_strlcpy(news->items[1].id, "i-1", BACKEND_NAME_MAX);
	news->items[1].server_start_ms =
		9; /* another lifetime than the one here */
	mailbox_send(&b->traffic.in, TO_TRAFFIC_DRAIN, news);
	bench_run_ms(b, 5);
	bench_put(b, 0, false);
	assert_gets_nothing(b, 0, 200);
	bench_free(b);
}

static void test_draining_announced_to_a_question(void **state)
{
	struct bench *b = bench_new(2);

	b->servers[0].says_asked = "Server-Leaving: 1\r\n";
	b->servers[0].ill = true;
	for (int k = 0; k < ROUNDS_MAX && !b->servers[0].asked; k++)
		bench_run_until(b, bench_call(b, "GET", 1000));
	b->servers[0].says_asked = NULL;
	b->servers[0].ill = false;
	b->servers[0].received = b->servers[0].asked = 0;
	assert_gets_nothing(b, 0, 200);
	bench_free(b);
}

/* An argument names the only test to run. */
int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_requests_during_backoff),
		cmocka_unit_test(
			test_report_of_one_that_turns_away_taken_as_room),
		cmocka_unit_test(test_backoff_lost_with_the_entry),
		cmocka_unit_test(test_backoff_ends_with_the_lifetime),
		cmocka_unit_test(test_backoff_cut_short_by_a_shorter_one),
		cmocka_unit_test(
			test_waiting_request_sent_to_the_one_that_turns_away),
		cmocka_unit_test(test_invalid_backoff_changes_nothing),
		cmocka_unit_test(
			test_all_back_off_refused_with_the_first_resumption),
		cmocka_unit_test(test_all_back_off_held_for_a_near_resumption),
		cmocka_unit_test(test_requests_after_draining),
		cmocka_unit_test(test_drain_news_received_by_a_peer),
		cmocka_unit_test(test_draining_announced_to_a_question),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
