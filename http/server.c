#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/conn.h"
#include "http/socket.h"

/* So that open requests get their turn between new connections. */
enum { ACCEPT_BATCH_MAX = 16 };

/*
 * A caller that has just connected is about to send; a stop waits this long
 * for its first request. It travels 8 ms, and a lost packet is sent again
 * after 200 ms.
 */
static const double FIRST_REQUEST_GRACE_S = 0.2;

/* Takes one connection off the queue; false when there is none. */
static bool accept_one(struct http_server *s)
{
	int fd =
		accept4(s->accept.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return false;
	http_conn_new(s, fd);
	return true;
}

static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	for (int i = 0; i < ACCEPT_BATCH_MAX; i++) {
		if (!accept_one(io->data))
			return;
	}
}

/*
 * http_server_open() listens on "a.b.c.d:port". The caller sets the limits
 * and timeouts of s first. Returns 0 or a negative errno.
 */
int http_server_open(struct http_server *s, struct ev_loop *loop,
		     const char *addr, const struct http_server_ops *ops,
		     void *priv)
{
	int fd = socket_listen(addr);

	if (fd < 0)
		return fd;
	s->loop = loop;
	s->ops = ops;
	s->priv = priv;
	ev_io_init(&s->accept, on_accept, fd, EV_READ);
	s->accept.data = s;
	ev_io_start(loop, &s->accept);
	return 0;
}

/*
 * http_server_stop_listening() closes the listening socket, if open. Whoever
 * is connected by then is still served: closing it would reset those that
 * wait in its queue, with requests that they may have sent.
 */
void http_server_stop_listening(struct http_server *s)
{
	if (!ev_is_active(&s->accept))
		return;
	ev_io_stop(s->loop, &s->accept);
	while (accept_one(s))
		;
	close(s->accept.fd);
}

/* Tells whether a connection's first request may be on its way. */
static bool is_awaiting_first_request(const struct http_conn *c)
{
	return !c->had_request &&
	       ev_now(c->server->loop) - c->opened < FIRST_REQUEST_GRACE_S;
}

/*
 * http_server_close_idle() closes every connection without a request, but
 * for those that have only just been opened.
 */
void http_server_close_idle(struct http_server *s)
{
	for (struct http_conn *c = s->conns, *next; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE && !is_awaiting_first_request(c))
			http_conn_free(c);
	}
}

/* http_server_busy() tells whether any request or reply is unfinished. */
bool http_server_busy(const struct http_server *s)
{
	for (const struct http_conn *c = s->conns; c; c = c->next) {
		if (c->state != CONN_IDLE && c->state != CONN_LINGER)
			return true;
		if (c->state == CONN_IDLE && is_awaiting_first_request(c))
			return true;
	}
	return false;
}

/* http_server_close() ends all connections; handlers are not told. */
void http_server_close(struct http_server *s)
{
	http_server_stop_listening(s);
	for (struct http_conn *c = s->conns, *next; c; c = next) {
		next = c->next;
		http_conn_free(c);
	}
}
