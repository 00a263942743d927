#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "common/event.h"

static const char *log_role = "-";

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

/*
 * The writer prints one line per event, logfmt style, to stderr, so that
 * both a person and a line-oriented collector can read it. Debug lines are
 * dropped unless G_MESSAGES_DEBUG is set, as GLib does by default.
 */
static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize n_fields,
				   gpointer data)
{
	const char *ev = "0", *msg = "";
	struct timespec ts;

	(void)data;
	if ((level & G_LOG_LEVEL_DEBUG) && !g_getenv("G_MESSAGES_DEBUG"))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < n_fields; i++) {
		if (!g_strcmp0(fields[i].key, "EVENT"))
			ev = fields[i].value;
		else if (!g_strcmp0(fields[i].key, "MESSAGE"))
			msg = fields[i].value;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	fprintf(stderr, "ts=%lld.%03ld role=%s ev=%s level=%s msg=\"%s\"\n",
		(long long)ts.tv_sec, ts.tv_nsec / 1000000, log_role, ev,
		level_name(level), msg);
	return G_LOG_WRITER_HANDLED;
}

/* mp_log_init() names the role on every line and installs the writer. */
void mp_log_init(const char *role)
{
	log_role = role;
	g_log_set_writer_func(write_line, NULL, NULL);
}

/*
 * mp_event() logs event ev at the given level. The message is formatted
 * printf style; quotes in it are left as they are.
 */
void mp_event(enum mp_event ev, GLogLevelFlags level, const char *fmt, ...)
{
	char evs[16], msg[1024];
	va_list ap;

	snprintf(evs, sizeof(evs), "%d", (int)ev);
	va_start(ap, fmt);
	vsnprintf(msg, sizeof(msg), fmt, ap);
	va_end(ap);
	g_log_structured("mimosapitch", level, "EVENT", evs, "ROLE", log_role,
			 "MESSAGE", "%s", msg);
}
