#include <errno.h>
#include <stdbool.h>
#include <string.h>
#include <strings.h>
#include <sys/param.h>

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

/* Returns whether c is allowed in a token (RFC 9110, 5.6.2). */
static bool is_token_char(unsigned char c)
{
	if (c >= '0' && c <= '9')
		return true;
	if ((c | 0x20) >= 'a' && (c | 0x20) <= 'z')
		return true;
	return c && strchr("!#$%&'*+-.^_`|~", c);
}

static bool is_digit(char c)
{
	return c >= '0' && c <= '9';
}

/* head_is_token() returns whether all n bytes at p may be in a field's name. */
bool head_is_token(const char *p, size_t n)
{
	while (n && is_token_char((unsigned char)*p)) {
		p++;
		n--;
	}
	return n == 0;
}

/* head_is_text() returns whether all n bytes at p may be in a field's value. */
bool head_is_text(const char *p, size_t n)
{
	for (; n; p++, n--) {
		unsigned char c = (unsigned char)*p;

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* Headers that determine a message's framing or its destination. */
enum { CONTENT_LENGTH, TRANSFER_ENCODING, HOST, UNIQUE_HEADERS };

static const struct lstr unique_headers[UNIQUE_HEADERS] = {
	[CONTENT_LENGTH] = {"content-length", 14},
	[TRANSFER_ENCODING] = {"transfer-encoding", 17},
	[HOST] = {"host", 4},
};

/* Strips blanks and tabs at both ends. */
static struct lstr trim(const char *p, size_t n)
{
	while (n && (*p == ' ' || *p == '\t')) {
		p++;
		n--;
	}
	while (n && (p[n - 1] == ' ' || p[n - 1] == '\t'))
		n--;
	return (struct lstr){p, n};
}

/* Returns whether a value frames a body in a way that is understood here. */
static bool is_framing(unsigned header, struct lstr value)
{
	size_t digits = 0;

	if (header == TRANSFER_ENCODING)
		return value.len == 7 &&
		       !strncasecmp(value.ptr, "chunked", value.len);
	while (digits < value.len && is_digit(value.ptr[digits]))
		digits++;
	return header != CONTENT_LENGTH || (digits && digits == value.len);
}

/* Checks a header line without its CRLF; rejects repeated unique headers. */
static int check_line(const char *p, size_t n, unsigned *seen)
{
	const char *colon = memchr(p, ':', n);
	size_t name = colon ? (size_t)(colon - p) : 0;

	if (name == 0 || !head_is_token(p, name) ||
	    !head_is_text(colon + 1, n - name - 1))
		return -EPROTO;
	for (unsigned i = 0; i < UNIQUE_HEADERS; i++) {
		const struct lstr *h = &unique_headers[i];

		if (name != h->len || strncasecmp(p, h->ptr, name))
			continue;
		if (seen[i]++ || !is_framing(i, trim(colon + 1, n - name - 1)))
			return -EPROTO;
	}
	return 0;
}

/*
 * Checks the header lines of a head that ends at `end`: rejects what HTTP
 * implementations interpret differently, see head.h.
 */
static int check_lines(const char *p, const char *end)
{
	unsigned seen[UNIQUE_HEADERS] = {0};

	while (p < end - 2) {
		const char *eol = memchr(p, '\r', (size_t)(end - p));
		int rc;

		if (!eol || eol[1] != '\n')
			return -EPROTO;
		rc = check_line(p, (size_t)(eol - p), seen);
		if (rc)
			return rc;
		p = eol + 2;
	}
	return seen[CONTENT_LENGTH] && seen[TRANSFER_ENCODING] ? -EPROTO : 0;
}

/* Returns the length of the first line, or 0 if it contains a lone CR. */
static size_t first_line(const char *p, size_t n)
{
	const char *eol = memchr(p, '\r', n);

	return eol && eol[1] == '\n' ? (size_t)(eol - p) : 0;
}

#define VERSION "HTTP/1."

enum { VERSION_LEN = sizeof(VERSION) }; /* with the digit after it */

/* Returns whether n bytes are a version of HTTP/1. */
static bool is_version(const char *p, size_t n)
{
	return n == VERSION_LEN && !memcmp(p, VERSION, n - 1) &&
	       is_digit(p[n - 1]);
}

/* Returns whether n bytes are a request line: method, target, version. */
static bool is_request_line(const char *p, size_t n)
{
	const char *end = p + n, *target = memchr(p, ' ', n);
	const char *version =
		target ? memchr(target + 1, ' ', (size_t)(end - target - 1))
		       : NULL;

	if (!version || target == p || version == target + 1 ||
	    !head_is_token(p, (size_t)(target - p)))
		return false;
	for (const char *s = target + 1; s < version; s++) {
		if ((unsigned char)*s <= 0x20 || *s == 0x7f)
			return false;
	}
	return is_version(version + 1, (size_t)(end - version - 1));
}

/*
 * Returns whether n bytes are a status line: version, a status from 100 to 599,
 * and maybe a reason.
 */
static bool is_status_line(const char *p, size_t n)
{
	const char *status = p + VERSION_LEN + 1;
	size_t rest;

	if (n < VERSION_LEN + 4 || !is_version(p, VERSION_LEN) ||
	    p[VERSION_LEN] != ' ')
		return false;
	if (status[0] < '1' || status[0] > '5' || !is_digit(status[1]) ||
	    !is_digit(status[2]))
		return false;
	rest = n - VERSION_LEN - 4;
	return rest == 0 ||
	       (status[3] == ' ' && head_is_text(status + 4, rest - 1));
}

/*
 * head_check_request() checks a request's head of n bytes, as delimited by
 * head_find_end(). Returns 0 or -EPROTO.
 */
int head_check_request(const char *p, size_t n)
{
	size_t line = first_line(p, n);

	return is_request_line(p, line) ? check_lines(p + line + 2, p + n)
					: -EPROTO;
}

/* head_check_response() does the same for a response's head. */
int head_check_response(const char *p, size_t n)
{
	size_t line = first_line(p, n);

	return is_status_line(p, line) ? check_lines(p + line + 2, p + n)
				       : -EPROTO;
}

/* head_may_be_response() returns whether a response may begin with n bytes. */
bool head_may_be_response(const char *p, size_t n)
{
	return !memcmp(p, VERSION, MIN(n, VERSION_LEN - 1));
}
