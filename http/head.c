#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "http/head.h"
#include "misc/lstr.h"

/*
 * head_find_end() looks for the empty line that ends a head in n bytes at p,
 * of which the first `from` were looked at before. Returns the length of the
 * head with its empty line, 0 when more bytes are needed, or -EPROTO on a
 * line feed without its carriage return.
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

/* Tells whether c may stand in a header name (RFC 9110 token). */
static bool is_token_char(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return true;
	if ((c | 0x20) >= 'a' && (c | 0x20) <= 'z')
		return true;
	return c && strchr("!#$%&'*+-.^_`|~", c);
}

/* Headers that change where a message ends or whom it is for. */
static const struct lstr unique_headers[] = {
	{"content-length", 14},
	{"transfer-encoding", 17},
	{"host", 4},
};

enum { UNIQUE_HEADERS = sizeof(unique_headers) / sizeof(unique_headers[0]) };

/* Checks one header line without its line end; counts the single ones. */
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
 * head_check() refuses what readers are known to take differently: a folded
 * or nameless header line, a blank before the colon, control bytes, a second
 * Host, Content-Length or Transfer-Encoding, and a length beside a transfer
 * encoding. p and n are a head as head_find_end() delimits it. Returns 0 or
 * -EPROTO.
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
