#include <errno.h>
#include <string.h>

#include <ck_pr.h>

#include "caller/native_api.h"
#include "common/event.h"
#include "core/mechanisms.h"
#include "core/policy.h"
#include "misc/clock.h"
#include "member/advise.h"
#include "platform/directory.h"
#include "traffic/drain_news.h"
#include "traffic/limit_sends.h"
#include "traffic/limits.h"
#include "traffic/metrics.h"
#include "traffic/request.h"
#include "traffic/share.h"
#include "traffic/traffic.h"
#include "traffic/upstream.h"

enum {
	/* Until the first version names the callers' limits. */
	START_HEAD_MAX = 16 * 1024,
	START_BODY_MAX = 64 << 20,
	/*
	 * A stopping instance takes requests this long: callers keep an
	 * address for some seconds after they were told of another.
	 */
	STOP_ACCEPT_MS = 3000,
	STOP_CHECK_MS = 50,
	/* Keys of protected calls that are remembered; 100 bytes each. */
	DEDUP_KEYS_MAX = 50 * 1000,
	/* Left of the grace time for the exit itself. */
	STOP_RESERVE_MS = 400,
};

static const double START_HEAD_TIMEOUT_S = 3;
static const double START_IDLE_TIMEOUT_S = 15;

/* Time that a question to this instance's own services may take. */
static const double SERVICE_TIMEOUT_S = 5;

/* traffic_class() finds the statistics of a kind of request. */
struct class_stats *traffic_class(struct traffic *t, const char *service,
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
	learn_work_init(&c->work, target_ms);
	g_hash_table_insert(t->classes, c->name, c);
	return c;
}

/*
 * traffic_servers() counts the backend servers that requests may go to: an
 * entry of the list whose service no version names brings none.
 */
unsigned traffic_servers(struct traffic *t)
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

/* Ready: this instance can serve, and isn't stopping. */
static void on_ready(void *priv, struct http_conn *c, struct http_message *m)
{
	struct traffic *t = priv;
	bool ready = t->config && !t->stopping && traffic_servers(t) > 0;

	http_message_free(m);
	reply_plain(c, ready ? 200 : 503, LSTR(""), LSTR(""));
}

static void on_directory(void *priv, struct http_conn *c,
			 struct http_message *m)
{
	struct traffic *t = priv;
	const struct peer_brief *named[DIRECTORY_MAX];
	struct lstr addrs[DIRECTORY_MAX];
	struct buf body = {0};
	char dc[PEER_NAME_MAX];
	bool question = directory_question(m->target, dc, sizeof(dc));
	size_t n = 0;

	http_message_free(m);
	if (!question) {
		reply_plain(c, 404, LSTR(""), LSTR(""));
		return;
	}
	t->counters.directory++;
	if (t->peers.named)
		n = advise(
			(const struct peer_brief *)(void *)t->peers.named->data,
			t->peers.named->len, dc, t->rand, named, DIRECTORY_MAX);
	for (size_t i = 0; i < n; i++)
		addrs[i] = lstr0(named[i]->callers);
	directory_write(&body, addrs, n, t->bounds.directory_keep_s);
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

static const struct http_server_ops front_ops = {request_begin, request_gone};
static const struct http_server_ops ready_ops = {on_ready, NULL};
static const struct http_server_ops directory_ops = {on_directory, NULL};
static const struct http_server_ops own_ops = {native_api_request,
					       request_gone};
static const struct http_server_ops metrics_ops = {on_metrics, NULL};

static void on_backend_gone(void *priv, struct backend *b, bool ended)
{
	if (ended)
		upstream_fail_all(b);
	else
		upstream_drop_idle(b);
}

/* The callers' limits stand in the configuration. */
static void take_limits(struct traffic *t, const struct config_limits *l)
{
	if (l->head_max)
		t->front.limits.head_max = l->head_max;
	if (l->body_max)
		t->front.limits.body_max = l->body_max;
	if (l->head_timeout_ms)
		t->front.head_timeout_s = l->head_timeout_ms / 1000.0;
	if (l->idle_timeout_ms)
		t->front.idle_timeout_s = l->idle_timeout_ms / 1000.0;
}

static void take_policies(struct traffic *t)
{
	for (size_t i = 0; i < t->config->nservices; i++) {
		const struct service_config *sc = &t->config->services[i];
		struct service *s = backend_set_service(&t->backends, sc->name);

		s->policy = sc->policy ? sc->policy : place_policies;
	}
}

static void take_drained(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		b->drained = config_drains(t->config, b->entry.id);
	}
}

static void take_config(struct traffic *t, struct config *c)
{
	mp_invariant(!t->config || c->version >= t->config->version,
		     "configuration went back from %" G_GUINT64_FORMAT
		     " to %" G_GUINT64_FORMAT,
		     t->config->version, c->version);
	config_unref(t->config);
	t->config = c;
	take_limits(t, &c->limits);
	take_policies(t);
	take_drained(t);
}

static void take_change(struct traffic *t, struct backend_change *c)
{
	if (c->removed) {
		backend_set_remove(&t->backends, c->entry.id);
	} else {
		backend_set_put(&t->backends, &c->entry, clock_ms());
		limits_listed(t, c->entry.id);
	}
	if (t->config && t->config->ndrained)
		take_drained(t);
	g_free(c);
}

static void on_stop_check(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	int64_t since = clock_ms() - t->stopping_ms;
	int64_t grace = (int64_t)(t->bounds.grace_s * 1000);

	if (since < STOP_ACCEPT_MS && since < grace / 2)
		return;
	http_server_stop_listening(&t->front);
	http_server_stop_listening(&t->own);
	http_server_close_idle(&t->front);
	http_server_close_idle(&t->own);
	if ((http_server_busy(&t->front) || http_server_busy(&t->own)) &&
	    since < grace - STOP_RESERVE_MS)
		return;
	mp_event(EV_STOPPED, G_LOG_LEVEL_MESSAGE, "open_requests=%u",
		 t->open_requests);
	ev_break(loop, EVBREAK_ALL);
}

static void begin_stop(struct traffic *t)
{
	t->stopping = true;
	t->stopping_ms = clock_ms();
	t->front.disable_keep_alive = true;
	t->own.disable_keep_alive = true;
	ev_timer_init(&t->stop_timer, on_stop_check, STOP_CHECK_MS / 1000.0,
		      STOP_CHECK_MS / 1000.0);
	t->stop_timer.data = t;
	ev_timer_start(t->loop, &t->stop_timer);
}

/* The allowances of all instances together. */
static void take_bounds(struct traffic *t, const struct bounds *b)
{
	t->bounds = *b;
	t->budget_rule.ratio = b->retry_ratio;
	t->budget_rule.slack = b->retry_slack;
	t->budget_rule.window_ms = (uint32_t)(b->retry_window_s * 1000);
	t->ask_rule.per_server_s = b->questions_per_s;
}

/*
 * The part of an instance in what all share is by the most that this lifetime
 * knew of at once: one that is cut off hears fewer, and they all live.
 */
static void take_peers(struct traffic *t, const struct peer_view *v)
{
	if (t->peers.named)
		g_array_unref(t->peers.named);
	if (t->peers.sharers)
		g_array_unref(t->peers.sharers);
	t->peers = *v;
	if (v->instances > t->most_instances)
		t->most_instances = v->instances;
	t->budget_rule.instances = t->most_instances;
	t->ask_rule.instances = t->most_instances;
	limits_peers_changed(t);
	drain_news_peers_changed(t);
}

static void receive(void *priv, struct mailbox_msg *m)
{
	struct traffic *t = priv;

	switch ((enum to_traffic)m->kind) {
	case TO_TRAFFIC_CONFIG:
		take_config(t, m->data);
		break;
	case TO_TRAFFIC_BACKEND:
		take_change(t, m->data);
		break;
	case TO_TRAFFIC_PEERS:
		take_peers(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_LOAD:
		peer_loads_apply(&t->peer_loads, &t->backends, m->data,
				 clock_ms());
		g_free(m->data);
		break;
	case TO_TRAFFIC_LIMITS:
		limits_told(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_DRAIN:
		drain_news_received(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_LIMIT_CALL:
		limit_sends_called(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_BOUNDS:
		take_bounds(t, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_VERDICT:
		quarantine_set(&t->quarantine, m->data);
		g_free(m->data);
		break;
	case TO_TRAFFIC_STOP:
		begin_stop(t);
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
	struct http_server *own[] = {&t->ready, &t->directory, &t->metrics,
				     &t->own};
	int rc;

	t->front.limits = (struct http_limits){START_HEAD_MAX, START_BODY_MAX};
	t->front.head_timeout_s = START_HEAD_TIMEOUT_S;
	t->front.idle_timeout_s = START_IDLE_TIMEOUT_S;
	for (size_t i = 0; i < G_N_ELEMENTS(own); i++) {
		own[i]->limits =
			(struct http_limits){START_HEAD_MAX, START_HEAD_MAX};
		own[i]->head_timeout_s = SERVICE_TIMEOUT_S;
		own[i]->idle_timeout_s = START_IDLE_TIMEOUT_S;
	}
	rc = open_server(t, &t->front, s->callers, &front_ops);
	if (!rc)
		rc = open_server(t, &t->ready, s->ready, &ready_ops);
	if (!rc)
		rc = open_server(t, &t->directory, s->directory,
				 &directory_ops);
	if (!rc)
		rc = open_server(t, &t->metrics, s->metrics, &metrics_ops);
	if (!rc && s->own)
		rc = open_server(t, &t->own, s->own, &own_ops);
	return rc;
}

/*
 * traffic_init() opens what the instance serves. Messages to the traffic
 * thread go through t->in. Returns 0 or a negative errno.
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
	t->control = control;
	t->control_view = view;
	t->rand = g_rand_new();
	t->lifetime = g_rand_int(t->rand);
	if (s->via)
		t->via = g_strdup_printf("%s-%08x", s->name, t->lifetime);
	t->started_ms = clock_ms();
	t->classes = g_hash_table_new(g_str_hash, g_str_equal);
	/* Unknown yet: as many as a large system has. */
	t->ask_rule.instances = 64;
	t->budget_rule.instances = 1;
	ask_budget_init(&t->asks, t->started_ms);
	take_bounds(t, &s->bounds);
	share_init(t);
	limits_init(t);
	drain_news_init(t);
	dedup_init(&t->dedup, DEDUP_KEYS_MAX);
	quarantine_init(&t->quarantine);
	backend_set_init(&t->backends, on_backend_gone, t);
	mailbox_init(&t->in, t->loop, receive, t);
	return open_servers(t);
}

/* traffic_run() is the traffic thread; it ends after a planned stop. */
void *traffic_run(void *traffic)
{
	struct traffic *t = traffic;

	ev_run(t->loop, 0);
	mailbox_send(t->control, FROM_TRAFFIC_STOPPED, NULL);
	return NULL;
}
