/*
 * Prints the history of one request from the logs of any number of processes:
 * its log lines in order of time with a description each, and the state
 * changes that the same processes logged shortly before (servers that left,
 * loss of the store).
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
	CONTEXT_S = 5, /* also print state changes this long before */
};

/* A parsed line of a log. */
struct log_line {
	double ts;
	int ev;
	char *text;   /* starting at "ts=" */
	char *source; /* text before it: a file or process name */
};

/* Description of a log event. */
struct event_text {
	int ev;
	const char *text;
};

static const struct event_text event_texts[] = {
	{EV_REQUEST_SENT, "sent to a backend server"},
	{EV_REQUEST_DONE, "answered by a backend server"},
	{EV_REQUEST_REFUSED, "refused: it did not run and never will"},
	{EV_REQUEST_OUTCOME_UNKNOWN,
	 "ended without an answer: it may have run"},
	{EV_REQUEST_RETRY, "goes to another server"},
	{EV_REQUEST_CONNECTION_BROKEN,
	 "the connection to a server broke under it"},
	{EV_REQUEST_EXTRA_SEND, "an extra send, charged to the retry budget"},
	{EV_REQUEST_SEND_CANCELED, "not sent: the server became unavailable"},
	{EV_LIMIT_CHARGED, "sent within the rate limit of the server"},
	{EV_REQUEST_CALLER_LEFT, "the caller disconnected"},
	{EV_REQUEST_NO_ROUTE, "no route matches"},
	{EV_REQUEST_UNAUTHORIZED, "the caller's key is missing or unknown"},
	{EV_BODY_REFUSED, "refused: no memory for its body"},
	{EV_RESPONSE_MISMATCHED, "a server's response was for another request"},
	{EV_CONFIG_APPLIED, "a configuration version was applied"},
	{EV_PLATFORM_UNREACHABLE, "the store stopped responding"},
	{EV_PLATFORM_RECOVERED, "the store responds again"},
	{EV_MEMBER_LEAVING, "a server started to drain"},
	{EV_MEMBER_REMOVED, "a server was removed from the list"},
	{EV_SERVICE_LOST, "no server of a service was reached any more"},
	{EV_SERVICE_REACHED, "a server of the service was reached again"},
	{EV_TUNNEL_OPENED, "a peer's tunnel to a server was opened"},
	{EV_TUNNEL_FAILED, "a peer could not open a tunnel to a server"},
	{EV_TUNNEL_SERVED, "the peer serves the tunnel to the server"},
	{EV_TUNNEL_REFUSED, "the peer refused the tunnel"},
	{EV_TUNNEL_CLOSED, "the peer closed the tunnel"},
	{EV_BACKEND_DOWN, "a server doesn't respond to probes"},
	{EV_LIMIT_STARTED, "a server set a rate limit"},
	{EV_LIMIT_ENDED, "a server removed its rate limit"},
	{EV_STOPPING, "the instance started to shut down"},
	{EV_STARTED, "the instance started"},
};

/* Numbers of the events about one part of the system. */
static const struct {
	int first, last;
	const char *field; /* names what such an event is about */
	const char *text;
} event_groups[] = {
	{370, 379, "workspace", "the quota of the workspace"},
	{380, 389, "service", "the shortage of the service"},
};

/* Returns the description of an event, or NULL if it has none. */
static const char *describe_event(int ev)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_texts); i++) {
		if (event_texts[i].ev == ev)
			return event_texts[i].text;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(event_groups); i++) {
		if (ev >= event_groups[i].first && ev <= event_groups[i].last)
			return event_groups[i].text;
	}
	return NULL;
}

/* Reads all log lines; text that a log collector put before them is kept. */
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

/* Orders lines by time. */
static int compare_ts(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = a, *y = b;

	return x->ts < y->ts ? -1 : x->ts > y->ts;
}

/* Whether the value of a line's id field is exactly `id`. */
static bool has_id(const struct log_line *l, const char *id)
{
	char *key = g_strdup_printf(" id=%s ", id);
	bool found = strstr(l->text, key) != NULL;

	g_free(key);
	return found;
}

/* Returns the value of a field, to be freed, or NULL. */
static char *field_value(const struct log_line *l, const char *name)
{
	char *key = g_strdup_printf(" %s=", name);
	const char *p = strstr(l->text, key);
	size_t skip = strlen(key);

	g_free(key);
	return p ? g_strndup(p + skip, strcspn(p + skip, " ")) : NULL;
}

/* Adds the workspace and the service that a request's line names. */
static void add_subjects(GHashTable *subjects, const struct log_line *l)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_groups); i++) {
		char *value = field_value(l, event_groups[i].field);

		if (value)
			g_hash_table_add(subjects,
					 g_strdup_printf("%s=%s",
							 event_groups[i].field,
							 value));
		g_free(value);
	}
}

/*
 * Whether a line tells the state of a quota or a shortage that concerns the
 * request, and isn't a step of another request.
 */
static bool is_of_subjects(const struct log_line *l, GHashTable *subjects)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_groups); i++) {
		char *value, *subject;
		bool found;

		if (l->ev < event_groups[i].first ||
		    l->ev > event_groups[i].last || strstr(l->text, " id="))
			continue;
		value = field_value(l, event_groups[i].field);
		subject = g_strdup_printf("%s=%s", event_groups[i].field,
					  value ? value : "");
		found = g_hash_table_contains(subjects, subject);
		g_free(subject);
		g_free(value);
		return found;
	}
	return false;
}

/* Adds the tunnel that a request's line names, unless it is none. */
static void add_tunnel(GHashTable *tunnels, const struct log_line *l)
{
	const char *p = strstr(l->text, " tunnel=");
	char *id;

	if (!p || l->ev != EV_REQUEST_SENT)
		return;
	p += strlen(" tunnel=");
	id = g_strndup(p, strcspn(p, " "));
	if (strspn(id, "0") == strlen(id))
		g_free(id);
	else
		g_hash_table_add(tunnels, id);
}

/* Whether a line, of either end, is about one of these tunnels. */
static bool is_of_tunnels(const struct log_line *l, GHashTable *tunnels)
{
	const char *p = strstr(l->text, " tunnel=");
	char *id;
	bool found;

	if (!p || l->ev < EV_TUNNEL_OPENED || l->ev > EV_TUNNEL_CLOSED)
		return false;
	p += strlen(" tunnel=");
	id = g_strndup(p, strcspn(p, " "));
	found = g_hash_table_contains(tunnels, id);
	g_free(id);
	return found;
}

/* Whether an event reports a state change rather than a step of a request. */
static bool is_state_event(int ev)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_groups); i++) {
		if (ev >= event_groups[i].first && ev <= event_groups[i].last)
			return false;
	}
	return ev < EV_RESPONSE_MISMATCHED && ev != EV_MEMBER_JOINED &&
	       !(ev >= EV_TUNNEL_OPENED && ev <= EV_TUNNEL_CLOSED) &&
	       describe_event(ev);
}

/* Returns the fields after the level; those before it are on every line. */
static const char *fields_of(const struct log_line *l)
{
	const char *p = strstr(l->text, " level=");

	p = p ? strchr(p + 1, ' ') : NULL;
	return p ? p + 1 : l->text;
}

/* Prints a line with its time since t0 and its description. */
static void print_line(const struct log_line *l, double t0)
{
	const char *text = describe_event(l->ev);

	printf("%+9.3f s  %s%s%s\n             ev=%d %s\n", l->ts - t0,
	       l->source, *l->source ? " " : "", text ? text : "-", l->ev,
	       fields_of(l));
}

/*
 * explain_main() prints the history of request `id` from the logs on standard
 * input. Returns 0, or -ENOENT if no line has this id.
 */
int explain_main(const char *id)
{
	GArray *lines = read_lines(stdin);
	double first = 0, last = 0;
	GHashTable *sources = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *tunnels = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *subjects = g_hash_table_new(g_str_hash, g_str_equal);

	g_array_sort(lines, compare_ts);
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *l = &g_array_index(lines, struct log_line, i);

		if (!has_id(l, id))
			continue;
		first = first ? first : l->ts;
		last = l->ts;
		g_hash_table_add(sources, l->source);
		add_tunnel(tunnels, l);
		add_subjects(subjects, l);
	}
	if (!last) {
		fprintf(stderr, "explain: no log line has id=%s\n", id);
		return -ENOENT;
	}
	for (guint i = 0; i < lines->len; i++) {
		struct log_line *l = &g_array_index(lines, struct log_line, i);
		bool recent = l->ts >= first - CONTEXT_S && l->ts <= last;
		bool context = recent &&
			       ((is_state_event(l->ev) &&
				 g_hash_table_contains(sources, l->source)) ||
				is_of_subjects(l, subjects));

		if (context || has_id(l, id) || is_of_tunnels(l, tunnels))
			print_line(l, first);
	}
	return 0;
}
