/*
 * Tests of common/event: line format, rate limit, log level, and that a reader
 * that stops reading doesn't block the process.
 */
#include "tests/unit.h"

#include <fcntl.h>
#include <unistd.h>

#include "common/event.h"
#include "misc/clock.h"

/* Standard output replaced by a pipe. */
struct captured_stdout {
	int saved, reader;
};

/* Replaces standard output with a pipe. */
static struct captured_stdout capture_stdout(void)
{
	struct captured_stdout s;
	int p[2];

	assert_int_equal(pipe(p), 0);
	fflush(stdout);
	s.saved = dup(STDOUT_FILENO);
	dup2(p[1], STDOUT_FILENO);
	close(p[1]);
	s.reader = p[0];
	fcntl(s.reader, F_SETFL, O_NONBLOCK);
	return s;
}

/* Undoes capture_stdout(). */
static void restore_stdout(struct captured_stdout *s)
{
	dup2(s->saved, STDOUT_FILENO);
	close(s->saved);
	close(s->reader);
}

/* Waits for the next second, whose rate limit is unused. */
static void next_second(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	usleep((useconds_t)(1000000 - t.tv_nsec / 1000));
}

/* Reads what is available as a string. */
static size_t read_all(int fd, char *buf, size_t max)
{
	size_t n = 0;
	ssize_t got;

	while (n < max - 1 && (got = read(fd, buf + n, max - 1 - n)) > 0)
		n += (size_t)got;
	buf[n] = '\0';
	return n;
}

/* Format of a log line. */
static void test_line(void **state)
{
	static char buf[4096];
	struct captured_stdout s = capture_stdout();

	mp_event(EV_REQUEST_REFUSED, G_LOG_LEVEL_INFO, "id=%s why=%s", "a-1",
		 "no room");
	read_all(s.reader, buf, sizeof(buf));
	restore_stdout(&s);
	assert_non_null(strstr(buf, " ev=412 "));
	assert_non_null(
		strstr(buf, " level=info dropped=0 id=a-1 why=no room\n"));
	assert_int_equal(strncmp(buf, "ts=", 3), 0);
}

/* Guards against a text from outside that begins a line of its own. */
static void test_one_line(void **state)
{
	static char buf[4096];
	struct captured_stdout s = capture_stdout();

	mp_event(EV_REQUEST_REFUSED, G_LOG_LEVEL_INFO, "id=%s",
		 "a\r\nts=0 ev=900\t\x7f\xff");
	read_all(s.reader, buf, sizeof(buf));
	restore_stdout(&s);
	assert_non_null(strstr(buf, " id=a??ts=0 ev=900???\n"));
	assert_ptr_equal(strchr(buf, '\n'), buf + strlen(buf) - 1);
}

/* The rate limit holds, and the next line reports the dropped lines. */
static void test_rate(void **state)
{
	static char buf[1 << 20];
	struct captured_stdout s = capture_stdout();
	guint64 lost = mp_log_lines_lost();
	int lines = 0;

	next_second();
	for (int i = 0; i < 2000; i++) {
		mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO, "n=%d", i);
		if (i % 100 == 0)
			read_all(s.reader, buf, sizeof(buf));
	}
	lost = mp_log_lines_lost() - lost;
	read_all(s.reader, buf, sizeof(buf));
	next_second();
	mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO, "after");
	read_all(s.reader, buf, sizeof(buf));
	restore_stdout(&s);
	for (char *p = buf; (p = strchr(p, '\n')); p++)
		lines++;
	assert_int_equal(lines, 1);
	assert_int_equal(lost, 1600);
	assert_non_null(strstr(buf, "dropped=1600 after"));
}

/* Without a reader, 20,000 lines take no longer than formatting them. */
static void test_reader_stopped(void **state)
{
	struct captured_stdout s = capture_stdout();
	guint64 lost = mp_log_lines_lost();
	char text[900];
	int64_t t0;

	memset(text, 'x', sizeof(text));
	text[sizeof(text) - 1] = '\0';
	next_second();
	t0 = clock_ms();
	for (int i = 0; i < 20000; i++)
		mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO, "%s", text);
	t0 = clock_ms() - t0;
	restore_stdout(&s);
	assert_true(t0 < 2000);
	/* A pipe holds 64 KB, about 60 of these lines. */
	assert_true(mp_log_lines_lost() - lost > 19000);
}

/* Level notice omits the events of single requests. */
static void test_level(void **state)
{
	static char buf[4096];
	struct captured_stdout s = capture_stdout();

	next_second();
	assert_int_equal(mp_log_set_level("notice"), 0);
	mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO, "one request");
	mp_event(EV_MEMBER_REMOVED, G_LOG_LEVEL_MESSAGE, "a server");
	assert_int_equal(mp_log_set_level("info"), 0);
	read_all(s.reader, buf, sizeof(buf));
	restore_stdout(&s);
	assert_null(strstr(buf, "one request"));
	assert_non_null(strstr(buf, "a server"));
	assert_int_not_equal(mp_log_set_level("loud"), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_line),
		cmocka_unit_test(test_one_line),
		cmocka_unit_test(test_rate),
		cmocka_unit_test(test_reader_stopped),
		cmocka_unit_test(test_level),
	};

	mp_log_init("test");
	mp_log_to_stdout();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
