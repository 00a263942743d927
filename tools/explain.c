/*
 * Gathers one request's story from the logs of any number of processes: its
 * lines in their order, each with what it says, and what the same processes
 * came to believe shortly before (servers that left, the store lost).
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "common/event.h"
#include "tools/tools.h"

enum {
	LINE_BYTES = 4096,
	/* What a process learned this long before is told as well. */
	CONTEXT_S = 5,
};

struct log_line {
	double ts;
	int ev;
	char *text;   /* from "ts=" on */
	char *source; /* what stands before it: a file or process name */
};

struct event_text {
	int ev;
	const char *text;
};

static const struct event_text event_texts[] = {
	{EV_REQUEST_SENT, "sent to a backend server"},
	{EV_REQUEST_DONE, "answered by a backend server"},
	{EV_REQUEST_REFUSED, "refused: it did not run and never will"},
	{EV_REQUEST_UNKNOWN, "ended without an answer: it may have run"},
	{EV_REQUEST_RETRY, "goes to another server"},
	{EV_REQUEST_BROKEN, "the connection to a server broke under it"},
	{EV_REQUEST_EXTRA, "a send beyond its first, from the retry budget"},
	{EV_REQUEST_WITHDRAWN, "not sent: the server became unavailable"},
	{EV_LIMIT_SEND, "taken from the limit that the server names"},
	{EV_REQUEST_GONE, "the caller left"},
	{EV_REQUEST_NO_ROUTE, "no route takes it"},
	{EV_CALL_FOREIGN_ANSWER, "a server's answer named another request"},
	{EV_CONFIG_APPLIED, "a configuration version came into force"},
	{EV_PLATFORM_UNREACHABLE, "the store stopped answering"},
	{EV_PLATFORM_RECOVERED, "the store answers again"},
	{EV_MEMBER_LEAVING, "a server drains"},
	{EV_MEMBER_GONE, "a server is off the list"},
	{EV_BACKEND_DOWN, "a server doesn't answer questions"},
	{EV_LIMIT_NAMED, "a server names a limit"},
	{EV_LIMIT_ENDED, "a server names no limit any more"},
	{EV_STOPPING, "the instance began to stop"},
	{EV_STARTED, "the instance started"},
};

static const char *describe_event(int ev)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_texts); i++) {
		if (event_texts[i].ev == ev)
			return event_texts[i].text;
	}
	return NULL;
}

/* Reads the lines that are ours; whatever a collector put before stays. */
static GArray *read_lines(FILE *in)
{
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct log_line));
	char buf[LINE_BYTES];

	while (fgets(buf, sizeof(buf), in)) {
		char *ts = strstr(buf, "ts="), *ev = strstr(buf, " ev=");
		struct log_line l;

		if (!ts || !ev)
			continue;
		l.ts = g_ascii_strtod(ts + strlen("ts="), NULL);
		l.ev = atoi(ev + strlen(" ev="));
		l.text = g_strchomp(g_strdup(ts));
		l.source = g_strchomp(g_strndup(buf, (gsize)(ts - buf)));
		g_array_append_val(lines, l);
	}
	return lines;
}

static int compare_ts(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = a, *y = b;

	return x->ts < y->ts ? -1 : x->ts > y->ts;
}

/* Tells whether a line names the id, as a whole value. */
static bool has_id(const struct log_line *l, const char *id)
{
	char *key = g_strdup_printf(" id=%s ", id);
	bool found = strstr(l->text, key) != NULL;

	g_free(key);
	return found;
}

/* What a process believes, not what it did with some request. */
static bool is_state_event(int ev)
{
	return ev < EV_CALL_FOREIGN_ANSWER && ev != EV_MEMBER_JOINED &&
	       describe_event(ev);
}

/* The part of a line after its level, which is the same on all. */
static const char *fields_of(const struct log_line *l)
{
	const char *p = strstr(l->text, " level=");

	p = p ? strchr(p + 1, ' ') : NULL;
	return p ? p + 1 : l->text;
}

static void print_line(const struct log_line *l, double t0)
{
	const char *text = describe_event(l->ev);

	printf("%+9.3f s  %s%s%s\n             ev=%d %s\n", l->ts - t0,
	       l->source, *l->source ? " " : "", text ? text : "-", l->ev,
	       fields_of(l));
}

/*
 * explain_main() reads logs from standard input. Returns 0, or -ENOENT when
 * no line names the request.
 */
int explain_main(const char *id)
{
	GArray *lines = read_lines(stdin);
	double first = 0, last = 0;
	GHashTable *sources = g_hash_table_new(g_str_hash, g_str_equal);

	g_array_sort(lines, compare_ts);
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *l = &g_array_index(lines, struct log_line, i);

		if (!has_id(l, id))
			continue;
		first = first ? first : l->ts;
		last = l->ts;
		g_hash_table_add(sources, l->source);
	}
	if (!last) {
		fprintf(stderr, "explain: no line names id=%s\n", id);
		return -ENOENT;
	}
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *l = &g_array_index(lines, struct log_line, i);
		bool context = l->ts >= first - CONTEXT_S && l->ts <= last &&
			       is_state_event(l->ev) &&
			       g_hash_table_contains(sources, l->source);

		if (context || has_id(l, id))
			print_line(l, first);
	}
	return 0;
}
