#include <glib.h>

#include "misc/text.h"

/* text_is_printable() returns whether a text is printable ASCII, not empty. */
bool text_is_printable(struct lstr s)
{
	for (size_t i = 0; i < s.len; i++) {
		if (!g_ascii_isprint(s.ptr[i]))
			return false;
	}
	return s.len > 0;
}

/*
 * text_is_name() returns whether a text is one that needs no escaping in a URI,
 * a header or a log line: letters, digits, "-._~" and the colon.
 */
bool text_is_name(struct lstr s)
{
	for (size_t i = 0; i < s.len; i++) {
		char c = s.ptr[i];

		if (!g_ascii_isalnum(c) && (!c || !strchr("-._~:", c)))
			return false;
	}
	return s.len > 0;
}

/*
 * text_is_target() returns whether a text can be the target of a request: a
 * path of visible ASCII.
 */
bool text_is_target(struct lstr s)
{
	return s.len && s.ptr[0] == '/' && text_is_printable(s) &&
	       !memchr(s.ptr, ' ', s.len);
}

/*
 * text_escape() returns any bytes percent-encoded, for a request line or a log,
 * to be freed.
 */
char *text_escape(struct lstr s)
{
	return g_uri_escape_bytes((const guint8 *)s.ptr, s.len, NULL);
}

/*
 * text_label() returns a text as the value of a label in metrics, to be freed:
 * quotes and backslashes are escaped, and what isn't printable is replaced.
 */
char *text_label(struct lstr s)
{
	char *copy = g_strndup(s.ptr, s.len), *label;

	text_make_printable(copy);
	label = g_strescape(copy, NULL);
	g_free(copy);
	return label;
}

/* text_make_printable() replaces all but printable ASCII by '?'. */
void text_make_printable(char *s)
{
	for (; *s; s++) {
		if (!g_ascii_isprint(*s))
			*s = '?';
	}
}
