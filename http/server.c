#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/conn.h"
#include "http/socket.h"
#include "misc/clock.h"

/* Limited per event, so that new connections don't starve open requests. */
enum { ACCEPT_BATCH_MAX = 16 };

/*
 * A shutdown waits this long for the first request of a new connection. It
 * covers one retransmission (200 ms) of a request that travels 8 ms.
 */
static const double FIRST_REQUEST_GRACE_S = 0.2;

/* Between attempts to accept while descriptors or memory lack. */
static const double ACCEPT_PAUSE_S = 0.1;

/* Continues to accept connections after a pause. */
static void on_pause_over(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct http_server *s = t->data;

	ev_io_start(loop, &s->accept);
}

/*
 * Handles a lack of descriptors or memory. The connection stays in the queue of
 * the kernel, which would report it over and over without a pause.
 */
static void pause_accepting(struct http_server *s, int err)
{
	ev_io_stop(s->loop, &s->accept);
	ev_timer_set(&s->accept_pause, ACCEPT_PAUSE_S, 0);
	ev_timer_start(s->loop, &s->accept_pause);
	if (s->pool)
		http_pool_open_failed(s->pool, s->name, err);
}

/*
 * Accepts a connection, and closes another one for it if there is no descriptor
 * left. Returns its descriptor or a negative errno.
 */
static int accept_fd(struct http_server *s)
{
	int fd =
		accept4(s->accept.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0 && (errno == EMFILE || errno == ENFILE) && s->pool &&
	    http_pool_close_socket(s->pool))
		fd = accept4(s->accept.fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	return fd < 0 ? -errno : fd;
}

/*
 * Accepts one connection; returns false if none is pending, or none can be
 * accepted now.
 */
static bool accept_one(struct http_server *s)
{
	int fd = accept_fd(s);

	if (fd == -ECONNABORTED || fd == -EINTR)
		return true;
	if (fd < 0) {
		if (fd != -EAGAIN && ev_is_active(&s->accept))
			pause_accepting(s, fd);
		return false;
	}
	http_conn_new(s, fd);
	if (s->pool)
		(void)http_pool_limit_sockets(s->pool, 0);
	return true;
}

/* Accepts up to ACCEPT_BATCH_MAX pending connections. */
static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	for (int i = 0; i < ACCEPT_BATCH_MAX; i++) {
		if (!accept_one(io->data))
			return;
	}
}

/*
 * http_server_open() listens on "a.b.c.d:port". The limits and timeouts of s
 * must be set before. Returns 0 or a negative errno.
 */
int http_server_open(struct http_server *s, struct ev_loop *loop,
		     const char *addr, const struct http_server_ops *ops,
		     void *priv)
{
	int fd = socket_listen(addr);

	if (fd < 0)
		return fd;
	socket_limit_unsent(fd, HTTP_UNSENT_BYTES);
	s->loop = loop;
	s->ops = ops;
	s->priv = priv;
	ev_timer_init(&s->accept_pause, on_pause_over, ACCEPT_PAUSE_S, 0);
	s->accept_pause.data = s;
	ev_io_init(&s->accept, on_accept, fd, EV_READ);
	s->accept.data = s;
	ev_io_start(loop, &s->accept);
	return 0;
}

/*
 * http_server_stop_listening() closes the listening socket, if open. Pending
 * connections are accepted first, since closing the socket would reset them
 * and lose requests that were already sent.
 */
void http_server_stop_listening(struct http_server *s)
{
	if (!ev_is_active(&s->accept) && !ev_is_active(&s->accept_pause))
		return;
	ev_timer_stop(s->loop, &s->accept_pause);
	ev_io_stop(s->loop, &s->accept);
	/* Those that come meanwhile could keep this from ending. */
	for (int i = 0; i < SOCKET_LISTEN_BACKLOG && accept_one(s); i++)
		;
	close(s->accept.fd);
}

/* Returns whether a new connection's first request may be in transit. */
static bool is_awaiting_first_request(const struct http_conn *c)
{
	return !c->had_request && clock_s() - c->opened < FIRST_REQUEST_GRACE_S;
}

/* Returns whether bytes have arrived that haven't been read yet. */
static bool has_input(const struct http_conn *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns whether no request is open, and none is about to come. */
static bool is_idle(const struct http_conn *c)
{
	return c->state == CONN_IDLE && !is_awaiting_first_request(c) &&
	       !c->in.len && !has_input(c);
}

/*
 * http_server_close_idle() closes idle connections, except new ones whose first
 * request may be in transit and those whose next request has arrived.
 */
void http_server_close_idle(struct http_server *s)
{
	for (struct http_conn *c = s->conns, *next; c; c = next) {
		next = c->next;
		if (is_idle(c))
			http_conn_free(c);
	}
}

/*
 * http_server_time_out_partial() responds to the requests that haven't been
 * received completely, and closes their connections.
 */
void http_server_time_out_partial(struct http_server *s)
{
	for (struct http_conn *c = s->conns, *next; c; c = next) {
		next = c->next;
		if (c->state == CONN_READING)
			http_conn_time_out(c);
	}
}

/* http_server_count_sending() counts the replies that are being sent. */
unsigned http_server_count_sending(const struct http_server *s)
{
	unsigned n = 0;

	for (const struct http_conn *c = s->conns; c; c = c->next)
		n += c->state == CONN_WRITING;
	return n;
}

/*
 * http_server_busy() returns whether any request or reply is unfinished. A reply
 * is until its peer has closed, which shows that it has arrived.
 */
bool http_server_busy(const struct http_server *s)
{
	for (const struct http_conn *c = s->conns; c; c = c->next) {
		if (!is_idle(c))
			return true;
	}
	return false;
}

/* http_server_close() closes all connections without calling ops->closed. */
void http_server_close(struct http_server *s)
{
	http_server_stop_listening(s);
	for (struct http_conn *c = s->conns, *next; c; c = next) {
		next = c->next;
		http_conn_free(c);
	}
}
