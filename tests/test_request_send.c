/*
 * Tests of traffic/request_send: requests at servers that lose the response,
 * never respond, respond twice or restart.
 */
#include "tests/unit.h"

#include <glib.h>
#include "common/event.h"
#include "misc/clock.h"
#include "tests/bench.h"
#include "traffic/request.h"

/*
 * A server that executes the request and breaks the connection: the request is
 * sent again only if it is idempotent.
 */
static void test_lost_response(void **state)
{
	static const enum script scripts[] = {SCRIPT_RUN_RESET, SCRIPT_RUN_CUT,
					      SCRIPT_RUN_GARBAGE};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		struct bench *b = bench_new(2);
		struct caller *get, *post;

		bench_script(b, 0, scripts[i]);
		bench_script(b, 1, scripts[i]);
		post = bench_call(b, "POST", 1000);
		bench_run_until(b, post);
		assert_int_equal(post->status, 502);
		assert_int_equal(bench_runs(b, post), 1);
		/* The route allows two attempts. */
		get = bench_call(b, "GET", 1000);
		bench_run_until(b, get);
		assert_int_equal(get->status, 502);
		assert_int_equal(bench_runs(b, get), 2);
		bench_script(b, 1, SCRIPT_SERVE);
		get = bench_call(b, "GET", 1000);
		bench_run_until(b, get);
		assert_int_equal(get->status, 200);
		assert_true(caller_got_own_body(get));
		bench_free(b);
	}
}

/* An idempotent request is hedged early enough to be on time. */
static void test_hedge(void **state)
{
	struct bench *b = bench_new(2);
	int on_time = 0;

	bench_script(b, 0, SCRIPT_HANG);
	for (int i = 0; i < 8; i++) {
		struct caller *c = bench_call(b, "GET", 1000);
		int64_t t0 = clock_ms();

		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_true(caller_got_own_body(c));
		on_time += clock_ms() - t0 < 200;
	}
	assert_true(on_time >= 7);
	bench_free(b);
}

/* A rescue is sent too late to be on time, but gets a response. */
static void test_rescue(void **state)
{
	struct bench *b = bench_new(2);

	bench_script(b, 0, SCRIPT_HANG);
	for (int i = 0; i < 6; i++) {
		struct caller *c;

		/* The class usually takes three quarters of its target. */
		traffic_class_stats(&b->traffic, "harta", BENCH_TARGET_MS)
			->work.median_ms = 150;
		c = bench_call(b, "GET", 1000);
		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_true(caller_got_own_body(c));
	}
	/* Non-idempotent requests are not rescued. */
	b->servers[1].dead = true;
	bench_drain(b, 1);
	struct caller *c = bench_call(b, "POST", 1000);

	bench_run_until(b, c);
	assert_int_equal(c->status, 504);
	assert_int_equal(bench_runs(b, c), 1);
	b->servers[1].dead = false;
	bench_free(b);
}

/*
 * A server that restarted under its id has lost its requests: idempotent ones
 * are sent to another server at once, for others the response is that the
 * outcome is unknown.
 */
static void test_restarted_server(void **state)
{
	for (int i = 0; i < 2; i++) {
		struct bench *b = bench_new(2);
		int64_t begin;
		struct caller *c;

		b->servers[1].busy_slots = 2;
		bench_script(b, 0, SCRIPT_HANG);
		c = bench_call(b, i ? "POST" : "GET", 1000);
		bench_run_ms(b, 40);
		assert_int_equal(bench_runs(b, c), 1);
		b->servers[1].busy_slots = 0;
		begin = clock_ms();
		bench_restart(b, 0, 5000);
		bench_run_until(b, c);
		assert_in_range(clock_ms() - begin, 0, 90);
		assert_int_equal(c->status, i ? 502 : 200);
		assert_int_equal(bench_runs(b, c), i ? 1 : 2);
		bench_free(b);
	}
}

/* A duplicate response to an earlier request is never forwarded. */
static void test_duplicate_responses(void **state)
{
	struct bench *b = bench_new(1);

	bench_script(b, 0, SCRIPT_TWICE);
	for (int i = 0; i < 10; i++) {
		struct caller *c = bench_call(b, "GET", 1000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_true(caller_got_own_body(c));
	}
	/* Nor one that arrives later, on an idle connection. */
	bench_script(b, 0, SCRIPT_TWICE_LATE);
	for (int i = 0; i < 10; i++) {
		struct caller *c = bench_call(b, "POST", 1000);

		bench_run_until(b, c);
		assert_int_equal(c->status, 200);
		assert_true(caller_got_own_body(c));
		bench_run_ms(b, i * 3);
	}
	bench_free(b);
}

/* A 2xx without the server's receipt isn't forwarded. */
static void test_missing_receipt(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	bench_script(b, 0, SCRIPT_UNSEALED);
	c = bench_call(b, "POST", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 502);
	bench_free(b);
}

static void test_same_version_with_other_content(void **state)
{
	struct bench *b = bench_new(1);
	struct config *other = config_new();
	struct caller *c;

	other->version = b->traffic.config->version;
	mailbox_send(&b->traffic.inbox, TO_TRAFFIC_CONFIG, other);
	bench_run_ms(b, 5);
	c = bench_call(b, "GET", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 404);
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_same_version_with_other_content),
		cmocka_unit_test(test_lost_response),
		cmocka_unit_test(test_hedge),
		cmocka_unit_test(test_rescue),
		cmocka_unit_test(test_restarted_server),
		cmocka_unit_test(test_duplicate_responses),
		cmocka_unit_test(test_missing_receipt),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
