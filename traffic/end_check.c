#include <errno.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/mechanisms.h"
#include "misc/clock.h"
#include "platform/exchange.h"
#include "traffic/end_check.h"
#include "traffic/feedback.h"

/*
 * A process that has ended refuses at once, in a round trip; one that lives
 * answers the question in another one. Slower answers say nothing for sure.
 */
static const double CONNECT_TIMEOUT_S = 0.1;
static const double ANSWER_TIMEOUT_S = 0.1;

enum {
	HEAD_MAX = 16 * 1024, /* bytes of an answer */
	BODY_MAX = 64 * 1024,
	/*
	 * Where something between accepts connections for a server that has
	 * ended, or its machine is silent, it is asked again after 0.1 s, 0.2 s
	 * and so on, for 3 s in all: until it is back, or off the list.
	 */
	AGAIN_MS = 100,
	QUESTIONS_MAX = 6,
};

/* The question to one server, for all requests that broke there meanwhile. */
struct end_check {
	struct traffic *traffic;
	struct backend *backend;
	struct http_client http;
	ev_timer again;
	unsigned questions;
	GArray *digests; /* uint64_t */
	int64_t since_ms;
};

static void report(struct traffic *t, enum crash_news_kind kind,
		   uint64_t digest, uint32_t detail)
{
	struct crash_news *news = g_new(struct crash_news, 1);

	*news = (struct crash_news){kind, digest, detail};
	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_CRASH, news))
		g_free(news);
}

/* Holds an end against a request, unless that was answered lately. */
static void note_end(struct traffic *t, const struct backend *b,
		     uint64_t digest)
{
	if (!quarantine_forgives(&t->quarantine, digest))
		report(t, CRASH_NEWS_END, digest,
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

/* Ends the check. */
static void finish(struct end_check *c, bool ended, const char *outcome,
		   const char *why)
{
	struct traffic *t = c->traffic;
	struct backend *b = c->backend;

	ev_timer_stop(t->loop, &c->again);
	http_client_close(&c->http);
	b->ended = b->ended || ended;
	log_end(b, c->digests->len, outcome, why, clock_ms() - c->since_ms);
	t->counters.ends_seen += ended;
	for (guint i = 0; ended && i < c->digests->len; i++)
		note_end(t, b, g_array_index(c->digests, uint64_t, i));
	b->check = NULL;
	g_array_unref(c->digests);
	backend_unref(b);
	g_free(c);
}

/* Questions are requests to the server, too. */
static bool is_backing_off(const struct backend *b)
{
	return backend_is_backing_off(b, clock_ms());
}

/*
 * Nothing is known yet. A server that left the list meanwhile, with a broken
 * connection and no answer since, has ended.
 */
static void unsure(struct end_check *c, const char *why)
{
	http_client_close(&c->http);
	if (c->backend->gone) {
		finish(c, true, "ended", "off the list");
		return;
	}
	if (c->questions >= QUESTIONS_MAX || is_backing_off(c->backend)) {
		finish(c, false, "unknown", why);
		return;
	}
	ev_timer_set(&c->again, (AGAIN_MS << (c->questions - 1)) / 1000.0, 0);
	ev_timer_start(c->traffic->loop, &c->again);
}

static enum http_match judge(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

static void on_response(void *priv, struct http_message *m)
{
	struct end_check *c = priv;
	struct answer_info info;
	bool named, same;

	exchange_read_answer(m, &info);
	named = info.backend.ptr != NULL;
	same = named && lstr_eq(info.backend, lstr0(c->backend->entry.id));
	feedback_apply(c->traffic, c->backend,
		       &(struct feedback){.info = info});
	http_message_free(m);
	if (same)
		finish(c, false, "lives", "answered");
	else if (named)
		finish(c, true, "ended", "another start answers");
	else
		unsure(c, "an answer without a name");
}

static void on_failed(void *priv, int err, bool sent)
{
	if (err == -ECONNREFUSED)
		finish(priv, true, "ended", g_strerror(-err));
	else
		unsure(priv, g_strerror(-err));
}

static bool may_send(void *priv)
{
	const struct end_check *c = priv;

	return !is_backing_off(c->backend);
}

static const struct http_client_ops ops = {.match = judge,
					   .response = on_response,
					   .failed = on_failed,
					   .may_send = may_send};

/* Asks on a new connection. Returns 0 or a negative errno. */
static int ask(struct end_check *c)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = BODY_MAX};
	struct traffic *t = c->traffic;
	const struct service_config *sc =
		t->config ? config_service(t->config,
					   lstr0(c->backend->service->name))
			  : NULL;
	struct buf question = {0};
	int rc = http_client_open(&c->http, t->loop, &c->backend->entry.addr,
				  CONNECT_TIMEOUT_S, limits, &ops, c);

	c->questions++;
	if (rc)
		return rc;
	exchange_write_probe(&question, sc ? sc->health_path : LSTR("/"),
			     c->backend, t->via);
	http_client_send(&c->http, buf_lstr(&question), ANSWER_TIMEOUT_S,
			 false);
	buf_free(&question);
	t->counters.end_checks++;
	return 0;
}

static bool may_ask(struct traffic *t)
{
	return ask_budget_take(&t->asks, &t->ask_rule, traffic_servers(t), 1, 1,
			       clock_ms()) == 1;
}

static void on_again(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct end_check *c = timer->data;
	bool skip = c->backend->gone || is_backing_off(c->backend) ||
		    !may_ask(c->traffic);
	int rc = skip ? -EBUSY : ask(c);

	if (rc)
		unsure(c, g_strerror(-rc));
}

/* Begins a check; NULL: nothing may be asked, or no socket is to be had. */
static struct end_check *begin(struct traffic *t, struct backend *b)
{
	struct end_check *c;

	if (is_backing_off(b) || !may_ask(t))
		return NULL;
	c = g_new0(struct end_check, 1);
	c->traffic = t;
	c->backend = b;
	c->since_ms = clock_ms();
	ev_init(&c->again, on_again);
	c->again.data = c;
	if (ask(c)) {
		g_free(c);
		return NULL;
	}
	backend_ref(b);
	c->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return c;
}

/*
 * end_check_begin() is called when a connection to b broke while it had a
 * request. A server that drains or is off the list ends as planned.
 */
void end_check_begin(struct traffic *t, struct backend *b, uint64_t digest)
{
	struct end_check *c = b->check;

	if (!mechanisms.quarantine || backend_is_draining(b))
		return;
	if (b->ended) {
		note_end(t, b, digest);
		return;
	}
	if (b->gone)
		return;
	if (!c)
		c = b->check = begin(t, b);
	if (!c) {
		log_end(b, 1, "unknown", "it can't be asked", 0);
		return;
	}
	g_array_append_val(c->digests, digest);
}

/*
 * end_check_answered() takes in that a server has run a request and lives: if
 * something is held against it the others hear of it.
 */
void end_check_answered(struct traffic *t, uint64_t digest)
{
	quarantine_note_answer(&t->quarantine, digest);
	if (quarantine_kind(&t->quarantine, digest) != VERDICT_CLEAR)
		report(t, CRASH_NEWS_ANSWERED, digest, 0);
}
