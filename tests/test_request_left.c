/* Tests of traffic/request: callers that disconnect before their response. */
#include "tests/unit.h"

#include "common/event.h"
#include "tests/bench.h"
#include "traffic/request.h"

/* The caller disconnects: an idempotent request is cancelled at the server. */
static void test_caller_leaves(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	b->servers[0].work_ms = 300;
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 50);
	assert_int_equal(b->servers[0].running, 1);
	caller_disconnect(c);
	bench_run_ms(b, 50);
	assert_int_equal(b->servers[0].running, 0);
	assert_int_equal(b->traffic.requests.length, 0);
	/* A non-idempotent one runs to its end there. */
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 50);
	caller_disconnect(c);
	bench_run_ms(b, 50);
	assert_int_equal(b->servers[0].running, 1);
	bench_run_ms(b, 350);
	assert_int_equal(b->servers[0].running, 0);
	assert_int_equal(b->traffic.requests.length, 0);
	bench_free(b);
}

static unsigned completed_status, completed_count;

static void on_completed(struct request *r, unsigned status, struct lstr body)
{
	completed_status = status;
	completed_count++;
}

/*
 * The caller disconnects during the server selection: the request didn't
 * execute, and `completed` is called, on which the idempotency keys depend.
 */
static void test_caller_leaves_during_selection(void **state)
{
	struct bench *b = bench_new(1);
	struct caller_protocol counting;
	struct request *r;
	struct caller *c;

	b->servers[0].busy_slots = 2;
	c = bench_call(b, "POST", 1000);
	for (int i = 0; i < 20 && b->traffic.requests.length == 0; i++)
		bench_run_ms(b, 1);
	r = http_conn_user(b->traffic.caller_server.conns);
	assert_non_null(r);
	counting = *r->protocol;
	counting.completed = on_completed;
	r->protocol = &counting;
	completed_count = 0;
	caller_disconnect(c);
	bench_run_ms(b, 10);
	assert_int_equal(completed_count, 1);
	assert_int_equal(completed_status, 503);
	assert_int_equal(b->traffic.requests.length, 0);
	bench_free(b);
}

/* After the caller has left, a refused request isn't sent to another server. */
static void test_no_retry_after_caller_left(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	for (int i = 0; i < 2; i++) {
		bench_script(b, i, SCRIPT_REFUSE_LATE);
		b->servers[i].work_ms = 60;
	}
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	assert_int_equal(b->servers[0].received + b->servers[1].received, 1);
	caller_disconnect(c);
	bench_run_ms(b, 150);
	assert_int_equal(b->servers[0].received + b->servers[1].received, 1);
	assert_int_equal(b->traffic.requests.length, 0);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_leaves),
		cmocka_unit_test(test_caller_leaves_during_selection),
		cmocka_unit_test(test_no_retry_after_caller_left),
	};

	mp_log_init("test");
	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
