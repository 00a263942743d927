#include <inttypes.h>
#include <sys/param.h>

#include "common/event.h"
#include "http/conn.h"
#include "http/pool.h"
#include "misc/clock.h"

static const double LOG_INTERVAL_S = 1;

/*
 * Connections looked at, from the one that has been waiting for longest, to find
 * one that may be closed; more would cost a flood of connections too much time.
 */
enum { CANDIDATES_MAX = 64 };

/*
 * What the kernel may hold for a connection that isn't read, or whose peer
 * doesn't read.
 */
enum { BLOCKED_BYTES = HTTP_UNSENT_BYTES + 32 * 1024 };

/* http_pool_add() makes a server that isn't open yet use the pool. */
void http_pool_add(struct http_pool *p, struct http_server *s, const char *name,
		   double share)
{
	s->pool = p;
	s->name = name;
	s->share = share;
	s->next_in_pool = p->servers;
	p->servers = s;
}

/* http_pool_account() updates what somebody holds of the memory. */
void http_pool_account(struct http_pool *p, size_t *held, size_t now)
{
	p->bytes = p->bytes - *held + now;
	p->bytes_peak = MAX(p->bytes_peak, p->bytes);
	*held = now;
}

/* Returns the bytes that are held for a connection, here and by the kernel. */
static size_t held_bytes(const struct http_conn *c)
{
	const struct http_reader *r = &c->reader;
	bool blocked = c->state == CONN_WRITING || !ev_is_active(&c->io);
	size_t n = sizeof(*c) + c->in.cap + c->out.cap + c->request_bytes;

	n += r->name.cap + r->value.cap + r->target.cap;
	n += r->msg ? r->msg->arena.total_bytes : 0;
	n += c->source ? c->source->arena.total_bytes : 0;
	return n + (blocked ? BLOCKED_BYTES : 0);
}

/* http_conn_account() accounts what is held for a connection to the pool. */
void http_conn_account(struct http_conn *c)
{
	if (c->server->pool)
		http_pool_account(c->server->pool, &c->held, held_bytes(c));
}

/* Returns whether the peer sends on regardless while its request is handled. */
static bool is_flooded(const struct http_conn *c)
{
	return c->state == CONN_HANDLING && !ev_is_active(&c->io);
}

/* Returns the number of sockets besides those of connections. */
static unsigned count_others(const struct http_pool *p)
{
	return p->ops ? p->ops->count_others(p->priv) : 0;
}

/* http_pool_sockets() returns the number of sockets in use. */
unsigned http_pool_sockets(const struct http_pool *p)
{
	return p->nconns + count_others(p);
}

/* Logs a shortage, with what has been closed since the last line. */
static void log_shortage(struct http_pool *p, const char *name,
			 enum http_shortage why, const char *err)
{
	static const enum mp_event events[HTTP_SHORTAGES] = {
		[SHORT_OF_SOCKETS] = EV_SOCKETS_SHORT,
		[SHORT_OF_MEMORY] = EV_CLIENT_MEMORY_SHORT,
		[SHORT_OF_REPLIES] = EV_REPLY_MEMORY_SHORT,
		[SHORT_OF_BODIES] = EV_BODY_MEMORY_SHORT,
		[SLOW_REPLY] = EV_REPLY_SLOW,
	};
	struct http_shortage_log *l = &p->shortages[why];
	double now = clock_s();

	if (l->at > 0 && now - l->at < LOG_INTERVAL_S)
		return;
	mp_event(events[why], G_LOG_LEVEL_WARNING,
		 "port=%s closed=%" PRIu64 " sockets=%u of=%u bytes=%zu "
		 "limit=%zu err=%s",
		 name, l->closed - l->logged, http_pool_sockets(p),
		 p->sockets_max, p->bytes, p->bytes_max, err);
	l->logged = l->closed;
	l->at = now;
}

/*
 * http_pool_open_failed() reports that a socket could not be opened with -errno,
 * for want of descriptors.
 */
void http_pool_open_failed(struct http_pool *p, const char *name, int err)
{
	p->open_failures++;
	log_shortage(p, name, SHORT_OF_SOCKETS, g_strerror(-err));
}

/* Counts and logs a connection that ends because of a shortage. */
static void note_shortage(const struct http_server *s, enum http_shortage why)
{
	if (!s->pool)
		return;
	s->pool->shortages[why].closed++;
	log_shortage(s->pool, s->name, why, "-");
}

/* http_conn_close_for() closes a connection because of a shortage. */
void http_conn_close_for(struct http_conn *c, enum http_shortage why)
{
	bool idle = c->state == CONN_IDLE;

	note_shortage(c->server, why);
	http_conn_notify_closed(c);
	if (idle)
		http_conn_free(c);
	else
		http_conn_reset(c);
}

/* Returns the connection of a server to be closed first, or NULL. */
static struct http_conn *find_candidate(const struct http_server *s)
{
	struct http_conn *c = s->oldest;

	for (int i = 0; c && i < CANDIDATES_MAX; i++, c = c->prev) {
		if (c->state != CONN_HANDLING)
			return c;
	}
	/* A new connection, if there is no other one. */
	return s->conns && s->conns->state != CONN_HANDLING ? s->conns : NULL;
}

/*
 * Returns the connection to be closed first of the server that holds most beyond
 * its share, and beyond `most` of it; NULL: none.
 */
static struct http_conn *find_beyond(const struct http_pool *p, double most)
{
	struct http_conn *victim = NULL;

	for (struct http_server *s = p->servers; s; s = s->next_in_pool) {
		struct http_conn *c =
			s->nconns > s->share * most ? find_candidate(s) : NULL;

		if (!c)
			continue;
		most = s->nconns / s->share;
		victim = c;
	}
	return victim;
}

/*
 * http_pool_close_socket() closes a socket of those that use most of their
 * share. Returns false if none may be closed.
 */
bool http_pool_close_socket(struct http_pool *p)
{
	double others = p->ops ? count_others(p) / p->others_share : 0;
	struct http_conn *victim = find_beyond(p, others);

	if (!victim && p->ops && p->ops->close_other(p->priv))
		return true;
	/* The others use most, but none of them is idle. */
	if (!victim)
		victim = find_beyond(p, 0);
	if (victim)
		http_conn_close_for(victim, SHORT_OF_SOCKETS);
	return victim != NULL;
}

/*
 * http_pool_limit_sockets() closes sockets beyond the limit, so that `more` can
 * be opened. Returns whether they can.
 */
bool http_pool_limit_sockets(struct http_pool *p, unsigned more)
{
	while (p->sockets_max && http_pool_sockets(p) + more > p->sockets_max) {
		if (!http_pool_close_socket(p))
			return false;
	}
	return true;
}

/* http_pool_is_short() returns whether more memory is in use than may be. */
bool http_pool_is_short(const struct http_pool *p)
{
	return p->bytes_max && p->bytes > p->bytes_max;
}

/* Returns what closing a connection would gain: bytes times seconds. */
static double weight(const struct http_conn *c)
{
	return (double)c->held * (clock_s() - c->since);
}

/*
 * Returns the connection that has held most for longest, or NULL: none with a
 * request being handled, unless the peer sends on, and not `except`.
 */
static struct http_conn *find_largest(const struct http_pool *p,
				      const struct http_conn *except)
{
	struct http_conn *victim = NULL;
	double most = -1;

	for (struct http_server *s = p->servers; s; s = s->next_in_pool) {
		struct http_conn *c = s->oldest;

		for (int i = 0; c && i < CANDIDATES_MAX; i++, c = c->prev) {
			if (c == except ||
			    (c->state == CONN_HANDLING && !is_flooded(c)) ||
			    weight(c) <= most)
				continue;
			most = weight(c);
			victim = c;
		}
	}
	return victim;
}

/*
 * http_pool_limit_memory() closes connections other than `except` until the
 * memory suffices. Returns whether it does.
 */
bool http_pool_limit_memory(struct http_pool *p, const struct http_conn *except)
{
	while (http_pool_is_short(p)) {
		struct http_conn *c = find_largest(p, except);

		if (!c)
			return false;
		http_conn_close_for(c, SHORT_OF_MEMORY);
	}
	return true;
}

/*
 * http_pool_close_slowest() closes the connection whose peer has taken nothing of
 * its reply for longest, and at least min_stall_s, the bytes that it leaves taken
 * into account. Returns false if there is none.
 */
bool http_pool_close_slowest(struct http_pool *p, double min_stall_s)
{
	struct http_conn *victim = NULL;
	double most = 0;

	for (struct http_server *s = p->servers; s; s = s->next_in_pool) {
		for (struct http_conn *c = s->conns; c; c = c->next) {
			double stall_s = clock_s() - c->taken_at;

			if (c->state != CONN_WRITING || stall_s < min_stall_s ||
			    stall_s * (double)c->body.len <= most)
				continue;
			most = stall_s * (double)c->body.len;
			victim = c;
		}
	}
	if (victim)
		http_conn_close_for(victim, SHORT_OF_REPLIES);
	return victim != NULL;
}

/* Returns whether a body has come too slowly once its grace time is over. */
static bool is_body_slow(const struct http_conn *c, double grace_s)
{
	double time_s = clock_s() - c->head_at - grace_s;

	return c->state == CONN_READING && c->in_body && !c->reader.reserving &&
	       time_s > 0 &&
	       (double)c->reader.msg->body.len <
		       time_s * c->server->transfer_min_rate;
}

/*
 * http_pool_end_slowest_body() responds 408 to the request whose body holds most
 * memory of those that come more slowly than the server's minimal rate, after
 * grace_s. Returns false if there is none.
 */
bool http_pool_end_slowest_body(struct http_pool *p, double grace_s)
{
	struct http_conn *victim = NULL;
	size_t most = 0;

	for (struct http_server *s = p->servers; s; s = s->next_in_pool) {
		for (struct http_conn *c = s->conns; c; c = c->next) {
			if (!is_body_slow(c, grace_s) ||
			    c->reader.msg->reserved <= most)
				continue;
			most = c->reader.msg->reserved;
			victim = c;
		}
	}
	if (!victim)
		return false;
	note_shortage(victim->server, SHORT_OF_BODIES);
	http_conn_time_out(victim);
	return true;
}
