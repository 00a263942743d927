#include <errno.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <sys/param.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/head.h"
#include "http/conn.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	READ_CHUNK_BYTES = 4096,	/* per recv() */
	BODY_CHUNK_BYTES = 16 * 1024,	/* the same within a body */
	PIPELINE_MAX_BYTES = 16 * 1024, /* buffered while a reply is pending */
};

/* For a body, unless the gate limits it. */
static const double BODY_TIME_S = 60;

static void conn_event(struct ev_loop *loop, ev_io *io, int revents);
static void conn_input(struct http_conn *c);

/* http_conn_user() returns the pointer set by http_conn_set_user(). */
void *http_conn_user(const struct http_conn *c)
{
	return c->user;
}

/* http_conn_set_user() attaches the handler's state to the connection. */
void http_conn_set_user(struct http_conn *c, void *user)
{
	c->user = user;
}

/* Adds the connection to the server's list as the one that waits least. */
static void link_conn(struct http_conn *c)
{
	struct http_server *s = c->server;

	c->since = clock_s();
	c->prev = NULL;
	c->next = s->conns;
	if (s->conns)
		s->conns->prev = c;
	else
		s->oldest = c;
	s->conns = c;
}

/* Removes the connection from the server's list. */
static void unlink_conn(struct http_conn *c)
{
	struct http_server *s = c->server;

	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	else
		s->oldest = c->prev;
}

/* http_conn_renew() notes that the peer has made a request or gets a reply. */
void http_conn_renew(struct http_conn *c)
{
	unlink_conn(c);
	link_conn(c);
}

/* Frees a connection without closing its socket. */
static void conn_release(struct http_conn *c)
{
	struct http_server *s = c->server;

	ev_io_stop(s->loop, &c->io);
	ev_timer_stop(s->loop, &c->timer);
	http_reader_free(&c->reader);
	http_conn_drop_reply(c);
	buf_free(&c->in);
	unlink_conn(c);
	s->nconns--;
	if (s->pool) {
		http_pool_account(s->pool, &c->held, 0);
		s->pool->nconns--;
	}
	free(c);
}

/* http_conn_free() closes and frees a connection. */
void http_conn_free(struct http_conn *c)
{
	close(c->fd);
	conn_release(c);
}

/*
 * http_conn_detach() frees a connection whose request has been received and
 * returns its socket, which the caller owns. Bytes received after the request
 * are added to `input`.
 */
int http_conn_detach(struct http_conn *c, struct buf *input)
{
	int fd = c->fd;

	buf_add_lstr(input, buf_lstr(&c->in));
	conn_release(c);
	return fd;
}

/*
 * http_conn_abort() closes a connection without a reply and without calling
 * ops->closed.
 */
void http_conn_abort(struct http_conn *c)
{
	http_conn_free(c);
}

/*
 * http_conn_reset() closes a connection and drops what its peer hasn't taken yet,
 * which the kernel would keep otherwise.
 */
void http_conn_reset(struct http_conn *c)
{
	struct linger now = {1, 0};

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	http_conn_free(c);
}

/* http_conn_notify_closed() notifies the handler if it has a pending request. */
void http_conn_notify_closed(struct http_conn *c)
{
	if (c->state == CONN_HANDLING && c->server->ops->closed)
		c->server->ops->closed(c->server->priv, c);
}

/* Notifies the handler if it has a pending request, and frees c. */
static void conn_close_and_notify(struct http_conn *c)
{
	http_conn_notify_closed(c);
	http_conn_free(c);
}

/* http_conn_watch() sets the events that the socket is watched for; 0: none. */
void http_conn_watch(struct http_conn *c, int events)
{
	if (c->io.events == events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->server->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	if (events)
		ev_io_start(c->server->loop, &c->io);
}

/* http_conn_set_timer() restarts the connection's timer; 0 stops it. */
void http_conn_set_timer(struct http_conn *c, double timeout_s)
{
	ev_timer_stop(c->server->loop, &c->timer);
	if (timeout_s <= 0)
		return;
	ev_timer_set(&c->timer, timeout_s, 0);
	ev_timer_start(c->server->loop, &c->timer);
}

/*
 * http_conn_idle() waits for the next request; one that has been read already is
 * handled from the event loop, as many may follow each other.
 */
void http_conn_idle(struct http_conn *c)
{
	c->state = CONN_IDLE;
	c->scanned = 0;
	c->in_body = false;
	c->user = NULL;
	http_conn_drop_reply(c);
	if (c->in.len == 0)
		buf_free(&c->in);
	http_conn_watch(c, EV_READ);
	http_conn_set_timer(c, c->server->idle_timeout_s);
	http_conn_account(c);
	if (c->in.len)
		ev_feed_event(c->server->loop, &c->io, EV_CUSTOM);
}

/* Replies to an invalid request and closes the connection. */
static void conn_reject(struct http_conn *c, unsigned status)
{
	c->keep_alive = false;
	c->head_request = false;
	http_reader_free(&c->reader);
	http_conn_reply(c,
			&(struct http_reply){.status = status, .close = true});
}

/* Replies to a request that isn't received further; it never runs. */
static void conn_refuse(struct http_conn *c)
{
	const struct http_body_gate *gate = c->server->body_gate;
	struct buf headers = {0};

	if (gate)
		gate->write_refusal(gate->priv, c->reader.msg, &headers);
	http_reader_free(&c->reader);
	c->keep_alive = false;
	c->head_request = false;
	http_conn_reply(c, &(struct http_reply){.status = 503,
						.headers = buf_lstr(&headers),
						.close = true});
	buf_free(&headers);
}

/* Maps a reader's error to the status of the reply. */
static unsigned status_from_error(ssize_t err)
{
	if (err == -EFBIG)
		return 413;
	if (err == -EMSGSIZE)
		return 431;
	return 400;
}

/* Passes a complete request to the handler. */
static void conn_dispatch(struct http_conn *c)
{
	struct http_message *m = http_reader_take(&c->reader);

	c->keep_alive = m->keep_alive;
	c->head_request = lstr_eq(m->method, LSTR("HEAD"));
	c->state = CONN_HANDLING;
	c->request_bytes = m->arena.total_bytes;
	c->had_request = true;
	http_conn_renew(c);
	c->scanned = 0;
	c->in_body = false;
	if (c->in.len == 0)
		buf_free(&c->in);
	http_conn_set_timer(c, 0);
	http_conn_account(c);
	c->server->ops->request(c->server->priv, c, m);
}

/* Sends 100 Continue if the request expects it. */
static void send_continue(struct http_conn *c)
{
	struct lstr e = http_find_header(c->reader.msg, LSTR("expect"));

	if (e.ptr && lstr_eq_nocase(e, LSTR("100-continue")) &&
	    !c->reader.msg->done)
		(void)!send(c->fd, "HTTP/1.1 100 Continue\r\n\r\n", 25,
			    MSG_NOSIGNAL);
}

/*
 * http_conn_body_s() returns for how many seconds the body of the current
 * request has been, or was, received.
 */
double http_conn_body_s(const struct http_conn *c)
{
	return clock_s() - c->head_at;
}

/* Returns the longest time that the body of the current request may take. */
static double max_body_time_s(const struct http_conn *c)
{
	const struct http_server *s = c->server;
	const http_parser *p = &c->reader.parser;
	double n =
		p->content_length == ULLONG_MAX ? 0 : (double)p->content_length;

	return s->transfer_min_rate > 0
		       ? s->transfer_time_s + n / s->transfer_min_rate
		       : BODY_TIME_S;
}

/* Starts the time limits of the body. */
static void begin_body(struct http_conn *c)
{
	const struct http_body_gate *gate = c->server->body_gate;
	double time_s = max_body_time_s(c);

	if (gate && !c->reader.msg->done)
		time_s = MIN(time_s,
			     gate->body_time_s(gate->priv, c->reader.msg));
	c->in_body = true;
	c->head_at = clock_s();
	c->body_until = c->head_at + time_s;
}

/* Waits for more of the body: it may neither pause nor trickle for long. */
static void await_body(struct http_conn *c)
{
	double left_s = c->body_until - clock_s();

	http_conn_set_timer(c,
			    MAX(MIN(c->server->head_timeout_s, left_s), 0.001));
}

/* Parses n bytes of input; returns false if the request was rejected. */
static bool feed(struct http_conn *c, size_t n)
{
	ssize_t used = http_reader_feed(&c->reader, c->in.ptr, n);

	if (used == -ENOBUFS) {
		conn_refuse(c);
		return false;
	}
	if (used < 0) {
		conn_reject(c, status_from_error(used));
		return false;
	}
	buf_consume(&c->in, (size_t)used);
	return true;
}

/* Returns whether the body of the current request, if any, is received. */
static bool accepts_body(const struct http_conn *c)
{
	const struct http_body_gate *gate = c->server->body_gate;

	return !gate || !gate->accept || c->reader.msg->done ||
	       gate->accept(gate->priv, c->reader.msg);
}

/* Returns whether there is no memory for the request of a connection. */
static bool lacks_memory(const struct http_conn *c)
{
	return c->server->pool && !http_pool_limit_memory(c->server->pool, c);
}

/* Returns whether the method of the current request is served at all. */
static bool serves_method(const struct http_conn *c)
{
	return c->server->serves_connect ||
	       !lstr_eq(c->reader.msg->method, LSTR("CONNECT"));
}

/* Parses the head if it is complete and valid; returns whether it was. */
static bool read_head(struct http_conn *c)
{
	size_t max = c->server->limits.head_max;
	ptrdiff_t end = head_find_end(c->in.ptr, c->in.len, c->scanned);

	if (end == 0 && max && c->in.len > max) {
		conn_reject(c, 431);
		return false;
	}
	if (end == 0) {
		c->scanned = c->in.len;
		return false;
	}
	if (end > 0 && max && (size_t)end > max) {
		conn_reject(c, 431);
		return false;
	}
	if (end < 0 || head_check_request(c->in.ptr, (size_t)end)) {
		conn_reject(c, 400);
		return false;
	}
	if (!feed(c, (size_t)end))
		return false;
	if (!serves_method(c)) {
		conn_reject(c, 501);
		return false;
	}
	http_conn_account(c);
	if (!accepts_body(c) || lacks_memory(c)) {
		conn_refuse(c);
		return false;
	}
	begin_body(c);
	send_continue(c);
	return true;
}

/* Processes the input received so far. */
static void conn_input(struct http_conn *c)
{
	if (c->state == CONN_IDLE) {
		/* Empty lines before a request are ignored (RFC 9112, 2.2). */
		while (c->in.len >= 2 && !memcmp(c->in.ptr, "\r\n", 2))
			buf_consume(&c->in, 2);
		if (c->in.len == 0)
			return;
		c->state = CONN_READING;
		http_conn_set_timer(c, c->server->head_timeout_s);
	}
	if (!c->in_body && !read_head(c))
		return;
	if (!c->reader.msg->done && c->in.len) {
		if (!feed(c, c->in.len))
			return;
		await_body(c);
	}
	if (c->reader.msg && c->reader.msg->done)
		conn_dispatch(c);
}

/* Reads from the socket, up to PIPELINE_MAX_BYTES ahead of a reply. */
static void conn_read(struct http_conn *c)
{
	if (c->state == CONN_HANDLING && c->in.len >= PIPELINE_MAX_BYTES) {
		http_conn_watch(c, 0);
		http_conn_account(c);
		return;
	}
	size_t chunk = c->in_body ? BODY_CHUNK_BYTES : READ_CHUNK_BYTES;
	ssize_t n = recv(c->fd, buf_reserve(&c->in, chunk), chunk, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		conn_close_and_notify(c);
		return;
	}
	if (c->state == CONN_LINGER) {
		http_conn_linger(c);
		return;
	}
	c->in.len += (size_t)n;
	http_conn_account(c);
	if (c->state == CONN_IDLE || c->state == CONN_READING)
		conn_input(c);
}

/* Dispatches socket events. */
static void conn_event(struct ev_loop *loop, ev_io *io, int revents)
{
	struct http_conn *c = io->data;
	struct http_pool *pool = c->server->pool;

	if (revents & EV_CUSTOM)
		conn_input(c);
	else if (revents & EV_WRITE)
		http_conn_write(c);
	else
		conn_read(c);
	if (pool)
		(void)http_pool_limit_memory(pool, NULL);
}

/*
 * http_conn_time_out() replies 408 to an incomplete request; otherwise it closes
 * the connection.
 */
void http_conn_time_out(struct http_conn *c)
{
	if (c->state == CONN_READING)
		conn_reject(c, 408);
	else if (c->state == CONN_WRITING)
		http_conn_close_for(c, SLOW_REPLY);
	else
		conn_close_and_notify(c);
}

static void on_timeout(struct ev_loop *loop, ev_timer *t, int revents)
{
	http_conn_time_out(t->data);
}

/* http_conn_new() adds an accepted socket to the server. */
void http_conn_new(struct http_server *s, int fd)
{
	struct http_conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	socket_set_nodelay(fd);
	c->server = s;
	c->fd = fd;
	c->opened = clock_s();
	http_reader_init(&c->reader, HTTP_REQUEST, s->limits);
	c->reader.gate = s->body_gate;
	if (s->fields_max)
		c->reader.fields_max = s->fields_max;
	ev_io_init(&c->io, conn_event, fd, EV_READ);
	c->io.data = c;
	ev_init(&c->timer, on_timeout);
	c->timer.data = c;
	link_conn(c);
	s->nconns++;
	if (s->pool)
		s->pool->nconns++;
	ev_io_start(s->loop, &c->io);
	http_conn_idle(c);
}
