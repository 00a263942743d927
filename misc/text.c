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
