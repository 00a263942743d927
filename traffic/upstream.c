#include <errno.h>
#include <inttypes.h>
#include <string.h>

#include "common/event.h"
#include "core/path.h"
#include "member/tunnel_request.h"
#include "misc/clock.h"
#include "traffic/clients.h"
#include "traffic/feedback.h"
#include "traffic/path_check.h"
#include "traffic/responses.h"
#include "traffic/upstream.h"

/*
 * A handshake takes about 1 ms for the round trip and 1 ms at the server; a
 * server that hasn't answered by then is down or unreachable.
 */
static const double CONNECT_TIMEOUT_S = 0.1;

/* To the peer and, in the same time as from here, from there to the server. */
static const double TUNNEL_TIMEOUT_S = 0.2;

/* How long a response to a cancelled request is still read. */
static const double LINGER_S = 1.0;

enum {
	HEAD_MAX = 64 * 1024, /* of a response, bytes */
	/*
	 * Idle connections to a server beyond its slots. A request that may not
	 * be repeated takes a new one unless it has just been used for a probe,
	 * so without a limit they add up until the server accepts no more.
	 */
	SPARE_IDLE = 2,
};

static unsigned opened; /* connections opened so far */

/* Returns the number of connections opened since the start. */
unsigned upstream_opened(void)
{
	return opened;
}

/* Removes u from its server's list of idle or busy connections. */
static void unlink_upstream(struct upstream *u)
{
	void **list =
		u->idle ? &u->backend->idle_conns : &u->backend->busy_conns;
	struct upstream **p = (struct upstream **)list;

	while (*p && *p != u)
		p = &(*p)->next;
	if (*p)
		*p = u->next;
}

static void mark_in_use(struct upstream *u)
{
	u->idle = false;
	u->next = u->backend->busy_conns;
	u->backend->busy_conns = u;
}

static void free_upstream(struct upstream *u)
{
	unlink_upstream(u);
	if (u->peer)
		tunnel_peer_unref(u->peer);
	backend_unref(u->backend);
	g_free(u);
}

/* Records a response as evidence that its server is reached. */
static void record_reached(struct upstream *u, int64_t now_ms)
{
	bool first = !u->answered;

	u->answered = true;
	if (u->peer && first) {
		mp_event(EV_TUNNEL_OPENED, G_LOG_LEVEL_MESSAGE,
			 "tunnel=%016" PRIx64 " peer=%s backend=%s service=%s "
			 "framed=%d",
			 u->tunnel, u->peer->name, u->backend->entry.id,
			 u->backend->service->name, u->http.framed);
		tunnel_peer_worked(u->peer, u->backend->service, now_ms);
		path_tunnel_opened(u->backend, now_ms);
	}
	if (u->peer)
		return;
	reach_record(u->backend, first ? REACH_OPENED : REACH_ANSWERED, 0,
		     now_ms);
	if (first)
		path_direct_opened(u->backend, now_ms);
}

/* Handles a tunnel through which its server wasn't reached. */
static void on_tunnel_failed(struct upstream *u, int err, int64_t now_ms)
{
	unsigned status = u->http.tunnel_status;

	u->traffic->counters.tunnel_failures++;
	mp_event(EV_TUNNEL_FAILED, G_LOG_LEVEL_MESSAGE,
		 "tunnel=%016" PRIx64 " peer=%s backend=%s service=%s "
		 "status=%u err=%s",
		 u->tunnel, u->peer->name, u->backend->entry.id,
		 u->backend->service->name, status, g_strerror(-err));
	tunnel_peer_failed(u->peer, u->backend->service, now_ms);
	if (status == TUNNEL_SERVER_REFUSES || status == TUNNEL_SERVER_SILENT)
		path_tunnel_refused(u->backend);
	path_tunnel_failed(u->backend->service, now_ms);
}

/* Handles a direct connection that failed. */
static void on_direct_failed(struct upstream *u, enum reach_outcome outcome,
			     int err, int64_t now_ms)
{
	reach_record(u->backend, outcome, err, now_ms);
	if (outcome == REACH_OPEN_FAILED)
		path_direct_failed(u->backend, now_ms);
	if (path_is_broken(u->backend))
		path_check_begin(u->traffic);
}

/*
 * Records a failed connection if it is evidence of a failed link. A request
 * without a response isn't: the server may be slow, or the request to blame.
 */
static void record_unreached(struct upstream *u, int err, int64_t now_ms)
{
	bool open_failed = !u->http.connected || (u->is_probe && !u->answered);

	if (err == -ECANCELED || u->idle)
		return;
	if (u->peer && open_failed)
		on_tunnel_failed(u, err, now_ms);
	else if (!u->peer && open_failed)
		on_direct_failed(u, REACH_OPEN_FAILED, err, now_ms);
	else if (!u->peer && u->is_probe && err == -ETIMEDOUT)
		on_direct_failed(u, REACH_HUNG, err, now_ms);
}

/* Applies the server's feedback even if the owner skips the response. */
static enum http_match classify_response(void *priv,
					 const struct http_message *m)
{
	struct upstream *u = priv;
	struct feedback f = {.sent_ms = u->sent_ms, .probe = u->is_probe};
	enum http_match verdict;

	record_reached(u, clock_ms());
	exchange_read_response(m, &f.info);
	verdict = u->ops->classify(u->owner, &f.info);
	f.solicited = verdict == HTTP_MATCHED;
	feedback_apply(u->traffic, u->backend, &f);
	return verdict;
}

static void on_response(void *priv, struct http_message *m)
{
	struct upstream *u = priv;
	struct response_info info;

	exchange_read_response(m, &info);
	u->ops->response(u->owner, m, &info);
}

static void on_unsolicited(void *priv, const struct http_message *m)
{
	struct upstream *u = priv;
	struct feedback f = {.solicited = false};

	exchange_read_response(m, &f.info);
	feedback_apply(u->traffic, u->backend, &f);
}

/* Checks the server's availability again just before the first byte. */
static bool may_send(void *priv)
{
	const struct upstream *u = priv;

	return backend_is_available(u->backend, u->kind, clock_ms());
}

static bool is_framed(void *priv, const struct http_message *m)
{
	return tunnel_answer_is_framed(m);
}

/* Frees a closed connection and notifies its owner. */
static void on_failed(void *priv, int err, bool sent)
{
	struct upstream *u = priv;
	const struct upstream_ops *ops = u->idle ? NULL : u->ops;
	void *owner = u->owner;

	record_unreached(u, err, clock_ms());
	free_upstream(u);
	if (ops)
		ops->failed(owner, err, sent);
}

static const struct http_client_ops client_ops = {
	classify_response, on_response,	   on_failed,
	may_send,	   on_unsolicited, is_framed};

static struct upstream *new_upstream(struct traffic *t, struct backend *b)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->traffic = t;
	u->backend = b;
	return u;
}

/* Takes over a connection attempt that began with status rc. */
static struct upstream *connection_started(struct upstream *u, int rc)
{
	if (rc) {
		g_free(u);
		return NULL;
	}
	opened++;
	http_client_count(&u->http, &u->traffic->upstreams);
	backend_ref(u->backend);
	if (u->peer)
		tunnel_peer_ref(u->peer);
	mark_in_use(u);
	return u;
}

/* The body is bounded with each request, see responses_bound(). */
static const struct http_limits response_limits = {HEAD_MAX, HEAD_MAX};

/* Connects to the server itself. Returns 0 or a negative errno. */
static int open_direct(struct upstream *u)
{
	return http_client_open(&u->http, u->traffic->loop,
				&u->backend->entry.addr, CONNECT_TIMEOUT_S,
				response_limits, &client_ops, u);
}

/* Connects through the peer, with a request for a tunnel. Likewise. */
static int open_through_peer(struct upstream *u, struct lstr head)
{
	return http_client_open_tunnel(&u->http, u->traffic->loop,
				       &u->peer->addr, head, TUNNEL_TIMEOUT_S,
				       response_limits, &client_ops, u);
}

/*
 * upstream_open_direct() opens a new direct connection to b. Returns NULL if no
 * socket can be opened.
 */
struct upstream *upstream_open_direct(struct traffic *t, struct backend *b)
{
	struct upstream *u;
	int rc;

	if (!clients_make_room(t))
		return NULL;
	u = new_upstream(t, b);
	rc = open_direct(u);
	if (rc && clients_retry_open(t, rc))
		rc = open_direct(u);
	return connection_started(u, rc);
}

/* Opens a new connection to b through a tunnel of the peer. */
static struct upstream *open_tunneled(struct traffic *t, struct backend *b,
				      struct tunnel_peer *peer)
{
	struct buf head = {0};
	struct upstream *u;
	int rc;

	if (!clients_make_room(t))
		return NULL;
	u = new_upstream(t, b);
	u->peer = peer;
	u->tunnel = (uint64_t)g_rand_int(t->rand) << 32 | g_rand_int(t->rand);
	tunnel_request_write(&head, &(struct tunnel_request){
					    .backend = lstr0(b->entry.id),
					    .from = lstr0(t->settings->name),
					    .id = u->tunnel,
					    .framed = true});
	rc = open_through_peer(u, buf_lstr(&head));
	if (rc && clients_retry_open(t, rc))
		rc = open_through_peer(u, buf_lstr(&head));
	buf_free(&head);
	t->counters.tunnels_opened += !rc;
	return connection_started(u, rc);
}

/* Opens a new connection to b, directly or through a peer. */
static struct upstream *open_connection(struct traffic *t, struct backend *b)
{
	int64_t now_ms = clock_ms();
	struct tunnel_peer *peer;

	if (!t->settings->tunnels || !path_use_tunnel(b, now_ms))
		return upstream_open_direct(t, b);
	peer = tunnel_peers_pick(&t->tunnel_peers, b->service, TUNNEL_NEAR,
				 t->rand, now_ms);
	if (peer)
		return open_tunneled(t, b, peer);
	path_tunnel_failed(b->service, now_ms);
	return upstream_open_direct(t, b);
}

/*
 * Returns whether an idle connection may be used: not a tunnel once the server
 * is reached directly again, nor an old direct connection while these hang.
 */
static bool is_usable(const struct upstream *u, int64_t idle_since_ms)
{
	const struct backend *b = u->backend;

	if (u->last_used_ms < idle_since_ms)
		return false;
	if (u->peer)
		return u->peer->listed && path_is_broken(b);
	return !reach_is_hung(&b->service->reach);
}

/*
 * Returns a connection to b, held by the caller: the most recently used idle
 * one if it was used since idle_since_ms, else a new one. Returns NULL if no
 * socket can be opened.
 */
struct upstream *upstream_get(struct traffic *t, struct backend *b,
			      int64_t idle_since_ms)
{
	struct upstream *u = b->idle_conns;

	while (u && !is_usable(u, idle_since_ms))
		u = u->next;
	if (!u)
		return open_connection(t, b);
	unlink_upstream(u);
	mark_in_use(u);
	return u;
}

/* Sends a request; the outcome is reported through ops. */
void upstream_exchange(struct upstream *u, const struct upstream_request *q,
		       const struct upstream_ops *ops, void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->is_probe = false;
	u->kind = q->kind;
	u->sent_ms = clock_ms();
	responses_bound(u->traffic, u, false);
	http_client_send_body(&u->http, q->head, q->body, q->timeout_s,
			      q->head_request);
}

/* Sends a health and load probe; the outcome is reported through ops. */
void upstream_probe(struct upstream *u, struct lstr bytes, double timeout_s,
		    const struct upstream_ops *ops, void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->is_probe = true;
	u->kind = SEND_COMMITTED;
	u->sent_ms = clock_ms();
	responses_bound(u->traffic, u, true);
	http_client_send(&u->http, bytes, timeout_s, false);
}

/* Closes the longest unused connections to b beyond what it can use at once. */
static void trim_idle(struct backend *b)
{
	unsigned max = b->entry.slots + SPARE_IDLE, n = 0;
	struct upstream *u = b->idle_conns, *next;

	for (; u; u = next) {
		next = u->next;
		if (++n > max)
			upstream_drop(u);
	}
}

/* Returns a connection to the pool, or closes it if it can't be reused. */
void upstream_put(struct upstream *u, int64_t now_ms)
{
	if (!u->http.reusable || u->backend->gone ||
	    (u->peer && !u->peer->listed) || u->http.state != CLIENT_IDLE) {
		upstream_drop(u);
		return;
	}
	unlink_upstream(u);
	u->ops = NULL;
	u->owner = NULL;
	u->last_used_ms = now_ms;
	u->idle = true;
	u->next = u->backend->idle_conns;
	u->backend->idle_conns = u;
	trim_idle(u->backend);
}

static enum http_match ignore_response(void *owner,
				       const struct response_info *info)
{
	return HTTP_UNMATCHED;
}

static void ignore_failure(void *owner, int err, bool sent)
{
}

static const struct upstream_ops detached_ops = {ignore_response, NULL,
						 ignore_failure};

/*
 * Gives up a held or idle connection. The server cancels the request it works
 * on; a response it sent before is still read for its feedback.
 */
void upstream_drop(struct upstream *u)
{
	if (http_client_linger(&u->http, LINGER_S)) {
		u->ops = &detached_ops;
		u->owner = NULL;
		return;
	}
	http_client_close(&u->http);
	free_upstream(u);
}

/*
 * upstream_drop_oldest() closes the longest unused idle connection to any server.
 * Returns false if there is none.
 */
bool upstream_drop_oldest(struct traffic *t)
{
	struct upstream *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		for (struct upstream *u = b->idle_conns; u; u = u->next) {
			if (!oldest || u->last_used_ms < oldest->last_used_ms)
				oldest = u;
		}
	}
	if (oldest)
		upstream_drop(oldest);
	return oldest != NULL;
}

/* Closes all idle connections to b. */
void upstream_drop_idle(struct backend *b)
{
	for (struct upstream *u = b->idle_conns, *next; u; u = next) {
		next = u->next;
		upstream_drop(u);
	}
}

/*
 * Closes idle tunnels to b that aren't needed any more, or whose peer isn't
 * listed any more: it waits for them before it exits.
 */
void upstream_drop_unlisted(struct backend *b)
{
	for (struct upstream *u = b->idle_conns, *next; u; u = next) {
		next = u->next;
		if (u->peer && (!u->peer->listed || !path_is_broken(b)))
			upstream_drop(u);
	}
}

/*
 * Closes all connections to b, whose process has ended. Their requests are
 * lost, and the owners are notified without waiting for a timeout.
 */
void upstream_fail_all(struct backend *b)
{
	struct upstream *u;

	backend_ref(b);
	upstream_drop_idle(b);
	while ((u = b->busy_conns)) {
		bool sent = u->http.sent;

		b->busy_conns = u->next;
		http_client_close(&u->http);
		on_failed(u, -ECONNRESET, sent);
	}
	backend_unref(b);
}
