/*
 * Tests of traffic/crash_check, and of how the traffic thread applies verdicts
 * on requests that crash servers.
 */
#include "tests/unit.h"

#include <glib.h>

#include "control/control.h"
#include "core/mechanisms.h"
#include "core/request_digest.h"
#include "misc/clock.h"
#include "tests/bench.h"
#include "traffic/crash_check.h"
#include "traffic/request.h"

enum { NOTICES_MAX = 16, CHECK_MS = 150 };

static struct crash_notice notices[NOTICES_MAX];
static unsigned notice_count;

static void on_notice(void *priv, struct mailbox_msg *m)
{
	if (m->kind != FROM_TRAFFIC_CRASH)
		return;
	assert_true(notice_count < NOTICES_MAX);
	notices[notice_count++] = *(struct crash_notice *)m->data;
	g_free(m->data);
}

/* Creates a bench with its notices collected in `notices`. */
static struct bench *begin(int servers)
{
	struct bench *b = bench_new(servers);

	notice_count = 0;
	mailbox_init(&b->control, b->loop, on_notice, NULL);
	return b;
}

/* Makes a call and waits until a crash check after it is over. */
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

/*
 * Returns the digest of the request that bench_call() makes with this method.
 */
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

/* Each crash is reported once, with the request and the start of the server. */
static void test_crash_reported(void **state)
{
	struct bench *b = begin(2);
	struct caller *c;

	bench_script(b, 0, SCRIPT_END);
	bench_script(b, 1, SCRIPT_END);
	c = call(b, "GET");
	assert_int_equal(c->status, 502);
	assert_int_equal(bench_runs(b, c), 2);
	assert_int_equal(notice_count, 2);
	for (unsigned i = 0; i < 2; i++) {
		assert_int_equal(notices[i].kind, CRASH_NOTICE_CRASHED);
		assert_true(notices[i].digest == digest_of("GET"));
	}
	assert_int_not_equal(notices[0].detail, notices[1].detail);
	assert_true(notices[0].detail == start_of(b, "i-0") ||
		    notices[0].detail == start_of(b, "i-1"));
	bench_free(b);
}

/* A connection that breaks at a live server is not a crash. */
static void test_live_server_not_reported(void **state)
{
	static const enum script scripts[] = {SCRIPT_RUN_RESET, SCRIPT_RUN_CUT,
					      SCRIPT_RUN_GARBAGE};

	for (size_t i = 0; i < G_N_ELEMENTS(scripts); i++) {
		struct bench *b = begin(1);

		bench_script(b, 0, scripts[i]);
		call(b, "POST");
		assert_int_equal(notice_count, 0);
		bench_free(b);
	}
}

/* If another start responds at the address, the previous one has ended. */
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
	assert_int_equal(notice_count, 1);
	assert_int_equal(notices[0].detail, start);
	bench_free(b);
}

/*
 * The connection of a request breaks, and the first probe is reset by something
 * in between.
 */
static struct bench *begin_inconclusive(void)
{
	struct bench *b = begin(1);
	struct caller *c;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 50;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	b->servers[0].reset_probes = true;
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(notice_count, 0);
	return b;
}

/*
 * The probe is repeated until another start responds, the same one responds, or
 * the server leaves the list.
 */
static void test_probe_repeated(void **state)
{
	struct bench *b = begin_inconclusive();
	uint32_t start = start_of(b, "i-0");

	strcpy(b->servers[0].id, "i-0-again");
	b->servers[0].reset_probes = false;
	bench_run_ms(b, 500);
	assert_int_equal(notice_count, 1);
	assert_int_equal(notices[0].detail, start);
	bench_free(b);
	b = begin_inconclusive();
	b->servers[0].reset_probes = false;
	bench_run_ms(b, 500);
	assert_int_equal(notice_count, 0);
	bench_free(b);
	b = begin_inconclusive();
	start = start_of(b, "i-0");
	backend_set_remove(&b->traffic.backends, "i-0");
	bench_run_ms(b, 500);
	assert_int_equal(notice_count, 1);
	assert_int_equal(notices[0].detail, start);
	bench_free(b);
}

/* Nothing is reported if the result stays inconclusive. */
static void test_inconclusive(void **state)
{
	struct bench *b = begin_inconclusive();

	bench_run_ms(b, 3500);
	assert_int_equal(notice_count, 0);
	assert_int_equal(b->traffic.counters.process_checks, 6);
	bench_free(b);
}

static void back_off(struct bench *b)
{
	struct backend *s =
		g_hash_table_lookup(b->traffic.backends.by_id, "i-0");

	server_state_back_off(s->state, 5, 0, clock_ms());
}

static void test_no_probe_during_backoff(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;
	unsigned asked;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 60;
	c = bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	back_off(b);
	asked = b->servers[0].probes;
	bench_run_until(b, c);
	bench_run_ms(b, CHECK_MS);
	assert_int_equal(b->servers[0].probes, asked);
	bench_free(b);
}

static void test_no_repeated_probe_during_backoff(void **state)
{
	struct bench *b = begin_inconclusive();
	unsigned asked;

	back_off(b);
	asked = b->servers[0].probes;
	bench_run_ms(b, 800);
	assert_int_equal(b->servers[0].probes, asked);
	bench_free(b);
}

/* A new start under the same id is listed: no probe is needed. */
static void test_listed_restart(void **state)
{
	struct bench *b = begin(1);
	uint32_t start = start_of(b, "i-0");

	bench_script(b, 0, SCRIPT_HANG);
	bench_call(b, "POST", 1000);
	bench_run_ms(b, 30);
	bench_restart(b, 0, 12345);
	bench_run_ms(b, 20);
	assert_int_equal(notice_count, 1);
	assert_int_equal(notices[0].detail, start);
	assert_int_equal(b->traffic.counters.process_checks, 0);
	bench_free(b);
}

/* A draining server may end while requests are in flight. */
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
	assert_int_equal(notice_count, 0);
	bench_free(b);
}

/* One recent response outweighs one crash, but not a second. */
static void test_recent_response_outweighs_crash(void **state)
{
	struct bench *b = begin(3);

	assert_int_equal(call(b, "POST")->status, 200);
	for (int i = 0; i < 3; i++)
		bench_script(b, i, SCRIPT_END);
	call(b, "POST");
	assert_int_equal(notice_count, 0);
	call(b, "POST");
	assert_int_equal(notice_count, 1);
	bench_free(b);
}

/* A response to a suspected request is reported. */
static void test_response_reported(void **state)
{
	struct bench *b = begin(1);

	call(b, "GET");
	assert_int_equal(notice_count, 0);
	set_verdict(b, VERDICT_SUSPECT);
	assert_int_equal(call(b, "GET")->status, 200);
	assert_int_equal(notice_count, 1);
	assert_int_equal(notices[0].kind, CRASH_NOTICE_ANSWERED);
	bench_free(b);
}

/*
 * A quarantined request is refused at once without being run, with the time of
 * the next trial.
 */
static void test_quarantined_refused(void **state)
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

/* A request that is already running still gets its response. */
static void test_running_request_completes(void **state)
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

/* But it is not retried: after one run it ends as unknown, not as refused. */
static void test_not_retried(void **state)
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

/*
 * A request that waits for capacity when the verdict arrives is refused soon.
 */
static void test_waiting_request_refused(void **state)
{
	struct bench *b = begin(1);
	struct caller *c;
	int64_t t0;

	b->servers[0].busy_slots = 2;
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

/*
 * When a quarantine term ends, only one copy of the request is sent, to one
 * server.
 */
static void test_single_trial(void **state)
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

/*
 * A suspected request is not sent to a second server while the first may be
 * crashing.
 */
static void test_no_second_server(void **state)
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

/* With the mechanism off nothing is probed and nothing is reported. */
static void test_off(void **state)
{
	struct bench *b = begin(2);

	mechanisms.quarantine = false;
	bench_script(b, 0, SCRIPT_END);
	bench_script(b, 1, SCRIPT_END);
	call(b, "GET");
	assert_int_equal(notice_count, 0);
	mechanisms.quarantine = true;
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_crash_reported),
		cmocka_unit_test(test_live_server_not_reported),
		cmocka_unit_test(test_another_start),
		cmocka_unit_test(test_probe_repeated),
		cmocka_unit_test(test_inconclusive),
		cmocka_unit_test(test_no_probe_during_backoff),
		cmocka_unit_test(test_no_repeated_probe_during_backoff),
		cmocka_unit_test(test_listed_restart),
		cmocka_unit_test(test_draining),
		cmocka_unit_test(test_recent_response_outweighs_crash),
		cmocka_unit_test(test_response_reported),
		cmocka_unit_test(test_quarantined_refused),
		cmocka_unit_test(test_running_request_completes),
		cmocka_unit_test(test_not_retried),
		cmocka_unit_test(test_waiting_request_refused),
		cmocka_unit_test(test_single_trial),
		cmocka_unit_test(test_no_second_server),
		cmocka_unit_test(test_off),
	};

	mp_log_critical_only();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
