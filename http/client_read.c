#include <errno.h>
#include <sys/socket.h>

#include "http/client_conn.h"

enum {
	/* Interim responses, and those to other requests, before the awaited. */
	SKIPPED_MAX = 64,
	/* Heads, trailers and framing; a chunk may be as small as one byte. */
	OVERHEAD_MAX_BYTES = 256 * 1024,
	OVERHEAD_PER_BODY_BYTE = 8,
};

/* Between attempts to get memory for the body of a response. */
static const double RESUME_INTERVAL_S = 0.02;

/* Parses complete responses without a request from n bytes at p. */
static void read_unsolicited(struct http_client *c, const char *p, size_t n)
{
	while (n) {
		ssize_t used = http_reader_feed(&c->reader, p, n);
		struct http_message *m;

		if (used < 0 || !c->reader.msg->done)
			return;
		p += used;
		n -= (size_t)used;
		m = http_reader_take(&c->reader);
		if (c->ops->unsolicited)
			c->ops->unsolicited(c->priv, m);
		http_message_free(m);
	}
}

/*
 * Passes a complete response to the owner; returns false if it belongs to
 * another request. The n bytes at p were received after it.
 */
static bool deliver(struct http_client *c, const char *p, size_t n)
{
	struct http_message *m = http_reader_take(&c->reader);

	if (m->status / 100 == 1 ||
	    c->ops->match(c->priv, m) == HTTP_UNMATCHED) {
		if (m->status / 100 != 1)
			c->reusable = false;
		if (!m->keep_alive)
			c->reusable = false;
		http_message_free(m);
		return false;
	}
	http_client_set_timer(c, 0);
	/* After an early response the rest of the request stays unsent. */
	if (!m->keep_alive || http_client_is_unsent(c))
		c->reusable = false;
	c->waiting = false;
	c->sent = false;
	c->served++;
	c->state = CLIENT_IDLE;
	http_client_drop_unsent(c);
	http_client_watch(c, EV_READ);
	read_unsolicited(c, p, n);
	c->ops->response(c->priv, m);
	return true;
}

/*
 * http_client_body_length() returns the length of the body that has been read so
 * far.
 */
size_t http_client_body_length(const struct http_client *c)
{
	return c->reader.msg ? c->reader.msg->body.len : 0;
}

/*
 * Parses up to n bytes of a response, as http_reader_feed() does. A peer may
 * send without end what isn't part of a body; -EMSGSIZE if it is too much.
 */
static ssize_t feed_counted(struct http_client *c, const char *p, size_t n)
{
	size_t before = http_client_body_length(c), grown;
	ssize_t used = http_reader_feed(&c->reader, p, n);

	if (used < 0)
		return used;
	grown = http_client_body_length(c) - before;
	c->body_bytes += grown;
	c->overhead_bytes += (size_t)used - grown;
	if (c->overhead_bytes >
	    OVERHEAD_MAX_BYTES + OVERHEAD_PER_BODY_BYTE * c->body_bytes)
		return -EMSGSIZE;
	return used;
}

/*
 * Stops reading until there is memory for the body of the response; the n bytes
 * at p are read then.
 */
static void starve(struct http_client *c, const char *p, size_t n)
{
	buf_add(&c->unread, p, n);
	http_client_watch_pending(c);
	ev_timer_again(c->loop, &c->resume);
}

/*
 * Parses responses from n bytes at p. Returns whether the request still waits
 * for its response; else the owner may have freed c.
 */
static bool read_responses(struct http_client *c, const char *p, size_t n)
{
	while (n) {
		ssize_t used = feed_counted(c, p, n);

		if (used < 0) {
			http_client_fail(c, (int)used);
			return false;
		}
		p += used;
		n -= (size_t)used;
		if (c->reader.starved) {
			starve(c, p, n);
			return true;
		}
		if (!c->reader.msg->done)
			return true;
		/* Bytes after a response belong to no request. */
		if (n)
			c->reusable = false;
		if (deliver(c, p, n))
			return false;
		if (++c->skipped > SKIPPED_MAX) {
			http_client_fail(c, -EPROTO);
			return false;
		}
	}
	return true;
}

/*
 * Handles n bytes of the server, and the end of its stream after them if it has
 * ended. Input while idle ends the connection.
 */
static void on_stream(struct http_client *c, const char *p, size_t n,
		      bool ended)
{
	if (c->state == CLIENT_IDLE) {
		read_unsolicited(c, p, n);
		http_client_fail(c, n ? -EPROTO : -EPIPE);
		return;
	}
	if (ended)
		c->reusable = false;
	if (!read_responses(c, p, n))
		return;
	if (c->reader.starved)
		c->unread_end = ended;
	if (c->reader.starved || !ended)
		return;
	if (c->write_failed || http_reader_eof(&c->reader) ||
	    !deliver(c, NULL, 0))
		http_client_fail(c, -EPIPE);
}

/* Tries to continue with a response for whose body memory was lacking. */
static void on_resume(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct http_client *c = t->data;
	struct buf unread = c->unread;

	if (http_reader_resume(&c->reader))
		return;
	ev_timer_stop(loop, t);
	c->unread = (struct buf){0};
	http_client_watch_pending(c);
	on_stream(c, unread.ptr, unread.len, c->unread_end);
	buf_free(&unread);
}

/* http_client_init_reading() initializes what reads responses. */
void http_client_init_reading(struct http_client *c)
{
	ev_init(&c->resume, on_resume);
	c->resume.repeat = RESUME_INTERVAL_S;
	c->resume.data = c;
}

/* Handles n bytes of a proxy that sends frames. */
static void on_frames(struct http_client *c, const char *p, size_t n)
{
	struct buf stream = {0};
	int rc = frame_read(&c->frames, (struct lstr){p, n}, &stream);

	if (rc)
		http_client_fail(c, rc);
	else if (stream.len || c->frames.ended)
		on_stream(c, stream.ptr, stream.len, c->frames.ended);
	buf_free(&stream);
}

/* http_client_readable() reads from the socket. */
void http_client_readable(struct http_client *c)
{
	char chunk[HTTP_READ_CHUNK_BYTES];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0)
		http_client_fail(c, -errno);
	else if (n == 0 && c->tunneled)
		/* The proxy may have died; frames mark the server's end. */
		http_client_fail(c, -EPIPE);
	else if (c->framed)
		on_frames(c, chunk, (size_t)n);
	else
		on_stream(c, chunk, (size_t)n, n == 0);
}
