/*
 * Tests of traffic/end_check, and of what the traffic side does with verdicts
 * on requests that end servers.
 */
#include "tests/unit.h"

#include <glib.h>

#include "control/control.h"
#include "core/mechanisms.h"
#include "core/request_digest.h"
#include "misc/clock.h"
#include "tests/bench.h"
#include "traffic/end_check.h"
#include "traffic/request.h"

enum { NEWS_MAX = 16, CHECK_MS = 150 };

static struct crash_news news[NEWS_MAX];
static unsigned nnews;

static void on_news(void *priv, struct mailbox_msg *m)
{
	if (m->kind != FROM_TRAFFIC_CRASH)
		return;
	assert_true(nnews < NEWS_MAX);
	news[nnews++] = *(struct crash_news *)m->data;
	g_free(m->data);
}

static struct bench *begin(int servers)
{
	struct bench *b = bench_new(servers);

	nnews = 0;
	mailbox_init(&b->control, b->loop, on_news, NULL);
	return b;
}

static struct caller *call(struct bench *b, const char *method)
{
	struct caller *c = bench_call(b, method, 1000);

	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	return c;
}

static uint32_t start_of(const struct bench *b, const char *id)
{
	const struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, id);

	return backend_start_hash(&s->entry);
}

/* The request that all attempts of this method are here. */
static uint64_t digest_of(const char *method)
{
	bool get = !strcmp(method, "GET");
	const struct lstr parts[] = {
		lstr0(method), LSTR("one.example"), LSTR(""),
		get ? LSTR("/GET/x") : LSTR("/POST/x"), LSTR("")};

	return request_digest(parts, G_N_ELEMENTS(parts));
}

static void set_verdict(struct bench *b, enum verdict_kind kind)
{
	struct verdict v = {digest_of("GET"), kind, clock_ms() + 60000};

	quarantine_set(&b->traffic.quarantine, &v);
}

/* Each end is reported once, with the request and the start of the server. */
static void test_ended(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;

	bench_script(b, 0, SCRIPT_END);
	bench_script(b, 1, SCRIPT_END);
	c = call(b, "GET");
	assert_int_equal(c->status, 502);
	assert_int_equal(bench_runs(b, c), 2);
	assert_int_equal(nnews, 2);
	for (unsigned i = 0; i < 2; i++) {
		assert_int_equal(news[i].kind, CRASH_NEWS_END);
		assert_true(news[i].digest == digest_of("GET"));
	}
	assert_int_not_equal(news[0].detail, news[1].detail);
	assert_true(news[0].detail == start_of(b, "i-0") ||
		    news[0].detail == start_of(b, "i-1"));
	bench_free(b);
}

/* A connection that breaks at a server which lives is no end. */
static void test_lives(void **state)
{
	static const enum script scripts[] = {SCRIPT_RUN_RESET, SCRIPT_RUN_CUT,
					      SCRIPT_RUN_GARBAGE};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		struct bench *b = begin(1);

		bench_script(b, 0, scripts[i]);
		call(b, "POST");
		assert_int_equal(nnews, 0);
		bench_free(b);
	}
}

/* Another start answers at the address: the one that had it has ended. */
static void test_another_start(void **state)
{
	struct bench *b = begin(1);
	uint32_t start = start_of(b, "i-0");
	struct caller *c;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 50;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	strcpy(b->servers[0].id, "i-0-again");
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(nnews, 1);
	assert_int_equal(news[0].detail, start);
	bench_free(b);
}

/* The request breaks, and whoever asks then is reset by something between. */
static struct bench *begin_unsure(void)
{
	struct bench *b = begin(1);
	struct caller *c;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 50;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	b->servers[0].mute = true;
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(nnews, 0);
	return b;
}

/* Asked again until another start answers, or the same one, or it is gone. */
static void test_asked_again(void **state)
{
	struct bench *b = begin_unsure();
	uint32_t start = start_of(b, "i-0");

	strcpy(b->servers[0].id, "i-0-again");
	b->servers[0].mute = false;
	bench_run_ms(b, 500);
	assert_int_equal(nnews, 1);
	assert_int_equal(news[0].detail, start);
	bench_free(b);
	b = begin_unsure();
	b->servers[0].mute = false;
	bench_run_ms(b, 500);
	assert_int_equal(nnews, 0);
	bench_free(b);
	b = begin_unsure();
	start = start_of(b, "i-0");
	backend_set_remove(&b->traffic.backends, "i-0");
	bench_run_ms(b, 500);
	assert_int_equal(nnews, 1);
	assert_int_equal(news[0].detail, start);
	bench_free(b);
}

/* Nothing is held against anybody if it never becomes clear. */
static void test_never_sure(void **state)
{
	struct bench *b = begin_unsure();

	bench_run_ms(b, 3500);
	assert_int_equal(nnews, 0);
	assert_int_equal(b->traffic.counters.end_checks, 6);
	bench_free(b);
}

static void back_off(struct bench *b)
{
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	server_state_back_off(s->state, 5, 0, clock_ms());
}

static void test_asked_during_backoff(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;
	unsigned asked;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 60;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	back_off(b);
	asked = b->servers[0].asked;
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(b->servers[0].asked, asked);
	bench_free(b);
}

static void test_asked_again_during_backoff(void **state)
{
	struct bench *b = begin_unsure();
	unsigned asked;

	back_off(b);
	asked = b->servers[0].asked;
	bench_run_ms(b, 800);
	assert_int_equal(b->servers[0].asked, asked);
	bench_free(b);
}

/* The list tells of a new start under the same id: nothing is to be asked. */
static void test_born_again(void **state)
{
	struct bench *b = begin(1);
	uint32_t start = start_of(b, "i-0");

	bench_script(b, 0, SCRIPT_HANG);
	bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	bench_restart(b, 0, 12345);
	bench_run_ms(b, 20);
	assert_int_equal(nnews, 1);
	assert_int_equal(news[0].detail, start);
	assert_int_equal(b->traffic.counters.end_checks, 0);
	bench_free(b);
}

/* A server that leaves as planned ends under whatever it still has. */
static void test_draining(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;

	bench_script(b, 0, SCRIPT_END);
	b->servers[0].work_ms = 50;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 20);
	bench_drain(b, 0);
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(nnews, 0);
	bench_free(b);
}

/* One answer lately outweighs one end; a second end counts. */
static void test_forgiven(void **state)
{
	struct bench *b = begin(3);

	assert_int_equal(call(b, "POST")->status, 200);
	for (int i = 0; i < 3; i++)
		bench_script(b, i, SCRIPT_END);
	call(b, "POST");
	assert_int_equal(nnews, 0);
	call(b, "POST");
	assert_int_equal(nnews, 1);
	bench_free(b);
}

/* An answer to a request that something is held against is reported. */
static void test_answered(void **state)
{
	struct bench *b = begin(1);

	call(b, "GET");
	assert_int_equal(nnews, 0);
	set_verdict(b, VERDICT_SUSPECT);
	assert_int_equal(call(b, "GET")->status, 200);
	assert_int_equal(nnews, 1);
	assert_int_equal(news[0].kind, CRASH_NEWS_ANSWERED);
	bench_free(b);
}

/* Refused at once, truly not run, with the time of the next trial. */
static void test_refused(void **state)
{
	struct bench *b = begin(1);
	struct caller *c, *other;
	int64_t t0 = clock_ms();

	set_verdict(b, VERDICT_REFUSE);
	c = bench_call(b, "GET", 1000);
	bench_run_until(b, c);
	assert_true(clock_ms() - t0 < 300);
	assert_int_equal(c->status, 503);
	assert_int_equal(bench_runs(b, c), 0);
	assert_true(c->retry_after > 50 && c->retry_after <= 60);
	assert_int_equal(b->traffic.counters.quarantined, 1);
	other = bench_call_path(b, "GET", "/GET/other", 1000);
	bench_run_until(b, other);
	assert_int_equal(other->status, 200);
	set_verdict(b, VERDICT_CLEAR);
	c = bench_call(b, "GET", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	bench_free(b);
}

/* A verdict doesn't take an answer from one that a server already runs. */
static void test_under_way(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;

	b->servers[0].work_ms = 60;
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 30);
	set_verdict(b, VERDICT_REFUSE);
	bench_run_until(b, c);
	assert_int_equal(c->status, 200);
	bench_free(b);
}

/* But it isn't sent on: what has run ends as unknown, not as refused. */
static void test_not_sent_on(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;

	for (int i = 0; i < 2; i++) {
		bench_script(b, i, SCRIPT_RUN_RESET);
		b->servers[i].work_ms = 60;
	}
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 30);
	set_verdict(b, VERDICT_REFUSE);
	bench_run_until(b, c);
	assert_int_equal(c->status, 502);
	assert_int_equal(bench_runs(b, c), 1);
	bench_free(b);
}

/* One that waits for room when the verdict comes is refused soon. */
static void test_waiting(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;
	int64_t t0;

	b->servers[0].busy = 2;
	c = bench_call(b, "GET", 1000);
	bench_run_ms(b, 20);
	assert_true(c->open);
	set_verdict(b, VERDICT_REFUSE);
	t0 = clock_ms();
	bench_run_until(b, c);
	assert_int_equal(c->status, 503);
	assert_true(c->retry_after > 50);
	assert_true(clock_ms() - t0 < 300);
	bench_free(b);
}

/* Of the copies that come when a term is over one goes to one server. */
static void test_trial(void **state)
{
	struct bench *b = begin(2);
	struct caller *first, *second;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	bench_script(b, 1, SCRIPT_RUN_RESET);
	set_verdict(b, VERDICT_TRIAL);
	first = bench_call(b, "GET", 1000);
	bench_run_until(b, first);
	second = bench_call(b, "GET", 1000);
	bench_run_until(b, second);
	assert_int_equal(first->status, 502);
	assert_int_equal(bench_runs(b, first), 1);
	assert_int_equal(second->status, 503);
	assert_int_equal(bench_runs(b, second), 0);
	bench_free(b);
}

/* No second server gets a suspect while the first may be ending under it. */
static void test_no_second(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;

	bench_script(b, 0, SCRIPT_HANG);
	bench_script(b, 1, SCRIPT_HANG);
	set_verdict(b, VERDICT_SUSPECT);
	c = bench_call(b, "GET", 1000);
	bench_run_until(b, c);
	assert_int_equal(c->status, 504);
	assert_int_equal(bench_runs(b, c), 1);
	bench_free(b);
}

/* Switched off, nothing is asked and nothing held against a request. */
static void test_off(void **state)
{
	struct bench *b = begin(2);

	mechanisms.quarantine = false;
	bench_script(b, 0, SCRIPT_END);
	bench_script(b, 1, SCRIPT_END);
	call(b, "GET");
	assert_int_equal(nnews, 0);
	mechanisms.quarantine = true;
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ended),
		cmocka_unit_test(test_lives),
		cmocka_unit_test(test_another_start),
		cmocka_unit_test(test_asked_again),
		cmocka_unit_test(test_never_sure),
		cmocka_unit_test(test_asked_during_backoff),
		cmocka_unit_test(test_asked_again_during_backoff),
		cmocka_unit_test(test_born_again),
		cmocka_unit_test(test_draining),
		cmocka_unit_test(test_forgiven),
		cmocka_unit_test(test_answered),
		cmocka_unit_test(test_refused),
		cmocka_unit_test(test_under_way),
		cmocka_unit_test(test_not_sent_on),
		cmocka_unit_test(test_waiting),
		cmocka_unit_test(test_trial),
		cmocka_unit_test(test_no_second),
		cmocka_unit_test(test_off),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
