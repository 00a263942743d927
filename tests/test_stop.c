/*
 * Tests of traffic/stop: what callers of a stopping instance get. Its grace time
 * is two seconds here; it ends 400 ms before.
 */
#include "tests/unit.h"

#include "tests/bench.h"

#include "common/event.h"

#define UPLOAD                                           \
	"POST /POST/x HTTP/1.1\r\nHost: one.example\r\n" \
	"Attempt-Id: a\r\nContent-Length: 10\r\n\r\nbody"

enum {
	GRACE_S = 2,
	LISTEN_MS = 1300, /* new connections are accepted until then */
	END_MS = 1600,
	LONG_MS = 10000, /* a time limit beyond the grace time */
};

/* A bench whose routes leave the time limit to the caller. */
static struct bench *begin(int servers)
{
	struct bench *b = bench_new(servers);

	for (size_t i = 0; i < b->traffic.config->nroutes; i++)
		b->traffic.config->routes[i].timeout_ms = LONG_MS;
	b->traffic.bounds.grace_s = GRACE_S;
	b->traffic.bounds.directory_keep_s = GRACE_S;
	return b;
}

static void set_work(struct bench *b, int ms)
{
	for (int i = 0; i < b->n; i++)
		b->servers[i].work_ms = ms;
}

static void stop(struct bench *b)
{
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_STOP, NULL);
	bench_run_ms(b, 5);
}

/* Runs the event loop until a time since the stop, whatever breaks it. */
static void run_to(struct bench *b, int ms)
{
	while (clock_ms() < b->traffic.stopping_ms + ms)
		bench_run_ms(b, 5);
}

/* A server may work on a request until the deadline, beyond the grace time. */
static void requests_that_may_outlast_the_stop_are_refused(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;
	int64_t asked_ms;

	set_work(b, 900);
	stop(b);
	for (int at = 900; at < LISTEN_MS; at += 100) {
		run_to(b, at);
		asked_ms = clock_ms();
		c = bench_call(b, "POST", LONG_MS);
		bench_run_until(b, c);
		assert_int_equal(c->status, 503);
		assert_true(c->retry_after > 0);
		assert_int_equal(bench_runs(b, c), 0);
		assert_in_range(clock_ms() - asked_ms, 0, 50);
	}
	bench_free(b);
}

static void requests_that_end_in_time_are_served(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;
	int64_t left_ms;

	stop(b);
	for (int at = 0; at < LISTEN_MS; at += 100) {
		run_to(b, at);
		left_ms = b->traffic.stopping_ms + END_MS - clock_ms();
		c = bench_call(b, at % 200 ? "POST" : "GET", (int)left_ms - 50);
		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_true(caller_got_own_body(c));
	}
	bench_free(b);
}

/* While callers may not have heard of the stop, what is usual decides. */
static void usual_requests_are_served_early_in_the_stop(void **state)
{
	struct bench *b = begin(2);
	struct caller *quick, *slow;

	b->traffic.config->routes[0].target_ms = BENCH_TARGET_MS + 1;
	set_work(b, 1200);
	slow = bench_call(b, "GET", LONG_MS);
	bench_run_until(b, slow);
	set_work(b, 300);
	quick = bench_call(b, "POST", LONG_MS);
	bench_run_until(b, quick);
	stop(b);
	run_to(b, 500);
	quick = bench_call(b, "POST", LONG_MS);
	slow = bench_call(b, "GET", LONG_MS);
	bench_run_until(b, quick);
	bench_run_until(b, slow);
	assert_int_equal(quick->status, 200);
	assert_int_equal(slow->status, 503);
	bench_free(b);
}

/* A server never responds, and another request waits for one with room. */
static void no_request_is_left_without_a_response(void **state)
{
	struct bench *b = begin(1);
	struct caller *running, *waiting;

	b->traffic.config->routes[1].target_ms = LONG_MS;
	bench_script(b, 0, SCRIPT_HANG);
	running = bench_call(b, "POST", LONG_MS);
	bench_run_ms(b, 60);
	assert_int_equal(bench_runs(b, running), 1);
	b->servers[0].busy_slots = 2;
	waiting = bench_call(b, "POST", LONG_MS);
	bench_run_ms(b, 60);
	assert_true(waiting->open);
	stop(b);
	bench_run_until(b, waiting);
	assert_int_equal(waiting->status, 503);
	assert_int_equal(bench_runs(b, waiting), 0);
	assert_in_range(clock_ms() - b->traffic.stopping_ms, 0, 50);
	run_to(b, GRACE_S * 1000);
	assert_int_equal(running->status, 504);
	assert_int_equal(b->traffic.requests.length, 0);
	bench_free(b);
}

/* Connects as a caller and sends a part of a request. */
static int begin_upload(struct bench *b)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	b->traffic.caller_server.head_timeout_s = LONG_MS;
	socket_parse_addr(b->settings.callers, &sa);
	assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	assert_true(send(fd, UPLOAD, strlen(UPLOAD), MSG_NOSIGNAL) > 0);
	bench_run_ms(b, 20);
	return fd;
}

/* Checks the response to a part of a request, and closes the connection. */
static void assert_answered(int fd, const char *status)
{
	char text[256] = "";

	assert_true(recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT) > 0);
	assert_non_null(strstr(text, status));
	assert_non_null(strstr(text, "Connection: close"));
	close(fd);
}

/* A body that trickles in is cut by a response, not by a bare close. */
static void a_request_that_never_arrives_whole_is_timed_out(void **state)
{
	struct bench *b = begin(1);
	int fd = begin_upload(b);

	stop(b);
	run_to(b, GRACE_S * 1000);
	assert_answered(fd, "HTTP/1.1 408");
	bench_free(b);
}

/* A caller needn't send a body that can't be used. */
static void a_body_that_comes_too_late_is_refused_at_its_head(void **state)
{
	struct bench *b = begin(1);
	int fd;

	stop(b);
	fd = begin_upload(b);
	assert_answered(fd, "HTTP/1.1 503");
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			requests_that_may_outlast_the_stop_are_refused),
		cmocka_unit_test(requests_that_end_in_time_are_served),
		cmocka_unit_test(usual_requests_are_served_early_in_the_stop),
		cmocka_unit_test(no_request_is_left_without_a_response),
		cmocka_unit_test(
			a_request_that_never_arrives_whole_is_timed_out),
		cmocka_unit_test(
			a_body_that_comes_too_late_is_refused_at_its_head),
	};

	mp_log_init("test");
	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
