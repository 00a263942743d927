/*
 * Tests of traffic/request_log: what is written of a request while lines are
 * plenty, and what of it remains when a storm has used up the allowance.
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

/* Takes the place of the process's own log writer. */
static GLogWriterOutput keep_line(GLogLevelFlags level, const GLogField *fields,
				  gsize n, gpointer data)
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

/* Waits for a new second and uses up its allowance for what goes well. */
static void begin_storm(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	usleep((useconds_t)(1000000 - t.tv_nsec / 1000));
	while (mp_log_allow_routine())
		;
}

/* Counts the lines of event ev that name the caller's id. */
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

static struct caller *call(struct bench *b, const char *method)
{
	struct caller *c;

	g_string_truncate(lines, 0);
	c = bench_call(b, method, 1000);
	bench_run_until(b, c);
	return c;
}

/* While lines are plenty: each decision, with the retry budget. */
static void test_plenty(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c = call(b, "GET");

	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("411", c), 1);
	assert_non_null(strstr(lines->str, " retries_left="));
	assert_non_null(strstr(lines->str, " left_ms="));
	bench_free(b);
}

/* In a storm: one that is served in time is counted, not written. */
static void test_storm_served(void **state)
{
	struct bench *b = bench_new(2);
	guint64 lost = mp_log_lines_lost();
	struct caller *c;

	begin_storm();
	c = call(b, "GET");
	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 0);
	assert_int_equal(count_lines("411", c), 0);
	assert_int_equal(mp_log_lines_lost() - lost, 2);
	bench_free(b);
}

/* In a storm: one that fails is told in full, with every server it went to. */
static void test_storm_refused(void **state)
{
	struct bench *b = bench_new(2);
	struct caller *c;

	bench_script(b, 0, SCRIPT_REFUSE);
	bench_script(b, 1, SCRIPT_REFUSE);
	begin_storm();
	c = call(b, "POST");
	assert_int_equal(c->status, 503);
	assert_int_equal(count_lines("410", c), 2);
	assert_int_equal(count_lines("414", c), 1);
	assert_int_equal(count_lines("412", c), 1);
	bench_free(b);
}

/*
 * In a storm: a second send is accounted for also when the request goes well,
 * with what this lifetime has spent so far; metrics say the same.
 */
static void test_storm_extra(void **state)
{
	struct bench *b = bench_new(2);
	struct buf metrics = {0};
	struct caller *c;

	bench_script(b, 0, SCRIPT_REFUSE);
	b->servers[1].work_ms = 1;
	begin_storm();
	for (int i = 0; i < 50; i++) {
		c = call(b, "GET");
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

/* In a storm: late, and an unknown outcome. */
static void test_storm_late(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;

	b->servers[0].work_ms = BENCH_TARGET_MS + 50;
	begin_storm();
	c = call(b, "POST");
	assert_int_equal(c->status, 200);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("411", c), 1);
	bench_script(b, 0, SCRIPT_RUN_RESET);
	b->servers[0].work_ms = 5;
	begin_storm();
	c = call(b, "POST");
	assert_int_equal(c->status, 502);
	assert_int_equal(count_lines("410", c), 1);
	assert_int_equal(count_lines("413", c), 1);
	bench_free(b);
}

/*
 * A broken connection is told with what the request is: two attempts of the
 * same request bear one digest, and another request bears another.
 */
static void test_broken(void **state)
{
	struct bench *b = bench_new(1);
	struct caller *c;
	char *first, *second;

	bench_script(b, 0, SCRIPT_RUN_RESET);
	c = call(b, "POST");
	assert_int_equal(count_lines("418", c), 1);
	first = g_strndup(strstr(lines->str, "digest="), 23);
	call(b, "POST");
	second = g_strndup(strstr(lines->str, "digest="), 23);
	assert_string_equal(first, second);
	call(b, "GET");
	assert_null(strstr(lines->str, first));
	g_free(first);
	g_free(second);
	bench_free(b);
}

/* A server whose process has ended is told once, and when it answers again. */
static void test_down(void **state)
{
	struct bench *b = bench_new(1);

	call(b, "GET");
	bench_kill(b, 0);
	call(b, "GET");
	assert_non_null(strstr(lines->str, "ev=316 backend=i-0 service=harta "
					   "err=Connection refused"));
	call(b, "GET");
	assert_null(strstr(lines->str, "ev=316"));
	b->servers[0].dead = false;
	server_open(b, 0);
	call(b, "GET");
	assert_non_null(strstr(lines->str, "ev=317 backend=i-0"));
	bench_free(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_broken),
		cmocka_unit_test(test_down),
		cmocka_unit_test(test_plenty),
		cmocka_unit_test(test_storm_served),
		cmocka_unit_test(test_storm_refused),
		cmocka_unit_test(test_storm_extra),
		cmocka_unit_test(test_storm_late),
	};

	lines = g_string_new(NULL);
	g_log_set_writer_func(keep_line, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
