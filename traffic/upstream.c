#include <errno.h>
#include <string.h>

#include "core/availability.h"
#include "misc/clock.h"
#include "traffic/feedback.h"
#include "traffic/upstream.h"

/*
 * A handshake takes a round trip of about 1 ms and 1 ms of the server; a
 * server that hasn't answered by now is down or cut off.
 */
static const double CONNECT_TIMEOUT_S = 0.1;

/* A response may still be on its way after its request was given up. */
static const double LINGER_S = 1.0;

enum { HEAD_MAX = 64 * 1024, BODY_MAX = 64 << 20 }; /* bytes of an answer */

static unsigned opened; /* connections so far, for the metrics */

/* upstream_opened() counts the connections begun since the start. */
unsigned upstream_opened(void)
{
	return opened;
}

/* Takes u out of its server's list, of idle ones or those in use. */
static void unlink_upstream(struct upstream *u)
{
	void **list = u->idle ? &u->backend->conns : &u->backend->in_use;
	struct upstream **p = (struct upstream **)list;

	while (*p && *p != u)
		p = &(*p)->next;
	if (*p)
		*p = u->next;
}

static void use(struct upstream *u)
{
	u->idle = false;
	u->next = u->backend->in_use;
	u->backend->in_use = u;
}

static void release(struct upstream *u)
{
	unlink_upstream(u);
	backend_unref(u->backend);
	g_free(u);
}

/* Feedback counts also if the owner skips the response. */
static enum http_match judge(void *priv, const struct http_message *m)
{
	struct upstream *u = priv;
	struct feedback answer = {.sent_ms = u->sent_ms,
				  .question = u->question};
	enum http_match verdict;

	exchange_read_answer(m, &answer.info);
	verdict = u->ops->judge(u->owner, &answer.info);
	answer.awaited = verdict == HTTP_MATCHED;
	feedback_apply(u->traffic, u->backend, &answer);
	return verdict;
}

static void on_response(void *priv, struct http_message *m)
{
	struct upstream *u = priv;
	struct answer_info info;

	exchange_read_answer(m, &info);
	u->ops->response(u->owner, m, &info);
}

static void on_unsolicited(void *priv, const struct http_message *m)
{
	struct upstream *u = priv;
	struct feedback answer = {.awaited = false};

	exchange_read_answer(m, &answer.info);
	feedback_apply(u->traffic, u->backend, &answer);
}

static bool may_send(void *priv)
{
	const struct upstream *u = priv;

	return backend_takes(u->backend, SEND_COMMITTED, clock_ms());
}

/* The connection ended; the owner must not use it any more. */
static void on_failed(void *priv, int err, bool sent)
{
	struct upstream *u = priv;
	const struct upstream_ops *ops = u->idle ? NULL : u->ops;
	void *owner = u->owner;

	release(u);
	if (ops)
		ops->failed(owner, err, sent);
}

static const struct http_client_ops client_ops = {judge, on_response, on_failed,
						  may_send, on_unsolicited};

static struct upstream *open_new(struct traffic *t, struct backend *b)
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
	use(u);
	return u;
}

/*
 * upstream_get() holds a connection to b for the caller: an idle one used
 * since idle_since_ms, the last used first, or a new one. Returns NULL when
 * no socket can be had.
 */
struct upstream *upstream_get(struct traffic *t, struct backend *b,
			      int64_t idle_since_ms)
{
	struct upstream *u = b->conns;

	if (!u || u->used_ms < idle_since_ms)
		return open_new(t, b);
	unlink_upstream(u);
	use(u);
	return u;
}

static void exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		     bool head_request)
{
	u->sent_ms = clock_ms();
	http_client_send(&u->http, bytes, timeout_s, head_request);
}

/* upstream_exchange() sends a request; the owner hears through ops. */
void upstream_exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		       bool head_request, const struct upstream_ops *ops,
		       void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->question = false;
	exchange(u, bytes, timeout_s, head_request);
}

/* upstream_ask() sends a question for health and load. */
void upstream_ask(struct upstream *u, struct lstr bytes, double timeout_s,
		  const struct upstream_ops *ops, void *owner)
{
	u->ops = ops;
	u->owner = owner;
	u->question = true;
	exchange(u, bytes, timeout_s, false);
}

/* upstream_put() gives a connection back, to be kept if it is sound. */
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
	u->used_ms = now_ms;
	u->idle = true;
	u->next = u->backend->conns;
	u->backend->conns = u;
}

static enum http_match detached_judge(void *owner,
				      const struct answer_info *info)
{
	return HTTP_UNMATCHED;
}

static void detached_failed(void *owner, int err, bool sent)
{
}

static const struct upstream_ops detached_ops = {detached_judge, NULL,
						 detached_failed};

/*
 * upstream_drop() gives a connection up. A backend server drops the request that it
 * works on for it; what it has answered before it sees that is still read for what it
 * says of the server.
 */
void upstream_drop(struct upstream *u)
{
	if (http_client_linger(&u->http, LINGER_S)) {
		u->ops = &detached_ops;
		u->owner = NULL;
		return;
	}
	http_client_close(&u->http);
	release(u);
}

/* upstream_drop_idle() closes the idle connections to b. */
void upstream_drop_idle(struct backend *b)
{
	for (struct upstream *u = b->conns, *next; u; u = next) {
		next = u->next;
		upstream_drop(u);
	}
}

/*
 * upstream_fail_all() closes all connections to b, whose process has ended:
 * what it had is lost, and its owners hear so without waiting for a timeout.
 */
void upstream_fail_all(struct backend *b)
{
	struct upstream *u;

	backend_ref(b);
	upstream_drop_idle(b);
	while ((u = b->in_use)) {
		bool sent = u->http.sent;

		b->in_use = u->next;
		http_client_close(&u->http);
		on_failed(u, -ECONNRESET, sent);
	}
	backend_unref(b);
}
