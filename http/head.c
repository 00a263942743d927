#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "http/head.h"
#include "misc/lstr.h"

/*
 * head_find_end() searches the n bytes at p for the empty line that ends a
 * head, starting at offset `from`. Returns the length of the head including
 * the empty line, 0 if it is incomplete, or -EPROTO for a line feed without
 * a carriage return.
 */
ptrdiff_t head_find_end(const char *p, size_t n, size_t from)
{
	const char *lf = p + from;

	while ((lf = memchr(lf, '\n', n - (size_t)(lf - p)))) {
		if (lf == p || lf[-1] != '\r')
			return -EPROTO;
		if (lf - p >= 3 && lf[-2] == '\n')
			return lf - p + 1;
		lf++;
	}
	return 0;
}

/* Returns whether c is allowed in a header name (RFC 9110 token). */
static bool is_token_char(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return true;
	if ((c | 0x20) >= 'a' && (c | 0x20) <= 'z')
		return true;
	return c && strchr("!#$%&'*+-.^_`|~", c);
}

/* Headers that determine a message's framing or its destination. */
static const struct lstr unique_headers[] = {
	{"content-length", 14},
	{"transfer-encoding", 17},
	{"host", 4},
};

enum { UNIQUE_HEADERS = sizeof(unique_headers) / sizeof(unique_headers[0]) };

/* Checks a header line without its CRLF; rejects repeated unique headers. */
static int check_line(const char *p, size_t n, unsigned *seen)
{
	size_t name = 0;

	while (name < n && is_token_char((unsigned char)p[name]))
		name++;
	if (name == 0 || name == n || p[name] != ':')
		return -EPROTO;
	for (size_t i = name + 1; i < n; i++) {
		unsigned char c = (unsigned char)p[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return -EPROTO;
	}
	for (unsigned i = 0; i < UNIQUE_HEADERS; i++) {
		const struct lstr *h = &unique_headers[i];

		if (name == h->len && !strncasecmp(p, h->ptr, name) &&
		    seen[i]++)
			return -EPROTO;
	}
	return 0;
}

/*
 * head_check() rejects syntax that HTTP implementations interpret differently:
 * folded header lines, empty header names, whitespace before the colon, control
 * characters, a repeated Host, Content-Length or Transfer-Encoding, and
 * Content-Length together with Transfer-Encoding. The n bytes at p are a head
 * as delimited by head_find_end(). Returns 0 or -EPROTO.
 */
int head_check(const char *p, size_t n)
{
	const char *end = p + n, *eol = memchr(p, '\r', n);
	unsigned seen[UNIQUE_HEADERS] = {0};

	for (const char *s = p; s < eol; s++) {
		if ((unsigned char)*s < 0x20 || *s == 0x7f)
			return -EPROTO;
	}
	for (p = eol + 2; p < end - 2; p = eol + 2) {
		eol = memchr(p, '\r', (size_t)(end - p));
		if (!eol || eol[1] != '\n')
			return -EPROTO;
		int rc = check_line(p, (size_t)(eol - p), seen);

		if (rc)
			return rc;
	}
	return seen[0] && seen[1] ? -EPROTO : 0;
}
