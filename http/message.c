#include <errno.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/param.h>

#include "http/head.h"
#include "http/message.h"

/* Larger bodies get their memory as they arrive. */
enum { EXACT_MAX_BYTES = 64 << 20 };

/* lstr_eq_nocase() compares two strings, ignoring ASCII case. */
bool lstr_eq_nocase(struct lstr a, struct lstr b)
{
	return a.len == b.len && !strncasecmp(a.ptr, b.ptr, a.len);
}

/* Adds the header line that was read, if any, to the message. */
static void finish_header(struct http_reader *r)
{
	struct http_message *m = r->msg;

	if (!r->in_value)
		return;
	r->in_value = false;
	if (m->nheaders == m->cap_headers) {
		size_t cap = m->cap_headers ? m->cap_headers * 2 : 16;
		struct http_header *h =
			arena_alloc(&m->arena, cap * sizeof(*h));

		if (m->nheaders)
			memcpy(h, m->headers, m->nheaders * sizeof(*h));
		m->headers = h;
		m->cap_headers = cap;
	}
	m->headers[m->nheaders++] = (struct http_header){
		.name = arena_lstr(&m->arena, buf_lstr(&r->name)),
		.value = arena_lstr(&m->arena, buf_lstr(&r->value)),
	};
	r->name.len = 0;
	r->value.len = 0;
}

/* Handles a part of a trailer, which is ignored if it is valid. */
static int check_trailer(struct http_reader *r, bool valid)
{
	if (!valid)
		r->err = -EPROTO;
	return !valid;
}

/* Appends head bytes to b within the limit. */
static int add_head_bytes(struct http_reader *r, struct buf *b, const char *p,
			  size_t n)
{
	r->head_bytes += n;
	if (r->limits.head_max && r->head_bytes > r->limits.head_max) {
		r->err = -EMSGSIZE;
		return 1;
	}
	buf_add(b, p, n);
	return 0;
}

/* Callback for a part of the request target. */
static int on_url(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	return add_head_bytes(r, &r->target, at, n);
}

/* Callback for a part of a header name; completes the previous header. */
static int on_field(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	if (r->msg->head_done)
		return check_trailer(r, head_is_token(at, n));
	finish_header(r);
	if (r->msg->nheaders >= r->fields_max) {
		r->err = -EMSGSIZE;
		return 1;
	}
	return add_head_bytes(r, &r->name, at, n);
}

/* Callback for a part of a header value. */
static int on_value(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	if (r->msg->head_done)
		return check_trailer(r, head_is_text(at, n));
	r->in_value = true;
	return add_head_bytes(r, &r->value, at, n);
}

/*
 * Reserves memory for a body. If it doesn't fit the reader pauses, or else it
 * sets its error and returns false.
 */
static bool reserve_body(struct http_reader *r, size_t total)
{
	struct http_message *m = r->msg;
	bool fits;

	if (!m->gate || total <= m->reserved)
		return true;
	r->reserving = true;
	fits = m->gate->reserve(m->gate->priv, m->reserved, total);
	r->reserving = false;
	if (fits) {
		m->reserved = total;
		return true;
	}
	if (!m->gate->waits) {
		r->err = -ENOBUFS;
		return false;
	}
	r->starved = true;
	r->wanted = total;
	http_parser_pause(&r->parser, 1);
	return true;
}

/* Allocates the memory of a body of known length, which has been reserved. */
static void allocate_body(struct http_reader *r)
{
	uint64_t n = r->parser.content_length;

	if (r->msg->gate && n <= EXACT_MAX_BYTES && !r->starved)
		buf_reserve_exactly(&r->msg->body, n);
}

/* Returns whether the head declares the length of a body. */
static bool has_length(const http_parser *p)
{
	return p->content_length != ULLONG_MAX && p->content_length > 0;
}

/* Returns whether the message has no body, whatever its head declares. */
static bool is_bodyless(const struct http_reader *r)
{
	const http_parser *p = &r->parser;

	return r->no_body || (p->type == HTTP_RESPONSE &&
			      (p->status_code / 100 == 1 ||
			       p->status_code == 204 || p->status_code == 304));
}

/*
 * Returns whether the framing is one that all peers read alike (RFC 9112, 6.1),
 * and of this protocol: nothing here asks to switch to another one.
 */
static bool is_framing_valid(const http_parser *p)
{
	if (p->type == HTTP_RESPONSE && p->status_code == 101)
		return false;
	return !p->uses_transfer_encoding || p->http_major > 1 ||
	       p->http_minor > 0;
}

/* Callback at the end of the head; checks the framing of the body. */
static int on_head_done(http_parser *p)
{
	struct http_reader *r = p->data;
	struct http_message *m = r->msg;

	finish_header(r);
	/*
	 * The body is framed by Content-Length and Transfer-Encoding alone: the
	 * parser would leave out that of a CONNECT request, and that of a
	 * request for an upgrade, which isn't taken here.
	 */
	p->upgrade = 0;
	m->head_done = true;
	m->status = p->status_code;
	m->method = lstr0(http_method_str(p->method));
	m->target = arena_lstr(&m->arena, buf_lstr(&r->target));
	if (!is_framing_valid(p)) {
		r->err = -EPROTO;
		return -1;
	}
	if (is_bodyless(r))
		return 1;
	if (r->limits.body_max && has_length(p) &&
	    p->content_length > r->limits.body_max) {
		r->err = -EFBIG;
		return -1;
	}
	if (has_length(p) && !reserve_body(r, p->content_length))
		return -1;
	if (has_length(p))
		allocate_body(r);
	return 0;
}

/* Callback for a part of the body. */
static int on_body(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;
	struct buf *body = &r->msg->body;

	if (r->limits.body_max && body->len + n > r->limits.body_max) {
		r->err = -EFBIG;
		return 1;
	}
	if (body->len + n > r->msg->reserved &&
	    !reserve_body(r, buf_grown(body, n)))
		return 1;
	buf_add(body, at, n);
	return 0;
}

/* Callback at the end of the message; pauses the parser there. */
static int on_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	r->msg->keep_alive = http_should_keep_alive(p);
	r->msg->done = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head_done,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* http_reader_init() initializes a reader for requests or responses. */
void http_reader_init(struct http_reader *r, enum http_parser_type type,
		      struct http_limits limits)
{
	memset(r, 0, sizeof(*r));
	http_parser_init(&r->parser, type);
	r->parser.data = r;
	r->limits = limits;
	r->fields_max = HTTP_FIELDS_MAX;
}

/* Parses n bytes. Returns how many have been consumed, or a negative errno. */
static ssize_t execute(struct http_reader *r, const char *p, size_t n)
{
	size_t used = http_parser_execute(&r->parser, &callbacks, p, n);

	if (r->err)
		return r->err;
	if (r->msg->done || r->starved)
		return (ssize_t)used;
	return used == n ? (ssize_t)n : -EPROTO;
}

/*
 * Parses the head of a response once it is complete and valid. Returns how many
 * of the n bytes at p have been consumed, or a negative errno.
 */
static ssize_t read_response_head(struct http_reader *r, const char *p,
				  size_t n)
{
	size_t before = r->head.len, len = before + n;
	const char *head = p;
	ptrdiff_t end;
	ssize_t used;

	if (before) {
		buf_add(&r->head, p, n);
		head = r->head.ptr;
	}
	end = head_may_be_response(head, len) ? head_find_end(head, len, before)
					      : -EPROTO;
	if (end < 0)
		return end;
	if (r->limits.head_max &&
	    (end ? (size_t)end : len) > r->limits.head_max)
		return -EMSGSIZE;
	if (end == 0) {
		if (!before)
			buf_add(&r->head, p, n);
		return (ssize_t)n;
	}
	if (head_check_response(head, (size_t)end))
		return -EPROTO;
	used = execute(r, head, (size_t)end);
	buf_free(&r->head);
	return used < 0 ? used : used - (ssize_t)before;
}

/*
 * http_reader_feed() parses up to n bytes of one message. It stops at the end
 * of the message (msg->done), or if there is no memory for its body (starved),
 * and leaves the bytes that follow to the caller.
 * Returns the number of bytes consumed, -EMSGSIZE or -EFBIG if the head or body
 * exceeds its limits, -ENOBUFS if the gate has no memory for the body, or -EPROTO
 * for malformed input. The head of a request must have been checked by the
 * caller.
 */
ssize_t http_reader_feed(struct http_reader *r, const char *p, size_t n)
{
	ssize_t head = 0, body;

	if (!r->msg) {
		r->msg = calloc(1, sizeof(*r->msg));
		if (!r->msg)
			abort();
		r->msg->gate = r->gate;
	}
	if (r->parser.type == HTTP_RESPONSE && !r->msg->head_done) {
		head = read_response_head(r, p, n);
		if (head < 0 || !r->msg->head_done || r->msg->done ||
		    r->starved || (size_t)head == n)
			return head;
	}
	body = execute(r, p + head, n - (size_t)head);
	return body < 0 ? body : head + body;
}

/*
 * http_reader_resume() continues a reader that is starved. Returns 0, or -EAGAIN
 * if there is still no memory.
 */
int http_reader_resume(struct http_reader *r)
{
	bool begins = r->msg->body.len == 0;

	http_parser_pause(&r->parser, 0);
	r->starved = false;
	if (!reserve_body(r, r->wanted) || r->starved)
		return -EAGAIN;
	if (begins && has_length(&r->parser))
		allocate_body(r);
	return 0;
}

/*
 * http_reader_eof() reports an orderly close by the peer. Returns 0 if that
 * ends the message (a response without a length), -EPROTO otherwise.
 */
int http_reader_eof(struct http_reader *r)
{
	if (!r->msg || !r->msg->head_done)
		return -EPROTO;
	http_parser_execute(&r->parser, &callbacks, "", 0);
	return r->msg->done ? 0 : -EPROTO;
}

/*
 * http_reader_take() returns the complete message, which the caller owns, and
 * resets the reader for the next one.
 */
struct http_message *http_reader_take(struct http_reader *r)
{
	struct http_message *m = r->msg;
	enum http_parser_type type = r->parser.type;
	const struct http_body_gate *gate = r->gate;
	size_t fields_max = r->fields_max;
	bool no_body = r->no_body;

	r->msg = NULL;
	http_reader_free(r);
	http_reader_init(r, type, r->limits);
	r->fields_max = fields_max;
	r->gate = gate;
	r->no_body = no_body;
	return m;
}

/* http_reader_free() frees the buffers and a partially read message. */
void http_reader_free(struct http_reader *r)
{
	http_message_free(r->msg);
	r->msg = NULL;
	buf_free(&r->head);
	buf_free(&r->name);
	buf_free(&r->value);
	buf_free(&r->target);
}

/* http_message_free() frees a message; m may be NULL. */
void http_message_free(struct http_message *m)
{
	if (!m)
		return;
	if (m->reserved)
		m->gate->release(m->gate->priv, m->reserved);
	arena_free(&m->arena);
	buf_free(&m->body);
	free(m);
}

/*
 * http_find_header() returns the value of the first header of that name, or
 * {NULL, 0}.
 */
struct lstr http_find_header(const struct http_message *m, struct lstr name)
{
	for (size_t i = 0; i < m->nheaders; i++) {
		if (lstr_eq_nocase(m->headers[i].name, name))
			return m->headers[i].value;
	}
	return (struct lstr){NULL, 0};
}

/* Returns whether name is one of the comma-separated tokens of list. */
static bool list_has_token(struct lstr list, struct lstr name)
{
	const char *p = list.ptr, *end = p + list.len;

	while (p && p < end) {
		while (p < end && (*p == ' ' || *p == '\t' || *p == ','))
			p++;
		const char *q = p;

		while (q < end && *q != ',' && *q != ' ' && *q != '\t')
			q++;
		if (lstr_eq_nocase((struct lstr){p, (size_t)(q - p)}, name))
			return true;
		p = q;
	}
	return false;
}

/*
 * http_is_hop_by_hop() returns whether a header of m must not be forwarded: it
 * applies to a single connection (RFC 9110, 7.6.1) or to the message framing,
 * which each sender sets itself.
 */
bool http_is_hop_by_hop(const struct http_message *m, struct lstr name)
{
	static const struct lstr fixed[] = {
		{"connection", 10},
		{"keep-alive", 10},
		{"proxy-connection", 16},
		{"proxy-authenticate", 18},
		{"proxy-authorization", 19},
		{"te", 2},
		{"trailer", 7},
		{"transfer-encoding", 17},
		{"upgrade", 7},
		{"content-length", 14},
		{"expect", 6},
	};

	for (size_t i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
		if (lstr_eq_nocase(fixed[i], name))
			return true;
	}
	for (size_t i = 0; i < m->nheaders; i++) {
		if (lstr_eq_nocase(m->headers[i].name, LSTR("connection")) &&
		    list_has_token(m->headers[i].value, name))
			return true;
	}
	return false;
}
