#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include <ck_pr.h>

#include "caller/native_api.h"
#include "common/event.h"
#include "core/mechanisms.h"
#include "core/policy.h"
#include "misc/clock.h"
#include "member/select_instances.h"
#include "platform/directory.h"
#include "traffic/clients.h"
#include "traffic/drain_gossip.h"
#include "traffic/inflight_report.h"
#include "traffic/limit_sends.h"
#include "traffic/limits.h"
#include "traffic/metrics.h"
#include "traffic/request.h"
#include "traffic/shortage_gossip.h"
#include "traffic/slow_starts.h"
#include "traffic/stop.h"
#include "traffic/path_check.h"
#include "traffic/traffic.h"
#include "traffic/tunnels.h"
#include "traffic/responses.h"
#include "traffic/uploads.h"
#include "traffic/upstream.h"
#include "traffic/workspace_metrics.h"

enum {
	/* Used until the first configuration sets the callers' limits. */
	DEFAULT_HEAD_MAX = 16 * 1024,
	DEFAULT_BODY_MAX = 64 << 20,
	/* Idempotency keys remembered, about 100 bytes each besides answers. */
	DEDUP_KEYS_MAX = 50 * 1000,
};

static const double DEFAULT_HEAD_TIMEOUT_S = 3;
static const double DEFAULT_IDLE_TIMEOUT_S = 15;

/* Time to receive a request head on the local service ports. */
static const double LOCAL_HEAD_TIMEOUT_S = 5;

/* Returns the statistics of a request class, created on first use. */
struct class_stats *traffic_class_stats(struct traffic *t, const char *service,
					uint32_t target_ms)
{
	char name[BACKEND_NAME_MAX + 16];
	struct class_stats *c;

	g_snprintf(name, sizeof(name), "%s/%u", service, target_ms);
	c = g_hash_table_lookup(t->classes, name);
	if (c)
		return c;
	c = g_new0(struct class_stats, 1);
	c->name = g_strdup(name);
	work_model_init(&c->work, target_ms);
	g_hash_table_insert(t->classes, c->name, c);
	return c;
}

/*
 * Returns the number of backend servers that requests may be routed to. Listed
 * servers whose service isn't in the configuration don't count.
 */
unsigned traffic_count_backends(struct traffic *t)
{
	unsigned n = 0;

	for (size_t i = 0; t->config && i < t->config->nservices; i++)
		n += backend_set_service(&t->backends,
					 t->config->services[i].name)
			     ->backends->len;
	return n;
}

static void reply_plain(struct http_conn *c, unsigned status,
			struct lstr headers, struct lstr body)
{
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = headers,
						.body = body});
}

/* Readiness check: configured, has backend servers and isn't stopping. */
static void on_ready(void *priv, struct http_conn *c, struct http_message *m)
{
	struct traffic *t = priv;
	bool ready = t->config && !t->stopping && traffic_count_backends(t) > 0;

	http_message_free(m);
	reply_plain(c, ready ? 200 : 503, LSTR(""), LSTR(""));
}

static void on_directory(void *priv, struct http_conn *c,
			 struct http_message *m)
{
	struct traffic *t = priv;
	const struct peer_endpoint *advised[DIRECTORY_MAX_ADDRESSES];
	struct lstr addrs[DIRECTORY_MAX_ADDRESSES];
	struct buf body = {0};
	char dc[PEER_NAME_MAX];
	bool valid = directory_parse_target(m->target, dc, sizeof(dc));
	size_t n = 0;

	http_message_free(m);
	if (!valid) {
		reply_plain(c, 404, LSTR(""), LSTR(""));
		return;
	}
	t->counters.directory_answers++;
	if (t->peers.named)
		n = select_instances((const struct peer_endpoint *)(void *)
					     t->peers.named->data,
				     t->peers.named->len, dc, t->rand, advised,
				     DIRECTORY_MAX_ADDRESSES);
	for (size_t i = 0; i < n; i++)
		addrs[i] = lstr0(advised[i]->caller_addr);
	directory_write_response(&body, addrs, n, t->bounds.directory_keep_s);
	reply_plain(c, 200, LSTR("Content-Type: application/msgpack\r\n"),
		    buf_lstr(&body));
	buf_free(&body);
}

static void on_metrics(void *priv, struct http_conn *c, struct http_message *m)
{
	struct buf body = {0};

	http_message_free(m);
	metrics_write(&body, priv);
	reply_plain(c, 200, LSTR("Content-Type: text/plain\r\n"),
		    buf_lstr(&body));
	buf_free(&body);
}

static const struct http_server_ops front_ops = {request_receive,
						 request_caller_left};
static const struct http_server_ops ready_ops = {on_ready, NULL};
static const struct http_server_ops directory_ops = {on_directory, NULL};
static const struct http_server_ops own_ops = {native_api_request,
					       request_caller_left};
static const struct http_server_ops metrics_ops = {on_metrics, NULL};

/*
 * Closes connections to a removed server: all of them if its process has ended,
 * else the idle ones.
 */
static void on_backend_gone(void *priv, struct backend *b, bool ended)
{
	if (ended)
		upstream_fail_all(b);
	else
		upstream_drop_idle(b);
}

/* Applies the caller-facing limits of the configuration. */
static void apply_caller_limits(struct traffic *t,
				const struct config_limits *l)
{
	if (l->head_max)
		t->caller_server.limits.head_max = l->head_max;
	if (l->body_max)
		t->caller_server.limits.body_max = l->body_max;
	if (l->head_timeout_ms)
		t->caller_server.head_timeout_s = l->head_timeout_ms / 1000.0;
	if (l->idle_timeout_ms)
		t->caller_server.idle_timeout_s = l->idle_timeout_ms / 1000.0;
}

static void apply_policies(struct traffic *t)
{
	for (size_t i = 0; i < t->config->nservices; i++) {
		const struct service_config *sc = &t->config->services[i];
		struct service *s = backend_set_service(&t->backends, sc->name);

		s->policy = sc->policy ? sc->policy : place_policies;
	}
}

static void apply_drained(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		b->excluded = config_drains(t->config, b->entry.id);
	}
}

static void apply_config(struct traffic *t, struct config *c)
{
	mp_invariant(!t->config || c->version >= t->config->version,
		     "configuration version went back from %" G_GUINT64_FORMAT
		     " to %" G_GUINT64_FORMAT,
		     t->config->version, c->version);
	config_unref(t->config);
	t->config = c;
	apply_caller_limits(t, &c->limits);
	apply_policies(t);
	apply_drained(t);
	slow_starts_configure(t);
	quotas_configure(t);
	workspace_metrics_configured(t);
}

/* Updates whether a server's data centre is evacuated. */
static void apply_evacuation(struct traffic *t, struct backend *b)
{
	bool was_evacuated = b->evacuated;

	b->evacuated = evacuations_contains(&t->evacuations, b->entry.dc);
	if (was_evacuated && !b->evacuated)
		slow_starts_restored(t, b);
}

static void apply_evacuations(struct traffic *t, const struct evacuations *e)
{
	GHashTableIter it;
	gpointer v;

	t->evacuations = *e;
	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v))
		apply_evacuation(t, v);
}

/* Applies an entry of the list of backend servers. */
static void put_backend(struct traffic *t, struct backend_entry *e)
{
	struct backend *b;

	if (t->settings->server_host)
		inet_pton(AF_INET, t->settings->server_host, &e->addr.sin_addr);
	backend_set_put(&t->backends, e, clock_ms());
	b = g_hash_table_lookup(t->backends.by_id, e->id);
	limits_listed(t, b);
	slow_starts_listed(t, b);
	apply_evacuation(t, b);
}

static void apply_backend_change(struct traffic *t, struct backend_change *c)
{
	if (c->removed)
		backend_set_remove(&t->backends, c->entry.id);
	else
		put_backend(t, &c->entry);
	if (t->config && t->config->ndrained)
		apply_drained(t);
	g_free(c);
}

/* Applies the limits that all instances share. */
static void apply_bounds(struct traffic *t, const struct bounds *b)
{
	t->bounds = *b;
	t->budget_params.ratio = b->retry_ratio;
	t->budget_params.slack = b->retry_slack;
	t->budget_params.window_ms = (uint32_t)(b->retry_window_s * 1000);
	t->probe_rate.per_server_s = b->questions_per_s;
}

/*
 * Applies a new view of the peers. Shared limits are divided by the highest
 * instance count this lifetime has seen: a partitioned instance sees fewer
 * peers, but they are all still running.
 */
static void apply_peers(struct traffic *t, const struct peer_view *v)
{
	if (t->peers.named)
		g_array_unref(t->peers.named);
	if (t->peers.participants)
		g_array_unref(t->peers.participants);
	t->peers = *v;
	if (v->instances > t->max_instances)
		t->max_instances = v->instances;
	t->budget_params.instances = t->max_instances;
	t->probe_rate.instances = t->max_instances;
	path_check_peers_changed(t);
	limits_peers_changed(t);
	slow_starts_peers_changed(t);
	quotas_update(t);
	drain_gossip_peers_changed(t);
}

static void on_mail(void *priv, struct mailbox_msg *m)
{
	struct traffic *t = priv;

	switch ((enum to_traffic)m->kind) {
	case TO_TRAFFIC_CONFIG:
		apply_config(t, m->data);
		break;
	case TO_TRAFFIC_BACKEND:
		apply_backend_change(t, m->data);
		break;
	case TO_TRAFFIC_PEERS:
		apply_peers(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_LOAD:
		peer_loads_apply(&t->peer_loads, &t->backends, m->data,
				 clock_ms());
		g_free(m->data);
		break;
	case TO_TRAFFIC_LIMITS:
		limits_peer_update(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_DRAIN:
		drain_gossip_received(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_SHORTAGE:
		shortage_gossip_received(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_LIMIT_CALL:
		limit_sends_peer_message(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_QUOTA_ASK:
	case TO_TRAFFIC_QUOTA_ANSWER:
		quotas_peer_message(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_BOUNDS:
		apply_bounds(t, m->data);
		slow_starts_configure(t);
		quotas_update(t);
		g_free(m->data);
		break;
	case TO_TRAFFIC_EVACUATIONS:
		apply_evacuations(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_VERDICT:
		quarantine_set(&t->quarantine, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_STOP:
		stop_begin(t);
		break;
	}
}

static int open_server(struct traffic *t, struct http_server *s,
		       const char *addr, const struct http_server_ops *ops)
{
	int rc = http_server_open(s, t->loop, addr, ops, t);

	if (rc)
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "addr=%s err=%s", addr, g_strerror(-rc));
	return rc;
}

static int open_servers(struct traffic *t)
{
	const struct instance_settings *s = t->settings;
	struct http_server *local[] = {&t->readiness_server,
				       &t->directory_server, &t->metrics_server,
				       &t->own_server};
	int rc;

	t->caller_server.limits =
		(struct http_limits){DEFAULT_HEAD_MAX, DEFAULT_BODY_MAX};
	t->caller_server.head_timeout_s = DEFAULT_HEAD_TIMEOUT_S;
	t->caller_server.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
	for (size_t i = 0; i < G_N_ELEMENTS(local); i++) {
		local[i]->limits = (struct http_limits){DEFAULT_HEAD_MAX,
							DEFAULT_HEAD_MAX};
		local[i]->head_timeout_s = LOCAL_HEAD_TIMEOUT_S;
		local[i]->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
	}
	rc = open_server(t, &t->caller_server, s->callers, &front_ops);
	if (!rc)
		rc = open_server(t, &t->readiness_server, s->ready, &ready_ops);
	if (!rc)
		rc = open_server(t, &t->directory_server, s->directory,
				 &directory_ops);
	if (!rc)
		rc = open_server(t, &t->metrics_server, s->metrics,
				 &metrics_ops);
	if (!rc && s->own)
		rc = open_server(t, &t->own_server, s->own, &own_ops);
	if (!rc)
		rc = tunnels_open(t);
	return rc;
}

/*
 * Opens the listening sockets. Messages to the traffic thread go through
 * t->inbox. Returns 0 or a negative errno.
 */
int traffic_init(struct traffic *t, const struct instance_settings *s,
		 const struct deploy *deploy, const struct control_view *view,
		 struct mailbox *control)
{
	memset(t, 0, sizeof(*t));
	t->loop = ev_loop_new(EVFLAG_NOENV);
	t->settings = s;
	mechanisms = s->policy;
	t->deploy = deploy;
	t->control_inbox = control;
	t->control_view = view;
	t->rand = g_rand_new();
	t->lifetime = g_rand_int(t->rand);
	if (s->via)
		t->via = g_strdup_printf("%s-%08x", s->name, t->lifetime);
	t->started_ms = clock_ms();
	t->classes = g_hash_table_new(g_str_hash, g_str_equal);
	/* Not known yet: assume a large system. */
	t->probe_rate.instances = 64;
	t->budget_params.instances = 1;
	probe_budget_init(&t->probe_limiter, t->started_ms);
	apply_bounds(t, &s->bounds);
	path_check_init(t);
	inflight_report_init(t);
	limits_init(t);
	quotas_init(t);
	drain_gossip_init(t);
	shortage_gossip_init(t);
	dedup_init(&t->dedup, DEDUP_KEYS_MAX, kept_memory_limit(s->memory_mb));
	quarantine_init(&t->quarantine);
	clients_init(t);
	uploads_init(t);
	responses_init(t);
	backend_set_init(&t->backends, on_backend_gone, t);
	mailbox_init(&t->inbox, t->loop, on_mail, t);
	return open_servers(t);
}

/* Thread function; returns after a graceful shutdown. */
void *traffic_run(void *traffic)
{
	struct traffic *t = traffic;

	ev_run(t->loop, 0);
	mailbox_send(t->control_inbox, FROM_TRAFFIC_STOPPED, NULL);
	return NULL;
}
