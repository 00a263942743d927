/*
 * Tests of traffic/upstream: feedback in responses that nobody waits for, and
 * requests cancelled before their first byte.
 */
#include "tests/unit.h"

#include "tests/bench.h"

#include "traffic/upstream.h"

#define REFUSAL                                              \
	"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: " \
	"9\r\nServer-Leaving: 1\r\n"                         \
	"Content-Length: 0\r\n\r\n"

static struct backend *backend_of(struct bench *b, int i)
{
	return g_hash_table_lookup(b->traffic.backends.by_id, b->servers[i].id);
}

static void assert_feedback_applied(struct bench *b, bool applied)
{
	const struct server_state *s = backend_of(b, 0)->state;

	assert_int_equal(s->backoff_until_ms > clock_ms() + 8000, applied);
	assert_int_equal(s->draining, applied);
}

static enum http_match take(void *owner, const struct response_info *info)
{
	return HTTP_MATCHED;
}

static void response(void *owner, struct http_message *m,
		     const struct response_info *info)
{
	http_message_free(m);
}

static void failed(void *owner, int err, bool sent)
{
	*(int *)owner = err;
}

static const struct upstream_ops ops = {take, response, failed};

/* Sends a request to server 0 on a new connection. */
static struct upstream *send_one(struct bench *b, int *err)
{
	struct upstream *u =
		upstream_get(&b->traffic, backend_of(b, 0), clock_ms());

	upstream_exchange(u,
			  &(struct upstream_request){
				  .head = LSTR("GET /x HTTP/1.1\r\nHost: x\r\n"
					       "Attempt-Id: a1\r\n"
					       "Target-Instance: i-0\r\n\r\n"),
				  .timeout_s = 1,
				  .kind = SEND_COMMITTED,
			  },
			  &ops, err);
	return u;
}

static void test_feedback_after_drop(void **state)
{
	struct bench *b = bench_new(1);
	struct upstream *u;
	int err = 0;

	b->servers[0].script = SCRIPT_REFUSE;
	b->servers[0].extra_headers = "Retry-After: 9\r\nServer-Leaving: 1\r\n";
	u = send_one(b, &err);
	while (!b->servers[0].received)
		ev_run(b->loop, EVRUN_ONCE);
	assert_feedback_applied(b, false);
	upstream_drop(u);
	bench_run_ms(b, 20);
	assert_feedback_applied(b, true);
	assert_int_equal(err, 0);
	bench_free(b);
}

/* The server notices that the request was given up, and cancels it. */
static void test_drop_cancels_work(void **state)
{
	struct bench *b = bench_new(1);
	struct upstream *u;
	int err = 0;

	b->servers[0].work_ms = 300;
	u = send_one(b, &err);
	bench_run_ms(b, 20);
	assert_int_equal(b->servers[0].running, 1);
	upstream_drop(u);
	bench_run_ms(b, 20);
	assert_int_equal(b->servers[0].running, 0);
	assert_null(backend_of(b, 0)->busy_conns);
	bench_free(b);
}

static void test_feedback_of_trailing_response(void **state)
{
	for (int late = 0; late < 2; late++) {
		struct bench *b = bench_new(1);
		struct caller *c;

		b->servers[0].tail = REFUSAL;
		b->servers[0].tail_ms = 10 * late;
		c = bench_call(b, "POST", 1000);
		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		bench_run_ms(b, 30);
		assert_feedback_applied(b, true);
		bench_free(b);
	}
}

static void test_response_of_another_start(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	b->servers[0].tail = "HTTP/1.1 503 X\r\nInstance-Id: i-9\r\n"
			     "Retry-After: 9\r\nServer-Leaving: 1\r\n"
			     "Content-Length: 0\r\n\r\n"
			     "HTTP/1.1 421 X\r\nServer-Leaving: 1\r\n"
			     "Content-Length: 0\r\n\r\n";
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	assert_feedback_applied(b, false);
	bench_free(b);
}

static void test_withdrawn_while_connecting(void **state)
{
	struct bench *b = bench_new(1);
	struct backend *s = backend_of(b, 0);
	struct upstream *u;
	int err = 0;

	u = send_one(b, &err);
	assert_int_equal(u->http.state, CLIENT_CONNECTING);
	server_state_back_off(s->state, 0.05, 0, clock_ms());
	bench_run_ms(b, 20);
	assert_int_equal(err, -ECANCELED);
	assert_int_equal(b->servers[0].received, 0);
	/* The same on an established connection. */
	err = 0;
	bench_run_ms(b, 60);
	u = send_one(b, &err);
	bench_run_ms(b, 20);
	upstream_put(u, clock_ms());
	s->state->draining = true;
	u = upstream_get(&b->traffic, s, 0);
	assert_int_equal(u->http.state, CLIENT_IDLE);
	upstream_exchange(u,
			  &(struct upstream_request){
				  .head = LSTR("GET /x HTTP/1.1\r\n\r\n"),
				  .timeout_s = 1,
				  .kind = SEND_COMMITTED,
			  },
			  &ops, &err);
	bench_run_ms(b, 20);
	assert_int_equal(err, -ECANCELED);
	assert_int_equal(b->servers[0].received, 1);
	bench_free(b);
}

/* A request withdrawn before it was sent continues as if never sent. */
static void test_withdrawn_request_goes_elsewhere(void **state)
{
	for (int idempotent = 0; idempotent < 2; idempotent++) {
		struct bench *b = bench_new(2);
		struct service *s = backend_of(b, 0)->service;
		struct caller *c;
		int first;

		b->servers[0].reports_load = b->servers[1].reports_load = false;
		s->load_support = LOAD_NOT_REPORTED;
		b->traffic.budget_params.ratio =
			b->traffic.budget_params.slack = 0;
		c = bench_call(b, idempotent ? "GET" : "POST", 1000);
		while (!backend_of(b, 0)->in_flight &&
		       !backend_of(b, 1)->in_flight)
			ev_run(b->loop, EVRUN_ONCE);
		first = backend_of(b, 1)->in_flight ? 1 : 0;
		assert_int_equal(b->servers[first].received, 0);
		server_state_back_off(backend_of(b, first)->state, 5, 0,
				      clock_ms());
		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_int_equal(b->servers[first].received, 0);
		assert_int_equal(b->traffic.counters.withdrawn, 1);
		assert_int_equal(backend_of(b, first)->in_flight, 0);
		assert_int_equal(budget_spent(&s->retry_stats), 0);
		assert_int_equal(s->budget.in_flight, 0);
		bench_free(b);
	}
}

/*
 * Guards against connections that add up at a server: requests that may not be
 * repeated, to a service that doesn't tell its load, never use an idle one.
 */
static void test_idle_connections_bounded(void **state)
{
	struct bench *b = bench_new(1);
	struct service *s = backend_of(b, 0)->service;

	b->servers[0].reports_load = false;
	s->load_support = LOAD_NOT_REPORTED;
	for (int i = 0; i < 20; i++) {
		struct caller *c = bench_call(b, "POST", 1000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
	}
	bench_run_ms(b, 50);
	/* Two slots, and two more. */
	assert_in_range(b->servers[0].http.nconns, 1, 4);
	bench_free(b);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_feedback_after_drop),
		cmocka_unit_test(test_drop_cancels_work),
		cmocka_unit_test(test_feedback_of_trailing_response),
		cmocka_unit_test(test_response_of_another_start),
		cmocka_unit_test(test_withdrawn_while_connecting),
		cmocka_unit_test(test_withdrawn_request_goes_elsewhere),
		cmocka_unit_test(test_idle_connections_bounded),
	};

	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
