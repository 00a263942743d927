#include <errno.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/mechanisms.h"
#include "member/tunnel_request.h"
#include "misc/clock.h"
#include "platform/exchange.h"
#include "traffic/clients.h"
#include "traffic/crash_check.h"
#include "traffic/feedback.h"
#include "traffic/probe.h"

/*
 * If the process has ended, connections are refused within a round trip; if it
 * lives, it responds to the probe within another one. Slower results are
 * inconclusive.
 */
static const double CONNECT_TIMEOUT_S = 0.1;
static const double RESPONSE_TIMEOUT_S = 0.1;

/* To a peer, and from there to the server. */
static const double TUNNEL_TIMEOUT_S = 0.2;

enum {
	HEAD_MAX = 16 * 1024, /* bytes of a response */
	BODY_MAX = 64 * 1024,
	/*
	 * If a proxy accepts connections for an ended server, or its machine
	 * does not respond, the probe is repeated after 0.1 s, 0.2 s and so on,
	 * for 3 s in total, until the server is back or off the list.
	 */
	RETRY_MS = 100,
	PROBES_MAX = 6,
	/* Peers that reach none of the service's servers either. */
	PEERS_REFUSED_NEEDED = 2,
};

/*
 * A check of one server, shared by all requests whose connections to it break
 * meanwhile.
 */
struct crash_check {
	struct traffic *traffic;
	struct backend *backend;
	struct http_client http;
	ev_timer retry_timer;
	unsigned probes;
	bool refused;		  /* a direct connection was */
	unsigned peers_refused;	  /* tunnels, as the service refuses */
	struct tunnel_peer *peer; /* asked by the current probe; NULL: none */
	GArray *digests;	  /* uint64_t */
	int64_t since_ms;
};

/* Passes a notice to the control thread, which sends it to peers. */
static void send_notice(struct traffic *t, enum crash_notice_kind kind,
			uint64_t digest, uint32_t detail)
{
	struct crash_notice *notice = g_new(struct crash_notice, 1);

	*notice = (struct crash_notice){kind, digest, detail, 0};
	/* If the queue is full it is lost, as a datagram may be. */
	if (mailbox_send(t->control_inbox, FROM_TRAFFIC_CRASH, notice))
		g_free(notice);
}

/*
 * Reports that a server ended during a request, unless the request was answered
 * recently.
 */
static void report_crash(struct traffic *t, const struct backend *b,
			 uint64_t digest)
{
	if (!quarantine_take_answer(&t->quarantine, digest))
		send_notice(t, CRASH_NOTICE_CRASHED, digest,
			    backend_start_hash(&b->entry));
}

static void log_end(const struct backend *b, unsigned requests,
		    const char *outcome, const char *why, int64_t ms)
{
	mp_event(EV_BACKEND_CRASH_CHECKED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s outcome=%s why=%s requests=%u "
		 "ms=%" G_GINT64_FORMAT,
		 b->entry.id, b->service->name, outcome, why, requests, ms);
}

/* Sets the peer that tunnels the current probe. */
static void set_peer(struct crash_check *c, struct tunnel_peer *peer)
{
	if (peer)
		tunnel_peer_ref(peer);
	if (c->peer)
		tunnel_peer_unref(c->peer);
	c->peer = peer;
}

/* Ends the check with its result and frees it. */
static void finish(struct crash_check *c, bool ended, const char *outcome,
		   const char *why)
{
	struct traffic *t = c->traffic;
	struct backend *b = c->backend;

	ev_timer_stop(t->loop, &c->retry_timer);
	http_client_close(&c->http);
	set_peer(c, NULL);
	b->process_ended = b->process_ended || ended;
	log_end(b, c->digests->len, outcome, why, clock_ms() - c->since_ms);
	t->counters.process_ends += ended;
	for (guint i = 0; ended && i < c->digests->len; i++)
		report_crash(t, b, g_array_index(c->digests, uint64_t, i));
	b->crash_check = NULL;
	g_array_unref(c->digests);
	backend_unref(b);
	g_free(c);
}

/* Probes are requests too, so a server that backs off must not get any. */
static bool is_backing_off(const struct backend *b)
{
	return backend_is_backing_off(b, clock_ms());
}

/*
 * Handles an inconclusive probe: retries, or gives up. A server that has
 * meanwhile left the list, after a broken connection and no response since, has
 * ended.
 */
static void retry_or_give_up(struct crash_check *c, const char *why)
{
	http_client_close(&c->http);
	if (c->backend->gone) {
		finish(c, true, "ended", "off the list");
		return;
	}
	if (c->probes >= PROBES_MAX || is_backing_off(c->backend)) {
		finish(c, false, "unknown", why);
		return;
	}
	ev_timer_set(&c->retry_timer, (RETRY_MS << (c->probes - 1)) / 1000.0,
		     0);
	ev_timer_start(c->traffic->loop, &c->retry_timer);
}

static enum http_match classify_response(void *priv,
					 const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* Compares the server that the response names with the one that was probed. */
static void on_response(void *priv, struct http_message *m)
{
	struct crash_check *c = priv;
	struct response_info info;
	bool named, same;

	exchange_read_response(m, &info);
	named = info.backend_id.ptr != NULL;
	same = named && lstr_eq(info.backend_id, lstr0(c->backend->entry.id));
	feedback_apply(c->traffic, c->backend,
		       &(struct feedback){.info = info});
	http_message_free(m);
	if (same)
		finish(c, false, "lives", "answered");
	else if (named)
		finish(c, true, "ended", "another start answers");
	else
		retry_or_give_up(c, "an answer without a name");
}

/* Returns whether other instances can be asked if they reach the server. */
static bool has_peers(const struct crash_check *c)
{
	const struct traffic *t = c->traffic;

	return t->settings->tunnels && mechanisms.tunnel &&
	       t->tunnel_peers.list->len > 0;
}

/* Handles a failed probe through a peer. */
static void on_peer_failed(struct crash_check *c, int err)
{
	unsigned status = c->http.tunnel_status;

	c->peers_refused += status == TUNNEL_SERVICE_REFUSES;
	if (status == TUNNEL_SERVER_REFUSES ||
	    c->peers_refused >= PEERS_REFUSED_NEEDED) {
		finish(c, true, "ended", "refused from peers too");
		return;
	}
	if (!c->http.connected)
		tunnel_peer_failed(c->peer, c->backend->service, clock_ms());
	retry_or_give_up(c, g_strerror(-err));
}

/*
 * Of all failures only a refused connection proves that the process has ended,
 * and only if it is refused from another instance too, as this one's links may
 * have failed. A single instance has only its own word.
 */
static void on_failed(void *priv, int err, bool sent)
{
	struct crash_check *c = priv;

	if (c->peer) {
		on_peer_failed(c, err);
		return;
	}
	if (err == -ECONNREFUSED && !has_peers(c)) {
		finish(c, true, "ended", g_strerror(-err));
		return;
	}
	c->refused = c->refused || err == -ECONNREFUSED;
	retry_or_give_up(c, g_strerror(-err));
}

static bool may_send(void *priv)
{
	const struct crash_check *c = priv;

	return !is_backing_off(c->backend);
}

static const struct http_client_ops ops = {.match = classify_response,
					   .response = on_response,
					   .failed = on_failed,
					   .may_send = may_send};

/* Connects for the next probe: by a peer once a direct one was refused. */
static int open_connection(struct crash_check *c)
{
	static const struct http_limits limits = {.head_max = HEAD_MAX,
						  .body_max = BODY_MAX};
	struct traffic *t = c->traffic;
	struct tunnel_request request = {.backend = lstr0(c->backend->entry.id),
					 .from = lstr0(t->settings->name),
					 .id = g_rand_int(t->rand)};
	struct buf head = {0};
	int rc;

	set_peer(c, NULL);
	if (!c->refused || !has_peers(c))
		return http_client_open(&c->http, t->loop,
					&c->backend->entry.addr,
					CONNECT_TIMEOUT_S, limits, &ops, c);
	set_peer(c, tunnel_peers_pick(&t->tunnel_peers, c->backend->service,
				      TUNNEL_FAR, t->rand, clock_ms()));
	if (!c->peer)
		return -EHOSTUNREACH;
	tunnel_request_write(&head, &request);
	rc = http_client_open_tunnel(&c->http, t->loop, &c->peer->addr,
				     buf_lstr(&head), TUNNEL_TIMEOUT_S, limits,
				     &ops, c);
	buf_free(&head);
	return rc;
}

/* Sends a probe on a new connection. Returns 0 or a negative errno. */
static int send_probe(struct crash_check *c)
{
	struct traffic *t = c->traffic;
	struct buf request = {0};
	int rc = clients_make_room(t) ? open_connection(c) : -EMFILE;

	c->probes++;
	if (rc)
		return rc;
	http_client_count(&c->http, &t->upstreams);
	exchange_write_probe(&request,
			     probe_health_path(t, c->backend->service),
			     c->backend, t->via);
	http_client_send(&c->http, buf_lstr(&request), RESPONSE_TIMEOUT_S,
			 false);
	buf_free(&request);
	t->counters.process_checks++;
	return 0;
}

/*
 * Returns whether a probe may be sent now; if so it is charged to the
 * probe budget.
 */
static bool take_probe_budget(struct traffic *t)
{
	return probe_budget_take(&t->probe_limiter, &t->probe_rate,
				 traffic_count_backends(t), 1, 1,
				 clock_ms()) == 1;
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct crash_check *c = timer->data;
	bool skip = c->backend->gone || is_backing_off(c->backend) ||
		    !take_probe_budget(c->traffic);
	int rc = skip ? -EBUSY : send_probe(c);

	if (rc)
		retry_or_give_up(c, g_strerror(-rc));
}

/*
 * Starts a check. Returns NULL if no probe is allowed now or no socket is
 * available.
 */
static struct crash_check *start_check(struct traffic *t, struct backend *b)
{
	struct crash_check *c;

	if (is_backing_off(b) || !take_probe_budget(t))
		return NULL;
	c = g_new0(struct crash_check, 1);
	c->traffic = t;
	c->backend = b;
	c->since_ms = clock_ms();
	ev_init(&c->retry_timer, on_retry);
	c->retry_timer.data = c;
	if (send_probe(c)) {
		g_free(c);
		return NULL;
	}
	backend_ref(b);
	c->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return c;
}

/*
 * Called when a connection to b broke during a request. The end of a server
 * that drains or is off the list is planned, so it is not checked.
 */
void crash_check_begin(struct traffic *t, struct backend *b, uint64_t digest)
{
	struct crash_check *c = b->crash_check;

	if (!mechanisms.quarantine || backend_is_draining(b))
		return;
	if (b->process_ended) {
		report_crash(t, b, digest);
		return;
	}
	if (b->gone)
		return;
	if (!c)
		c = b->crash_check = start_check(t, b);
	if (!c) {
		log_end(b, 1, "unknown", "it can't be asked", 0);
		return;
	}
	g_array_append_val(c->digests, digest);
}

/*
 * Called when a server has executed a request without crashing. If the request
 * is suspected, the other instances are notified.
 */
void crash_check_answered(struct traffic *t, uint64_t digest)
{
	quarantine_note_answer(&t->quarantine, digest);
	if (quarantine_kind(&t->quarantine, digest) != VERDICT_CLEAR)
		send_notice(t, CRASH_NOTICE_ANSWERED, digest, 0);
}
