/*
 * Tests of traffic/request_log: the lines of a request within the log rate
 * limit, and what remains of them beyond it.
 */
#include "tests/unit.h"

#include <glib.h>
#include <time.h>
#include <unistd.h>

#include "common/event.h"
#include "misc/clock.h"
#include "tests/bench.h"
#include "traffic/metrics.h"

static GString *lines;

/* Captures lines in place of the log writer. */
static GLogWriterOutput capture_line(GLogLevelFlags level,
				     const GLogField *fields, gsize n,
				     gpointer data)
{
	const char *ev = "", *msg = "";

	for (gsize i = 0; i < n; i++) {
		if (!g_strcmp0(fields[i].key, "EVENT"))
			ev = fields[i].value;
		else if (!g_strcmp0(fields[i].key, "MESSAGE"))
			msg = fields[i].value;
	}
	g_string_append_printf(lines, "ev=%s %s\n", ev, msg);
	return G_LOG_WRITER_HANDLED;
}

/* Waits for a new second and uses up its allowance of routine lines. */
static void exhaust_log_allowance(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	usleep((useconds_t)(1000000 - t.tv_nsec / 1000));
	while (mp_log_allow_routine())
		;
}

/* Counts the lines of event ev with the caller's request id. */
static unsigned count_lines(const char *ev, const struct caller *c)
{
	char *start = g_strdup_printf("ev=%s id=%s ", ev, c->id);
	char **all = g_strsplit(lines->str, "\n", -1);
	unsigned n = 0;

	for (char **l = all; *l; l++)
		n += g_str_has_prefix(*l, start);
	g_strfreev(all);
	g_free(start);
	return n;
}

static struct caller *call_and_wait(struct bench *b, const char *method)
{
	struct caller *c;

	g_string_truncate(lines, 0);
	c = bench_call(b, method, 1000);
	bench_run_until(b, c);
	return c;
}

/* Within the limit: every decision is logged, with the retry budget. */
static void test_lines_within_allowance(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c = call_and_wait(b, "GET");

	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("411", c), 1);
	assert_non_null(strstr(lines->str, " retries_left="));
	assert_non_null(strstr(lines->str, " left_ms="));
	bench_free(b);
}

/* Beyond the limit: a request served on time is only counted. */
static void test_suppressed_served(void **state)
{
	struct bench *b = bench_new(2);
	guint64 lost = mp_log_lines_lost();
	struct caller *c;

	exhaust_log_allowance();
	c = call_and_wait(b, "GET");
	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 0);
	assert_int_equal(count_lines("411", c), 0);
	assert_int_equal(mp_log_lines_lost() - lost, 2);
	bench_free(b);
}

/*
 * Beyond the limit: a failed request is logged completely, with every server.
 */
static void test_suppressed_refused(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	bench_script(b, 0, SCRIPT_REFUSE);
	bench_script(b, 1, SCRIPT_REFUSE);
	exhaust_log_allowance();
	c = call_and_wait(b, "POST");
	assert_int_equal(c->status, 503);
	assert_int_equal(count_lines("410", c), 2);
	assert_int_equal(count_lines("414", c), 1);
	assert_int_equal(count_lines("412", c), 1);
	bench_free(b);
}

/*
 * Beyond the limit: an extra send is logged even if the request succeeds, with
 * this lifetime's extra sends so far; the metrics agree.
 */
static void test_suppressed_extra(void **state)
{
	struct bench *b = bench_new(2);
	struct buf metrics = {0};
	struct caller *c;

	bench_script(b, 0, SCRIPT_REFUSE);
	b->servers[1].work_ms = 1;
	exhaust_log_allowance();
	for (int i = 0; i < 50; i++) {
		c = call_and_wait(b, "GET");
		assert_int_equal(c->status, 200);
		if (count_lines("419", c))
			break;
	}
	assert_int_equal(count_lines("419", c), 1);
	assert_non_null(strstr(lines->str, " service=harta cause=retry "));
	assert_non_null(strstr(lines->str, " spent=1 "));
	assert_non_null(strstr(lines->str, " lifetime="));
	metrics_write(&metrics, &b->traffic);
	buf_add(&metrics, "", 1);
	assert_non_null(strstr(metrics.ptr,
			       "service_extra_sends{service=\"harta\","
			       "cause=\"retry\"} 1\n"));
	assert_non_null(strstr(metrics.ptr,
			       "service_extra_denied{service=\"harta\","
			       "cause=\"retry\"} 0\n"));
	buf_free(&metrics);
	bench_free(b);
}

/* Beyond the limit: late requests and unknown outcomes are logged. */
static void test_suppressed_late(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	b->servers[0].work_ms = BENCH_TARGET_MS + 50;
	exhaust_log_allowance();
	c = call_and_wait(b, "POST");
	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("411", c), 1);
	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 5;
	exhaust_log_allowance();
	c = call_and_wait(b, "POST");
	assert_int_equal(c->status, 502);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("413", c), 1);
	bench_free(b);
}

/*
 * A broken connection is logged with the request's digest: equal for two
 * attempts of one request, different for another request.
 */
static void test_broken(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;
	char *first, *second;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	c = call_and_wait(b, "POST");
	assert_int_equal(count_lines("418", c), 1);
	first = g_strndup(strstr(lines->str, "digest="), 23);
	call_and_wait(b, "POST");
	second = g_strndup(strstr(lines->str, "digest="), 23);
	assert_string_equal(first, second);
	call_and_wait(b, "GET");
	assert_null(strstr(lines->str, first));
	g_free(first);
	g_free(second);
	bench_free(b);
}

/* An unreachable server is logged once, and again when it answers. */
static void test_unreachable_logged(void **state)
{
	struct bench *b = bench_new(1);

	call_and_wait(b, "GET");
	bench_kill(b, 0);
	call_and_wait(b, "GET");
	assert_non_null(strstr(lines->str, "ev=316 backend=i-0 service=harta "
					   "err=Connection refused"));
	call_and_wait(b, "GET");
	assert_null(strstr(lines->str, "ev=316"));
	b->servers[0].dead = false;
	server_open(b, 0);
	call_and_wait(b, "GET");
	assert_non_null(strstr(lines->str, "ev=317 backend=i-0"));
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken),
		cmocka_unit_test(test_unreachable_logged),
		cmocka_unit_test(test_lines_within_allowance),
		cmocka_unit_test(test_suppressed_served),
		cmocka_unit_test(test_suppressed_refused),
		cmocka_unit_test(test_suppressed_extra),
		cmocka_unit_test(test_suppressed_late),
	};

	lines = g_string_new(NULL);
	g_log_set_writer_func(capture_line, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
