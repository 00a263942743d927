#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "http/client_conn.h"
#include "http/socket.h"

enum {
	/* Of a response that nobody waits for any more. */
	LINGER_BODY_MAX_BYTES = 64 * 1024,
};

/* http_client_set_timer() restarts the connection's timer; 0 stops it. */
void http_client_set_timer(struct http_client *c, double timeout_s)
{
	ev_timer_stop(c->loop, &c->timer);
	if (timeout_s <= 0)
		return;
	ev_timer_set(&c->timer, timeout_s, 0);
	ev_timer_start(c->loop, &c->timer);
}

/* http_client_watch() sets the events that the socket is watched for; 0: none. */
void http_client_watch(struct http_client *c, int events)
{
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	if (events)
		ev_io_start(c->loop, &c->io);
}

/*
 * http_client_is_unsent() returns whether part of the request is still to be
 * sent.
 */
bool http_client_is_unsent(const struct http_client *c)
{
	return c->out.len || c->body.len;
}

/* http_client_drop_unsent() drops what is still to be sent. */
void http_client_drop_unsent(struct http_client *c)
{
	buf_free(&c->out);
	c->body = (struct lstr){NULL, 0};
}

/*
 * http_client_watch_pending() waits for input, and for room if part of the
 * request is still to be sent.
 */
void http_client_watch_pending(struct http_client *c)
{
	int in = c->reader.starved ? 0 : EV_READ;

	http_client_watch(c, http_client_is_unsent(c) ? in | EV_WRITE : in);
}

/*
 * Sends as much of the request as the socket accepts. Returns 0 or a negative
 * errno.
 */
static int send_pending(struct http_client *c)
{
	struct iovec parts[] = {{c->out.ptr, c->out.len},
				{(void *)c->body.ptr, c->body.len}};
	struct msghdr msg = {.msg_iov = parts, .msg_iovlen = 2};
	ssize_t n = sendmsg(c->fd, &msg, MSG_NOSIGNAL);
	size_t head;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n < 0) {
		c->write_failed = true;
		return -errno;
	}
	head = (size_t)n < c->out.len ? (size_t)n : c->out.len;
	c->sent = c->sent || n > 0;
	buf_consume(&c->out, head);
	c->body.ptr += (size_t)n - head;
	c->body.len -= (size_t)n - head;
	return 0;
}

/* http_client_close() closes the connection without calling ops->failed. */
void http_client_close(struct http_client *c)
{
	if (c->state == CLIENT_CLOSED)
		return;
	ev_io_stop(c->loop, &c->io);
	ev_timer_stop(c->loop, &c->timer);
	ev_timer_stop(c->loop, &c->resume);
	close(c->fd);
	c->fd = -1;
	c->state = CLIENT_CLOSED;
	if (c->counter)
		(*c->counter)--;
	c->counter = NULL;
	http_reader_free(&c->reader);
	http_client_drop_unsent(c);
	buf_free(&c->connect_head);
	frame_reader_free(&c->frames);
	buf_free(&c->unread);
}

/* http_client_fail() closes the connection and reports err to the owner. */
void http_client_fail(struct http_client *c, int err)
{
	bool sent = c->sent;

	http_client_close(c);
	c->ops->failed(c->priv, err, sent);
}

/* Returns whether the owner still allows the request to be sent. */
static bool may_send(struct http_client *c)
{
	return c->sent || !c->ops->may_send || c->ops->may_send(c->priv);
}

/* The connection to the server is established. */
static void on_connected(struct http_client *c)
{
	c->connected = true;
	c->state = c->waiting ? CLIENT_BUSY : CLIENT_IDLE;
	c->reader.no_body = c->no_body;
	http_client_set_timer(c, c->waiting ? c->timeout_s : 0);
}

/* Asks the proxy for a tunnel. The head fits in an empty socket buffer. */
static void request_tunnel(struct http_client *c)
{
	ssize_t n = send(c->fd, c->connect_head.ptr, c->connect_head.len,
			 MSG_NOSIGNAL);

	if (n != (ssize_t)c->connect_head.len) {
		http_client_fail(c, n < 0 ? -errno : -EPROTO);
		return;
	}
	c->state = CLIENT_TUNNELING;
	c->reader.no_body = true;
	http_client_watch(c, EV_READ);
}

/* Reads the proxy's answer; nothing follows it until a request is sent. */
static void on_tunnel_answer(struct http_client *c)
{
	char chunk[HTTP_READ_CHUNK_BYTES];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);
	ssize_t used;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		http_client_fail(c, n ? -errno : -EPIPE);
		return;
	}
	used = http_reader_feed(&c->reader, chunk, (size_t)n);
	if (used < 0 || (c->reader.msg->done && used < n)) {
		http_client_fail(c, -EPROTO);
		return;
	}
	if (!c->reader.msg->done)
		return;
	c->tunnel_status = c->reader.msg->status;
	c->framed =
		c->ops->is_framed && c->ops->is_framed(c->priv, c->reader.msg);
	http_message_free(http_reader_take(&c->reader));
	if (c->tunnel_status != 200) {
		http_client_fail(c, -EHOSTUNREACH);
		return;
	}
	on_connected(c);
	http_client_watch_pending(c);
}

/* Completes a connection attempt and sends pending output. */
static void on_writable(struct http_client *c)
{
	if (c->state == CLIENT_CONNECTING) {
		int err = socket_error(c->fd);

		if (err) {
			http_client_fail(c, err);
			return;
		}
		if (c->tunneled) {
			request_tunnel(c);
			return;
		}
		on_connected(c);
	}
	if (http_client_is_unsent(c) && !may_send(c)) {
		http_client_fail(c, -ECANCELED);
		return;
	}
	if (http_client_is_unsent(c)) {
		int err = send_pending(c);

		/*
		 * A server that has closed its end may have responded before:
		 * that is read first.
		 */
		if (c->sent && (err == -EPIPE || err == -ECONNRESET)) {
			http_client_drop_unsent(c);
			c->reusable = false;
		} else if (err) {
			http_client_fail(c, err);
			return;
		}
	}
	http_client_watch_pending(c);
}

/* Dispatches socket events. */
static void on_event(struct ev_loop *loop, ev_io *io, int revents)
{
	struct http_client *c = io->data;

	if (c->state == CLIENT_TUNNELING) {
		on_tunnel_answer(c);
		return;
	}
	if ((revents & EV_READ) && c->state != CLIENT_CONNECTING) {
		http_client_readable(c);
		return;
	}
	if (revents & EV_WRITE)
		on_writable(c);
}

/* The connection attempt or the request timed out. */
static void on_timeout(struct ev_loop *loop, ev_timer *t, int revents)
{
	http_client_fail(t->data, -ETIMEDOUT);
}

/*
 * http_client_open() starts to connect to sa. Returns 0 or -errno; later
 * failures are reported through ops->failed.
 */
int http_client_open(struct http_client *c, struct ev_loop *loop,
		     const struct sockaddr_in *sa, double connect_timeout_s,
		     struct http_limits limits,
		     const struct http_client_ops *ops, void *priv)
{
	int fd = socket_connect(sa);

	memset(c, 0, sizeof(*c));
	c->state = CLIENT_CLOSED;
	if (fd < 0)
		return fd;
	c->loop = loop;
	c->ops = ops;
	c->priv = priv;
	c->fd = fd;
	c->state = CLIENT_CONNECTING;
	c->reusable = true;
	http_reader_init(&c->reader, HTTP_RESPONSE, limits);
	ev_io_init(&c->io, on_event, fd, EV_WRITE);
	c->io.data = c;
	ev_init(&c->timer, on_timeout);
	c->timer.data = c;
	http_client_init_reading(c);
	ev_io_start(loop, &c->io);
	http_client_set_timer(c, connect_timeout_s);
	return 0;
}

/*
 * http_client_open_tunnel() connects to a proxy and sends it `head`, a complete
 * CONNECT request. Once the proxy has answered 200 the connection is used like
 * a direct one. connect_timeout_s covers both steps. Returns 0 or -errno; a
 * refusal of the proxy is reported through ops->failed as -EHOSTUNREACH, with
 * its status in c->tunnel_status.
 */
int http_client_open_tunnel(struct http_client *c, struct ev_loop *loop,
			    const struct sockaddr_in *proxy, struct lstr head,
			    double connect_timeout_s, struct http_limits limits,
			    const struct http_client_ops *ops, void *priv)
{
	int rc = http_client_open(c, loop, proxy, connect_timeout_s, limits,
				  ops, priv);

	if (rc)
		return rc;
	c->tunneled = true;
	buf_add_lstr(&c->connect_head, head);
	return 0;
}

/* http_client_count() adds an open connection to a counter until it is closed. */
void http_client_count(struct http_client *c, unsigned *counter)
{
	c->counter = counter;
	(*counter)++;
}

/*
 * http_client_send() sends one request, now or once connected. The response
 * or a failure is reported through ops; timeout_s starts when the request is
 * sent. The connection must be idle, or connecting with nothing queued.
 */
void http_client_send(struct http_client *c, struct lstr bytes,
		      double timeout_s, bool head_request)
{
	http_client_send_body(c, bytes, LSTR(""), timeout_s, head_request);
}

/*
 * http_client_send_body() sends a request whose body isn't copied: it must stay
 * valid until the response, the failure or the close.
 */
void http_client_send_body(struct http_client *c, struct lstr head,
			   struct lstr body, double timeout_s,
			   bool head_request)
{
	c->waiting = true;
	c->sent = false;
	c->body_bytes = c->overhead_bytes = c->skipped = 0;
	c->timeout_s = timeout_s;
	c->no_body = head_request;
	buf_add_lstr(&c->out, head);
	c->body = body;
	if (c->state == CLIENT_CONNECTING || c->state == CLIENT_TUNNELING)
		return;
	c->reader.no_body = head_request;
	c->state = CLIENT_BUSY;
	http_client_set_timer(c, timeout_s);
	/* Errors are reported from the event loop, not to this caller. */
	if (may_send(c))
		(void)send_pending(c);
	http_client_watch_pending(c);
}

/*
 * http_client_linger() shuts down the sending half of a connection that awaits
 * a response, so that the peer sees the request as canceled. It keeps reading
 * what the peer sent before that, until the peer closes or timeout_s has
 * passed, but no large body. Returns false if there is nothing to wait for.
 */
bool http_client_linger(struct http_client *c, double timeout_s)
{
	if (c->state != CLIENT_BUSY || http_client_is_unsent(c) ||
	    c->reader.starved ||
	    http_client_body_length(c) > LINGER_BODY_MAX_BYTES ||
	    shutdown(c->fd, SHUT_WR))
		return false;
	c->reusable = false;
	c->reader.limits.body_max = LINGER_BODY_MAX_BYTES;
	http_client_set_timer(c, timeout_s);
	return true;
}
