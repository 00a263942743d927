#include <errno.h>
#include <inttypes.h>

#include "core/body_memory.h"
#include "traffic/clients.h"
#include "traffic/upstream.h"

/*
 * A caller that has taken a part of its reply more recently reads it; the way to
 * it and back may take this long.
 */
static const double REPLY_STALL_S = 0.25;

/* For which a body may come as slowly as it likes. */
static const double BODY_GRACE_S = 1;

static const double BYTES_PER_KB = 1000;

/* Returns the sockets besides those of connections; a tunnel has two. */
static unsigned count_others(void *priv)
{
	const struct traffic *t = priv;

	return t->upstreams + 2 * t->tunnels;
}

static bool close_other(void *priv)
{
	return upstream_drop_oldest(priv);
}

static const struct http_pool_ops pool_ops = {count_others, close_other};

/* clients_init() sets the bounds by the machine's memory and descriptors. */
void clients_init(struct traffic *t)
{
	const struct instance_settings *s = t->settings;
	const struct {
		struct http_server *server;
		const char *name;
		double share;
	} servers[] = {
		{&t->caller_server, "callers", SHARE_CALLERS},
		{&t->own_server, "own", SHARE_OWN},
		{&t->directory_server, "directory", SHARE_DIRECTORY},
		{&t->readiness_server, "ready", SHARE_READINESS},
		{&t->metrics_server, "metrics", SHARE_METRICS},
		{&t->tunnel_server, "tunnels", SHARE_TUNNELS},
	};
	struct socket_limits limits = instance_settings_sockets(s);

	t->pool.ops = &pool_ops;
	t->pool.priv = t;
	t->pool.others_share = SHARE_SERVERS;
	t->pool.sockets_max = limits.traffic;
	t->tunnels_max = limits.tunnels;
	t->pool.bytes_max = connection_memory_limit(s->memory_mb);
	t->tunnel_pool.bytes_max = tunnel_memory_limit(s->memory_mb);
	for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
		struct http_server *h = servers[i].server;

		http_pool_add(&t->pool, h, servers[i].name, servers[i].share);
		h->fields_max = (size_t)s->clients.header_fields;
		h->transfer_time_s = s->clients.transfer_time_s;
		h->transfer_min_rate =
			s->clients.transfer_min_kb_s * BYTES_PER_KB;
	}
}

/*
 * clients_make_room() makes room for a socket to a backend server. Returns false
 * if there is none.
 */
bool clients_make_room(struct traffic *t)
{
	return http_pool_limit_sockets(&t->pool, 1);
}

/*
 * clients_retry_open() handles a socket to a backend server that could not be
 * opened. Returns whether another attempt may succeed.
 */
bool clients_retry_open(struct traffic *t, int err)
{
	if (err != -EMFILE && err != -ENFILE)
		return false;
	http_pool_open_failed(&t->pool, "servers", err);
	return http_pool_close_socket(&t->pool);
}

/*
 * clients_free_replies() frees memory of replies that a caller doesn't take.
 * Returns false if there are none.
 */
bool clients_free_replies(struct traffic *t)
{
	return http_pool_close_slowest(&t->pool, REPLY_STALL_S);
}

/*
 * clients_free_bodies() frees memory of a request's body that doesn't come.
 * Returns false if there are none.
 */
bool clients_free_bodies(struct traffic *t)
{
	return http_pool_end_slowest_body(&t->pool, BODY_GRACE_S);
}

/* clients_write_metrics() writes what clients hold. */
void clients_write_metrics(struct buf *out, const struct traffic *t)
{
	static const char *const whys[HTTP_SHORTAGES] = {
		[SHORT_OF_SOCKETS] = "sockets", [SHORT_OF_MEMORY] = "memory",
		[SHORT_OF_REPLIES] = "replies", [SHORT_OF_BODIES] = "bodies",
		[SLOW_REPLY] = "slow",
	};
	const struct http_pool *p = &t->pool;

	for (const struct http_server *s = p->servers; s; s = s->next_in_pool)
		buf_printf(out, "connections{port=\"%s\"} %u\n", s->name,
			   s->nconns);
	buf_printf(out,
		   "backend_connections %u\nsockets %u\nsockets_limit %u\n"
		   "socket_failures %" PRIu64 "\n",
		   t->upstreams, http_pool_sockets(p), p->sockets_max,
		   p->open_failures);
	buf_printf(out,
		   "connection_bytes %zu\nconnection_bytes_peak %zu\n"
		   "connection_bytes_limit %zu\ntunnel_bytes %zu\n"
		   "tunnel_bytes_peak %zu\ntunnel_bytes_limit %zu\n",
		   p->bytes, p->bytes_peak, p->bytes_max, t->tunnel_pool.bytes,
		   t->tunnel_pool.bytes_peak, t->tunnel_pool.bytes_max);
	for (unsigned i = 0; i < HTTP_SHORTAGES; i++)
		buf_printf(out, "connections_closed{why=\"%s\"} %" PRIu64 "\n",
			   whys[i], p->shortages[i].closed);
}
