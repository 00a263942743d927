#include <errno.h>
#include <inttypes.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/path.h"
#include "http/server.h"
#include "http/socket.h"
#include "http/splice.h"
#include "member/tunnel_request.h"
#include "misc/clock.h"
#include "traffic/clients.h"
#include "traffic/path_check.h"
#include "traffic/tunnels.h"

enum {
	/* Two descriptors each; beyond that peers use other instances. */
	TUNNELS_MAX = 512,
	HEAD_MAX = 1024,
	/* Until a peer that has lost power is noticed. */
	PEER_TIMEOUT_S = 10,
};

/* As for this instance's own connections to servers. */
static const double CONNECT_TIMEOUT_S = 0.1;
static const double HEAD_TIMEOUT_S = 1.0;

/* A tunnel that is being opened or in use. */
struct tunnel {
	struct traffic *traffic;
	struct backend *backend;
	uint64_t id;
	char from[PEER_NAME_MAX];
	int64_t since_ms;
	bool framed;		/* the peer reads frames */
	struct http_conn *conn; /* while connecting */
	int fd;			/* to the server, while connecting */
	ev_io connected;
	ev_timer timer;
	struct splice splice;
};

static void tunnel_free(struct tunnel *t)
{
	t->traffic->tunnels--;
	backend_unref(t->backend);
	g_free(t);
}

/* Refuses a tunnel; the peer asks another instance. */
static void refuse(struct traffic *t, struct http_conn *c,
		   const struct tunnel_request *r, unsigned status,
		   const char *why)
{
	mp_event(EV_TUNNEL_REFUSED, G_LOG_LEVEL_MESSAGE,
		 "tunnel=%016" PRIx64 " from=%.*s backend=%.*s status=%u "
		 "why=%s",
		 r->id, (int)r->from.len, r->from.ptr, (int)r->backend.len,
		 r->backend.ptr, status, why);
	t->counters.tunnels_refused++;
	http_conn_reply(c,
			&(struct http_reply){.status = status, .close = true});
}

/* Stops connecting; the socket is closed or handed over by the caller. */
static void stop_connecting(struct tunnel *t)
{
	ev_io_stop(t->traffic->loop, &t->connected);
	ev_timer_stop(t->traffic->loop, &t->timer);
	http_conn_set_user(t->conn, NULL);
}

/* Returns the answer when a server can't be connected. */
static unsigned failure_status(const struct service *s, int err)
{
	if (reach_is_lost(&s->reach))
		return err == -ECONNREFUSED ? TUNNEL_SERVICE_REFUSES
					    : TUNNEL_UNAVAILABLE;
	return err == -ECONNREFUSED ? TUNNEL_SERVER_REFUSES
				    : TUNNEL_SERVER_SILENT;
}

/* Ends the connection attempt and refuses the tunnel. */
static void give_up(struct tunnel *t, unsigned status, const char *why)
{
	struct tunnel_request r = {.backend = lstr0(t->backend->entry.id),
				   .from = lstr0(t->from),
				   .id = t->id};

	stop_connecting(t);
	close(t->fd);
	refuse(t->traffic, t->conn, &r, status, why);
	tunnel_free(t);
}

/* The server isn't reached from here either. */
static void on_connect_failed(struct tunnel *t, int err)
{
	struct service *s = t->backend->service;

	reach_record(t->backend, REACH_OPEN_FAILED, err, clock_ms());
	path_direct_failed(t->backend, clock_ms());
	if (reach_is_lost(&s->reach))
		path_check_begin(t->traffic);
	give_up(t, failure_status(s, err), g_strerror(-err));
}

/* The server's first byte shows that this instance reaches it. */
static void on_first_byte(void *priv, const struct splice_end *end)
{
	struct tunnel *t = priv;

	if (end != &t->splice.ends[1])
		return;
	reach_record(t->backend, REACH_OPENED, 0, clock_ms());
	path_direct_opened(t->backend, clock_ms());
}

static void on_closed(void *priv, int err)
{
	struct tunnel *t = priv;

	mp_event(EV_TUNNEL_CLOSED, G_LOG_LEVEL_MESSAGE,
		 "tunnel=%016" PRIx64 " from=%s backend=%s err=%s "
		 "bytes_up=%" PRIu64 " bytes_down=%" PRIu64
		 " ms=%" G_GINT64_FORMAT,
		 t->id, t->from, t->backend->entry.id,
		 err ? g_strerror(-err) : "-", t->splice.ends[0].received,
		 t->splice.ends[1].received, clock_ms() - t->since_ms);
	tunnel_free(t);
}

/* Connected: answers the peer and begins to forward. */
static void start_forwarding(struct tunnel *t)
{
	struct tunnel_request r = {.framed = t->framed};
	struct buf input = {0}, ok = {0};
	int fd;

	stop_connecting(t);
	fd = http_conn_detach(t->conn, &input);
	t->conn = NULL;
	socket_set_keepalive(fd, PEER_TIMEOUT_S);
	mp_event(EV_TUNNEL_SERVED, G_LOG_LEVEL_MESSAGE,
		 "tunnel=%016" PRIx64 " from=%s backend=%s service=%s "
		 "ms=%" G_GINT64_FORMAT " open=%u",
		 t->id, t->from, t->backend->entry.id,
		 t->backend->service->name, clock_ms() - t->since_ms,
		 t->traffic->tunnels);
	t->traffic->counters.tunnels_served++;
	t->splice.first_byte = on_first_byte;
	t->splice.closed = on_closed;
	t->splice.priv = t;
	t->splice.framed = t->framed;
	t->splice.pool = &t->traffic->tunnel_pool;
	t->splice.stall_s = t->traffic->settings->clients.transfer_time_s;
	t->splice.min_rate = t->traffic->tunnel_server.transfer_min_rate;
	tunnel_answer_write(&ok, &r);
	/* If this fails the first read reports it. */
	(void)!send(fd, ok.ptr, ok.len, MSG_NOSIGNAL);
	buf_free(&ok);
	splice_start(&t->splice, t->traffic->loop, fd, t->fd, buf_lstr(&input));
	buf_free(&input);
}

static void on_connected(struct ev_loop *loop, ev_io *io, int revents)
{
	struct tunnel *t = io->data;
	int err = socket_error(t->fd);

	if (err)
		on_connect_failed(t, err);
	else if (reach_is_lost(&t->backend->service->reach))
		/* A connection may be accepted on the way to the server. */
		give_up(t, TUNNEL_UNAVAILABLE, "no server reached");
	else
		start_forwarding(t);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int revents)
{
	on_connect_failed(timer->data, -ETIMEDOUT);
}

/* Connects to the server. Returns 0 or a negative errno. */
static int connect_to(struct traffic *t, struct backend *b, struct http_conn *c,
		      const struct tunnel_request *r)
{
	int fd =
		clients_make_room(t) ? socket_connect(&b->entry.addr) : -EMFILE;
	struct tunnel *n;

	if (fd < 0 && clients_retry_open(t, fd))
		fd = socket_connect(&b->entry.addr);

	if (fd < 0)
		return fd;
	n = g_new0(struct tunnel, 1);
	n->traffic = t;
	n->backend = backend_ref(b);
	n->id = r->id;
	n->framed = r->framed;
	g_snprintf(n->from, sizeof(n->from), "%.*s", (int)r->from.len,
		   r->from.ptr);
	n->since_ms = clock_ms();
	n->conn = c;
	n->fd = fd;
	t->tunnels++;
	ev_io_init(&n->connected, on_connected, fd, EV_WRITE);
	ev_timer_init(&n->timer, on_timeout, CONNECT_TIMEOUT_S, 0);
	n->connected.data = n->timer.data = n;
	ev_io_start(t->loop, &n->connected);
	ev_timer_start(t->loop, &n->timer);
	http_conn_set_user(c, n);
	return 0;
}

/* Opens the tunnel that a peer asks for, or refuses it. */
static void open_tunnel(struct traffic *t, struct http_conn *c,
			const struct tunnel_request *r)
{
	char *id = g_strndup(r->backend.ptr, r->backend.len);
	struct backend *b = g_hash_table_lookup(t->backends.by_id, id);
	int rc;

	g_free(id);
	if (t->stopping || t->tunnels >= TUNNELS_MAX ||
	    (t->tunnels_max && t->tunnels >= t->tunnels_max)) {
		refuse(t, c, r, TUNNEL_UNAVAILABLE,
		       t->stopping ? "stopping" : "too many");
	} else if (!b || !backend_is_available(b, SEND_COMMITTED, clock_ms())) {
		refuse(t, c, r, TUNNEL_UNKNOWN_SERVER,
		       b ? "the server takes nothing" : "not listed");
	} else if (reach_is_lost(&b->service->reach) &&
		   !reach_is_refused(&b->service->reach)) {
		refuse(t, c, r, TUNNEL_UNAVAILABLE, "no server reached");
	} else {
		rc = connect_to(t, b, c, r);
		if (rc)
			refuse(t, c, r, TUNNEL_UNAVAILABLE, g_strerror(-rc));
	}
}

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct tunnel_request r;

	if (tunnel_request_read(m, &r))
		http_conn_reply(
			c, &(struct http_reply){.status = 405, .close = true});
	else
		open_tunnel(priv, c, &r);
	http_message_free(m);
}

/* The peer gave up while the server was being connected. */
static void on_peer_left(void *priv, struct http_conn *c)
{
	struct tunnel *t = http_conn_user(c);

	if (!t)
		return;
	stop_connecting(t);
	close(t->fd);
	tunnel_free(t);
}

static const struct http_server_ops server_ops = {on_request, on_peer_left};

/*
 * tunnels_open() starts to serve tunnels if the settings name an address.
 * Returns 0 or a negative errno.
 */
int tunnels_open(struct traffic *t)
{
	struct http_server *s = &t->tunnel_server;

	if (!t->settings->tunnels)
		return 0;
	s->serves_connect = true;
	s->limits = (struct http_limits){HEAD_MAX, HEAD_MAX};
	s->head_timeout_s = s->idle_timeout_s = HEAD_TIMEOUT_S;
	return http_server_open(s, t->loop, t->settings->tunnels, &server_ops,
				t);
}

/*
 * tunnels_busy() returns whether peers still use tunnels. They stop to do so
 * once they have heard that this instance leaves.
 */
bool tunnels_busy(const struct traffic *t)
{
	return t->tunnels > 0;
}
