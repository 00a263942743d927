#include <errno.h>
#include <string.h>

#include "misc/clock.h"
#include "traffic/feedback.h"
#include "traffic/upstream.h"

/*
 * A handshake takes about 1 ms for the round trip and 1 ms at the server; a
 * server that hasn't answered by then is down or unreachable.
 */
static const double CONNECT_TIMEOUT_S = 0.1;

/* How long a response to a cancelled request is still read. */
static const double LINGER_S = 1.0;

enum { HEAD_MAX = 64 * 1024, BODY_MAX = 64 << 20 }; /* of a response, bytes */

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
	backend_unref(u->backend);
	g_free(u);
}

/* Records a response as evidence that its server is reached. */
static void record_reached(struct upstream *u, int64_t now_ms)
{
	reach_record(u->backend, u->answered ? REACH_ANSWERED : REACH_OPENED, 0,
		     now_ms);
	u->answered = true;
}

/*
 * Records a failed connection if it is evidence of a failed link. A request
 * without a response isn't: the server may be slow, or the request to blame.
 */
static void record_unreached(struct upstream *u, int err, int64_t now_ms)
{
	bool unanswered_probe = u->is_probe && err == -ETIMEDOUT;

	if (err == -ECANCELED || u->idle)
		return;
	if (!u->http.connected || (u->is_probe && !u->answered))
		reach_record(u->backend, REACH_OPEN_FAILED, err, now_ms);
	else if (unanswered_probe)
		reach_record(u->backend, REACH_HUNG, err, now_ms);
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
	classify_response, on_response, on_failed, may_send, on_unsolicited};

static struct upstream *open_connection(struct traffic *t, struct backend *b)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = BODY_MAX};
	struct upstream *u = g_new0(struct upstream, 1);

	if (http_client_open(&u->http, t->loop, &b->entry.addr,
			     CONNECT_TIMEOUT_S, limits, &client_ops, u)) {
		g_free(u);
		return NULL;
	}
	opened++;
	u->traffic = t;
	u->backend = backend_ref(b);
	mark_in_use(u);
	return u;
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

	if (!u || u->last_used_ms < idle_since_ms)
		return open_connection(t, b);
	unlink_upstream(u);
	mark_in_use(u);
	return u;
}

static void exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		     bool head_request)
{
	u->sent_ms = clock_ms();
	http_client_send(&u->http, bytes, timeout_s, head_request);
}

/* Sends a request; the outcome is reported through ops. */
void upstream_exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		       bool head_request, enum send_kind kind,
		       const struct upstream_ops *ops, void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->is_probe = false;
	u->kind = kind;
	exchange(u, bytes, timeout_s, head_request);
}

/* Sends a health and load probe; the outcome is reported through ops. */
void upstream_probe(struct upstream *u, struct lstr bytes, double timeout_s,
		    const struct upstream_ops *ops, void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->is_probe = true;
	u->kind = SEND_COMMITTED;
	exchange(u, bytes, timeout_s, false);
}

/* Returns a connection to the pool, or closes it if it can't be reused. */
void upstream_put(struct upstream *u, int64_t now_ms)
{
	if (!u->http.reusable || u->backend->gone ||
	    u->http.state != CLIENT_IDLE) {
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

/* Closes all idle connections to b. */
void upstream_drop_idle(struct backend *b)
{
	for (struct upstream *u = b->idle_conns, *next; u; u = next) {
		next = u->next;
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
