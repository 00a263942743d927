#include <errno.h>
#include <sys/param.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "http/conn.h"
#include "misc/clock.h"

/* How long to wait for the peer to close after the last reply. */
static const double LINGER_S = 1.0;

/* The same for a peer that is still sending the body of a rejected request. */
static const double LINGER_MAX_S = 5.0;

/* http_conn_drop_reply() frees the reply, sent or not. */
void http_conn_drop_reply(struct http_conn *c)
{
	buf_free(&c->out);
	c->out_sent = 0;
	c->body = (struct lstr){NULL, 0};
	http_message_free(c->source);
	c->source = NULL;
}

/*
 * The reply is sent. close() would reset a connection with unread bytes, and
 * the peer might lose the reply; so only the sending half is shut down until
 * the peer closes or LINGER_S has passed.
 */
static void on_written(struct http_conn *c)
{
	if (!c->close_after && !c->peer_done) {
		http_conn_idle(c);
		return;
	}
	if (c->peer_done) {
		http_conn_free(c);
		return;
	}
	http_conn_drop_reply(c);
	shutdown(c->fd, SHUT_WR);
	c->state = CONN_LINGER;
	http_conn_watch(c, EV_READ);
	c->linger_until = clock_s() + LINGER_MAX_S;
	http_conn_set_timer(c, LINGER_S);
	http_conn_account(c);
}

/*
 * http_conn_linger() waits on for a peer that sends although it has its last
 * reply; what it sends is dropped.
 */
void http_conn_linger(struct http_conn *c)
{
	if (clock_s() < c->linger_until)
		http_conn_set_timer(c, LINGER_S);
}

/* Drops n bytes of the reply, which have been sent. */
static void consume(struct http_conn *c, size_t n)
{
	size_t head = MIN(n, c->out.len - c->out_sent);

	c->out_sent += head;
	if (c->body.len) {
		c->body.ptr += n - head;
		c->body.len -= n - head;
	}
}

/* Waits until the peer takes more: it may neither pause nor be slow for long. */
static void await_peer(struct http_conn *c)
{
	double wait_s = c->server->idle_timeout_s;

	if (c->reply_until > 0)
		wait_s = MIN(wait_s, c->reply_until - clock_s());
	http_conn_watch(c, EV_WRITE);
	http_conn_set_timer(c, MAX(wait_s, 0.001));
	http_conn_account(c);
}

/* http_conn_write() sends as much pending output as the socket accepts. */
void http_conn_write(struct http_conn *c)
{
	struct iovec parts[] = {
		{c->out.ptr + c->out_sent, c->out.len - c->out_sent},
		{(void *)c->body.ptr, c->body.len}};
	struct msghdr msg = {.msg_iov = parts, .msg_iovlen = 2};
	ssize_t n = sendmsg(c->fd, &msg, MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		n = 0;
	if (n < 0) {
		http_conn_free(c);
		return;
	}
	consume(c, (size_t)n);
	if (n > 0)
		c->taken_at = clock_s();
	if (c->out_sent == c->out.len && !c->body.len)
		on_written(c);
	else
		await_peer(c);
}

/* Begins to send the reply in c->out and c->body. */
static void begin(struct http_conn *c)
{
	const struct http_server *s = c->server;
	size_t n = c->out.len + c->body.len;

	c->request_bytes = 0;
	c->state = CONN_WRITING;
	http_conn_renew(c);
	c->taken_at = c->since;
	c->reply_until = 0;
	if (s->transfer_min_rate > 0)
		c->reply_until = c->since + s->transfer_time_s +
				 (double)n / s->transfer_min_rate;
	http_conn_write(c);
}

/*
 * http_conn_reply() replies to the current request. The connection is kept
 * open unless the caller, the reply or the server requires closing it.
 */
void http_conn_reply(struct http_conn *c, const struct http_reply *r)
{
	c->close_after =
		r->close || !c->keep_alive || c->server->disable_keep_alive;
	buf_printf(&c->out, "HTTP/1.1 %u %s\r\n", r->status,
		   http_reason(r->status));
	buf_add_lstr(&c->out, r->headers);
	if (c->close_after)
		buf_add_lstr(&c->out, LSTR("Connection: close\r\n"));
	buf_printf(&c->out, "Content-Length: %zu\r\n\r\n", r->body.len);
	if (c->head_request) {
		http_message_free(r->source);
	} else if (r->source) {
		c->source = r->source;
		c->body = r->body;
	} else {
		buf_add_lstr(&c->out, r->body);
	}
	begin(c);
}

/*
 * http_conn_reply_raw() replies to the current request with arbitrary bytes,
 * which need not be valid HTTP. The stand-ins inject faults with it.
 */
void http_conn_reply_raw(struct http_conn *c, struct lstr bytes, bool close)
{
	c->close_after = close || !c->keep_alive;
	buf_add_lstr(&c->out, bytes);
	begin(c);
}
