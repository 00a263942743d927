/*
 * Loopback TCP proxy that injects network faults, for the soak test. It
 * forwards connections to the store or to the backend servers of a service. Its
 * control port, one below the first port that it listens on, accepts
 * POST /stand/faults?NAME=VALUE:
 *   delay_ms=N              delay the bytes in both directions
 *   silent=up|down|both|no  drop the bytes to the server, from it, or both
 *   refuse=1|0              reset new connections
 *   closed=1|0              stop listening, so that the system refuses them
 *   hang=1|0                leave new connections without any answer
 *   reset=1                 reset all open connections
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "common/event.h"
#include "http/server.h"
#include "http/socket.h"
#include "misc/buf.h"
#include "options/settings.h"
#include "stand/query.h"
#include "stand/stand.h"

enum {
	CHUNK = 16 * 1024,
	CONTROL_TIMEOUT_S = 5,
	CONTROL_MAX = 4096,
	/* Connections that fill the queue of a socket with a backlog of 0. */
	BACKLOG_FILLERS = 4,
};

/* State of the proxy process. */
struct proxy {
	struct ev_loop *loop;
	struct http_server control;
	int delay_ms;
	bool silent_up, silent_down, refuse, closed, hang;
	GPtrArray *links; /* struct link * */
	GPtrArray *ports; /* struct port * */
};

/* A listening port and the address that it forwards to. */
struct port {
	struct proxy *proxy;
	char listen[64];
	struct sockaddr_in target;
	ev_io accept;
	int fillers[BACKLOG_FILLERS]; /* while it hangs; -1: none */
};

/* One end of a forwarded connection and the bytes to be written to it. */
struct side {
	struct link *link;
	struct side *other;
	int fd;
	ev_io readable, writable;
	ev_timer delay;
	struct buf out;
	bool up; /* the server's end: bytes written to it go up */
};

/* A forwarded connection. */
struct link {
	struct proxy *proxy;
	struct side caller, server;
	bool closing; /* one end was closed: flush, then close the other */
	bool lossy;   /* dropped bytes, so it can't end in order any more */
};

/* Closes one end, with a TCP reset if asked for. */
static void side_close(struct ev_loop *loop, struct side *s, bool reset)
{
	struct linger reset_now = {1, 0};

	ev_io_stop(loop, &s->readable);
	ev_io_stop(loop, &s->writable);
	ev_timer_stop(loop, &s->delay);
	if (reset)
		setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &reset_now,
			   sizeof(reset_now));
	close(s->fd);
	buf_free(&s->out);
}

/* Closes both ends of a connection and frees it. */
static void link_close(struct link *l, bool reset)
{
	reset = reset || l->lossy;
	side_close(l->proxy->loop, &l->caller, reset);
	side_close(l->proxy->loop, &l->server, reset);
	g_ptr_array_remove_fast(l->proxy->links, l);
	g_free(l);
}

/* Writes pending bytes; closes a connection that is closing and flushed. */
static void on_writable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct side *s = io->data;
	ssize_t n = send(s->fd, s->out.ptr, s->out.len, MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		link_close(s->link, true);
		return;
	}
	if (n > 0)
		buf_consume(&s->out, (size_t)n);
	if (s->out.len)
		return;
	ev_io_stop(loop, &s->writable);
	if (s->link->closing)
		link_close(s->link, false);
}

/* Starts to write the delayed bytes. */
static void on_delay(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct side *s = t->data;

	ev_io_start(loop, &s->writable);
}

/* Returns whether nothing reaches one end now; then the connection is lossy. */
static bool is_silent(struct side *to)
{
	const struct proxy *p = to->link->proxy;
	bool silent = to->up ? p->silent_up : p->silent_down;

	to->link->lossy = to->link->lossy || silent;
	return silent;
}

/* Forwards bytes to one end: at once, delayed, or not at all. */
static void forward_bytes(struct side *to, const char *bytes, size_t n)
{
	struct proxy *p = to->link->proxy;

	if (is_silent(to))
		return;
	buf_add(&to->out, bytes, n);
	if (p->delay_ms == 0) {
		ev_io_start(p->loop, &to->writable);
	} else if (!ev_is_active(&to->delay)) {
		ev_timer_set(&to->delay, p->delay_ms / 1000.0, 0);
		ev_timer_start(p->loop, &to->delay);
	}
}

/* Forwards what one end sends; handles its end of stream. */
static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct side *s = io->data;
	char bytes[CHUNK];
	ssize_t n = recv(s->fd, bytes, sizeof(bytes), 0);

	if (n > 0) {
		forward_bytes(s->other, bytes, (size_t)n);
		return;
	}
	if (n < 0 && errno == EAGAIN)
		return;
	ev_io_stop(loop, &s->readable);
	if (n == 0 && is_silent(s->other))
		return;
	s->link->closing = true;
	if (n < 0 || s->other->out.len == 0)
		link_close(s->link, n < 0);
}

/* Initializes one end and starts to read from it. */
static void side_open(struct link *l, struct side *s, struct side *other,
		      int fd)
{
	s->link = l;
	s->other = other;
	s->fd = fd;
	ev_io_init(&s->readable, on_readable, fd, EV_READ);
	ev_io_init(&s->writable, on_writable, fd, EV_WRITE);
	ev_timer_init(&s->delay, on_delay, 0, 0);
	s->readable.data = s->writable.data = s->delay.data = s;
	ev_io_start(l->proxy->loop, &s->readable);
}

/* Connects an accepted connection to the target, or resets it. */
static void on_accept(struct ev_loop *loop, ev_io *io, int revents)
{
	struct port *port = io->data;
	struct linger reset_now = {1, 0};
	int fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int server;
	struct link *l;

	if (fd < 0)
		return;
	socket_set_nodelay(fd);
	server = port->proxy->refuse ? -ECONNREFUSED
				     : socket_connect(&port->target);
	if (server < 0) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_now,
			   sizeof(reset_now));
		close(fd);
		return;
	}
	l = g_new0(struct link, 1);
	l->proxy = port->proxy;
	l->server.up = true;
	side_open(l, &l->caller, &l->server, fd);
	side_open(l, &l->server, &l->caller, server);
	g_ptr_array_add(port->proxy->links, l);
}

/* Resets all open connections. */
static void reset_links(struct proxy *p)
{
	GPtrArray *all = p->links;

	p->links = g_ptr_array_new();
	for (guint i = 0; i < all->len; i++)
		link_close(g_ptr_array_index(all, i), true);
	g_ptr_array_unref(all);
}

/* Listens on the port; new connections are accepted. */
static int port_listen(struct port *port)
{
	int fd = socket_listen(port->listen);

	if (fd < 0) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "addr=%s err=%s", port->listen, g_strerror(-fd));
		return fd;
	}
	ev_io_init(&port->accept, on_accept, fd, EV_READ);
	port->accept.data = port;
	ev_io_start(port->proxy->loop, &port->accept);
	return 0;
}

/* Stops listening. */
static void port_close(struct port *port)
{
	ev_io_stop(port->proxy->loop, &port->accept);
	close(port->accept.fd);
	for (int i = 0; i < BACKLOG_FILLERS; i++) {
		if (port->fillers[i] >= 0)
			close(port->fillers[i]);
		port->fillers[i] = -1;
	}
}

/*
 * Fills the queue of new connections, and accepts none: the system drops the
 * packets of further ones.
 */
static void port_hang(struct port *port)
{
	struct sockaddr_in sa;

	ev_io_stop(port->proxy->loop, &port->accept);
	listen(port->accept.fd, 0);
	socket_parse_addr(port->listen, &sa);
	for (int i = 0; i < BACKLOG_FILLERS; i++)
		port->fillers[i] = socket_connect(&sa);
}

/* Changes how new connections are handled. */
static void set_ports(struct proxy *p, bool closed, bool hang)
{
	if (closed == p->closed && hang == p->hang)
		return;
	for (guint i = 0; i < p->ports->len; i++) {
		struct port *port = g_ptr_array_index(p->ports, i);

		if (!p->closed)
			port_close(port);
		if (!closed && !port_listen(port) && hang)
			port_hang(port);
	}
	p->closed = closed;
	p->hang = hang;
}

/* Sets the faults that the query has. */
static void set_faults(struct proxy *p, const struct query *q)
{
	const char *silent = query_text(q, "silent");

	p->delay_ms = (int)query_int(q, "delay_ms", p->delay_ms);
	p->refuse = query_int(q, "refuse", p->refuse) != 0;
	if (silent) {
		bool both = !strcmp(silent, "both");

		p->silent_up = both || !strcmp(silent, "up");
		p->silent_down = both || !strcmp(silent, "down");
	}
	set_ports(p, query_int(q, "closed", p->closed) != 0,
		  query_int(q, "hang", p->hang) != 0);
	if (query_int(q, "reset", 0))
		reset_links(p);
}

/* Handles a request on the control port. */
static void on_control(void *priv, struct http_conn *c, struct http_message *m)
{
	struct http_reply r = {.status = 404, .close = true};
	struct query q;
	char *path = query_split(m->target, &q);

	if (!strcmp(path, "/stand/faults")) {
		set_faults(priv, &q);
		r.status = 200;
	}
	g_free(path);
	query_free(&q);
	http_message_free(m);
	http_conn_reply(c, &r);
}

static const struct http_server_ops control_ops = {on_control, NULL};

/* Listens on `listen` and forwards connections to `target`. */
static int open_port(struct proxy *p, const char *listen, const char *target)
{
	struct port *port = g_new0(struct port, 1);

	port->proxy = p;
	memset(port->fillers, -1, sizeof(port->fillers));
	g_strlcpy(port->listen, listen, sizeof(port->listen));
	g_ptr_array_add(p->ports, port);
	if (socket_parse_addr(target, &port->target))
		return -EINVAL;
	return port_listen(port);
}

/*
 * Opens a port at `host` for each backend server of a service. Proxies of a
 * single entry are placed before those that the servers advertise.
 */
static int open_service_ports(struct proxy *p, const struct service_opts *s,
			      const char *host, bool single)
{
	char listen[64], target[64];
	int rc = 0;

	for (int i = 0; i < s->workers && !rc; i++) {
		if (single)
			deploy_worker_advertised_addr(s, i, target,
						      sizeof(target));
		else
			deploy_worker_addr(s, i, target, sizeof(target));
		deploy_worker_proxy_addr(s, i, host, listen, sizeof(listen));
		rc = open_port(p, listen, target);
	}
	return rc;
}

/* Opens the control port, one below the address `first`. */
static int open_control_port(struct proxy *p, const char *first)
{
	char host[32], addr[64];
	int port;

	if (addr_split(first, host, sizeof(host), &port))
		return -EINVAL;
	snprintf(addr, sizeof(addr), "%s:%d", host, port - 1);
	p->control.limits = (struct http_limits){CONTROL_MAX, CONTROL_MAX};
	p->control.head_timeout_s = CONTROL_TIMEOUT_S;
	p->control.idle_timeout_s = CONTROL_TIMEOUT_S;
	return http_server_open(&p->control, p->loop, addr, &control_ops, p);
}

/*
 * Returns the host at which a proxy for a service listens: that of an entry's
 * own proxies, the one that the servers register, or NULL.
 */
static const char *service_host(const struct deploy *d,
				const struct service_opts *s, const char *entry)
{
	const struct entry_opts *en = entry ? deploy_entry(d, entry) : NULL;

	if (entry)
		return en && *en->server_host ? en->server_host : NULL;
	return s->proxy_offset ? "127.0.0.1" : NULL;
}

/*
 * stand_proxy_main() runs the proxy: for the backend servers of a service, at
 * the addresses that they advertise or at the host at which the named entry
 * reaches them, or for the store if `service` is NULL, at the address that
 * entry instances are configured with. Returns 0 or a negative errno.
 */
int stand_proxy_main(const struct deploy *d, const char *service,
		     const char *entry)
{
	struct proxy p = {.loop = ev_default_loop(EVFLAG_NOENV),
			  .links = g_ptr_array_new(),
			  .ports = g_ptr_array_new()};
	char first[64];
	int rc;

	g_strlcpy(first, d->entry.platform, sizeof(first));
	if (service) {
		const struct service_opts *s = deploy_service(d, service);
		const char *host = s ? service_host(d, s, entry) : NULL;

		if (!host)
			return -ENOENT;
		deploy_worker_proxy_addr(s, 0, host, first, sizeof(first));
		rc = open_service_ports(&p, s, host, entry != NULL);
	} else {
		rc = open_port(&p, d->entry.platform, d->platform.listen);
	}
	if (!rc)
		rc = open_control_port(&p, first);
	if (rc)
		return rc;
	ev_run(p.loop, 0);
	return 0;
}
