#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <ck_pr.h>

#include "common/event.h"
#include "misc/text.h"

enum {
	LINE_MAX_BYTES = 1200,
	/*
	 * Rate limit: a few times what a busy instance logs, so that a burst
	 * of log lines doesn't slow down requests.
	 */
	LINES_PER_S = 400,
	/*
	 * Successful requests that are logged per second. At two lines each
	 * they use half of LINES_PER_S; the other half is reserved for failed
	 * requests and state changes.
	 */
	ROUTINE_REQUESTS_PER_S = 100,
};

static const char *log_role = "-";
static bool to_stdout, critical_only;
static uint64_t dropped; /* lines since the last one written */
static uint64_t dropped_total, lines_this_s;
static bool omit_info; /* events of single requests */
static uint64_t current_s, routine_this_s;

/* Returns the name of a level in log lines. */
static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "error";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "crit";
	if (level & G_LOG_LEVEL_WARNING)
		return "warn";
	if (level & G_LOG_LEVEL_MESSAGE)
		return "notice";
	if (level & G_LOG_LEVEL_INFO)
		return "info";
	return "debug";
}

/* Counts a dropped line, for the next line's `dropped` and the total. */
static void count_dropped(void)
{
	ck_pr_inc_64(&dropped);
	ck_pr_inc_64(&dropped_total);
}

/* mp_log_lines_lost() returns the lines dropped since the process started. */
guint64 mp_log_lines_lost(void)
{
	return ck_pr_load_64(&dropped_total);
}

/*
 * mp_log_set_level() sets the level: "info" (everything, the default) or
 * "notice" (no events of single requests). Returns 0 or -EINVAL.
 */
int mp_log_set_level(const char *name)
{
	if (strcmp(name, "info") && strcmp(name, "notice"))
		return -EINVAL;
	omit_info = !strcmp(name, "notice");
	return 0;
}

/* Resets the per-second counters when a new second has begun. */
static void start_second(const struct timespec *ts)
{
	if (ck_pr_load_64(&current_s) == (uint64_t)ts->tv_sec)
		return;
	ck_pr_store_64(&current_s, (uint64_t)ts->tv_sec);
	ck_pr_store_64(&lines_this_s, 0);
	ck_pr_store_64(&routine_this_s, 0);
}

/* Counts a line and returns whether it is within the rate limit. */
static bool within_rate(const struct timespec *ts)
{
	start_second(ts);
	return ck_pr_faa_64(&lines_this_s, 1) < LINES_PER_S;
}

/*
 * mp_log_allow_routine() returns whether the lines of one more request may be
 * written immediately. If not, the caller defers them until the request ends:
 * a failed request is then logged in full, the lines of a successful one are
 * only counted, with mp_log_add_suppressed().
 */
bool mp_log_allow_routine(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	start_second(&ts);
	return ck_pr_faa_64(&routine_this_s, 1) < ROUTINE_REQUESTS_PER_S;
}

/* mp_log_add_suppressed() counts a successful request's lines as dropped. */
void mp_log_add_suppressed(unsigned lines)
{
	ck_pr_add_64(&dropped, lines);
	ck_pr_add_64(&dropped_total, lines);
}

/*
 * Writes a line only if that can't block: a pipe that polls as writable
 * accepts a whole line. Otherwise the line is counted as dropped.
 */
static void write_nonblocking(const char *line, size_t n)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	if (poll(&p, 1, 0) != 1 || !(p.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, n) < 0)
		count_dropped();
}

/* Writes a rate-limited line with the number of lines dropped before it. */
static void write_stdout(const struct timespec *ts, const char *ev,
			 GLogLevelFlags level, const char *msg)
{
	char line[LINE_MAX_BYTES];
	uint64_t dropped_before;
	int n;

	if (!within_rate(ts)) {
		count_dropped();
		return;
	}
	dropped_before = ck_pr_fas_64(&dropped, 0);
	n = snprintf(line, sizeof(line),
		     "ts=%lld.%03ld role=%s ev=%s level=%s dropped=%llu %s\n",
		     (long long)ts->tv_sec, ts->tv_nsec / 1000000, log_role, ev,
		     level_name(level), (unsigned long long)dropped_before,
		     msg);
	if (n >= (int)sizeof(line)) {
		n = sizeof(line);
		line[n - 1] = '\n';
	}
	write_nonblocking(line, (size_t)n);
}

/*
 * GLib's log writer: one logfmt line per event, to stderr or stdout, readable
 * for people and line-oriented collectors. Debug lines are omitted unless
 * G_MESSAGES_DEBUG is set, as GLib does by default.
 */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer data)
{
	const char *ev = "0", *msg = "";
	struct timespec ts;

	(void)data;
	if (omit_info && (level & G_LOG_LEVEL_INFO))
		return G_LOG_WRITER_HANDLED;
	if (critical_only &&
	    !(level & (G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_ERROR)))
		return G_LOG_WRITER_HANDLED;
	if ((level & G_LOG_LEVEL_DEBUG) && !g_getenv("G_MESSAGES_DEBUG"))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < n_fields; i++) {
		if (!g_strcmp0(fields[i].key, "EVENT"))
			ev = fields[i].value;
		else if (!g_strcmp0(fields[i].key, "MESSAGE"))
			msg = fields[i].value;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	if (to_stdout) {
		write_stdout(&ts, ev, level, msg);
		return G_LOG_WRITER_HANDLED;
	}
	fprintf(stderr, "ts=%lld.%03ld role=%s ev=%s level=%s msg=\"%s\"\n",
		(long long)ts.tv_sec, ts.tv_nsec / 1000000, log_role, ev,
		level_name(level), msg);
	return G_LOG_WRITER_HANDLED;
}

/* mp_log_init() sets the role named in every line and installs the writer. */
void mp_log_init(const char *role)
{
	log_role = role;
	g_log_set_writer_func(write_line, NULL, NULL);
}

/*
 * mp_log_to_stdout() switches to standard output, with a rate limit and
 * without ever blocking on the reader.
 */
void mp_log_to_stdout(void)
{
	to_stdout = true;
}

/* mp_log_critical_only() omits all but critical lines, for tests. */
void mp_log_critical_only(void)
{
	critical_only = true;
}

/*
 * mp_event() logs event ev with a printf-style message. Texts in it may come
 * from other programs: whatever they contain, the message is one line. Quotes in
 * it are not escaped.
 */
void mp_event(enum mp_event ev, GLogLevelFlags level, const char *fmt, ...)
{
	char evs[16], msg[1024];
	va_list ap;

	snprintf(evs, sizeof(evs), "%d", (int)ev);
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	text_make_printable(msg);
	g_log_structured("mimosapitch", level, "EVENT", evs, "ROLE", log_role,
			 "MESSAGE", "%s", msg);
}
