#include <errno.h>

#include "common/event.h"
#include "core/mechanisms.h"
#include "misc/clock.h"
#include "platform/exchange.h"
#include "traffic/end_check.h"

/*
 * A process that has ended refuses at once, in a round trip; one that lives
 * answers the question in another one. Slower answers say nothing for sure.
 */
static const double CONNECT_TIMEOUT_S = 0.1;
static const double ANSWER_TIMEOUT_S = 0.1;

enum { HEAD_MAX = 16 * 1024, BODY_MAX = 64 * 1024 }; /* bytes of an answer */

/* The question to one server, for all requests that broke there meanwhile. */
struct end_check {
	struct traffic *traffic;
	struct backend *backend;
	struct http_client http;
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
	mp_event(EV_BACKEND_ENDED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s outcome=%s why=%s requests=%u "
		 "ms=%" G_GINT64_FORMAT,
		 b->entry.id, b->service->name, outcome, why, requests, ms);
}

/* Ends the check; its connection is already closed. */
static void finish(struct end_check *c, bool ended, const char *outcome,
		   const char *why)
{
	struct traffic *t = c->traffic;
	struct backend *b = c->backend;

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

static enum http_verdict judge(void *priv, const struct http_message *m)
{
	return HTTP_TAKE;
}

static void on_response(void *priv, struct http_message *m)
{
	struct end_check *c = priv;
	struct answer_info info;
	bool named, same;

	exchange_read_answer(m, &info);
	named = info.backend.ptr != NULL;
	same = named && lstr_eq(info.backend, lstr0(c->backend->entry.id));
	http_message_free(m);
	http_client_close(&c->http);
	if (named && !same)
		finish(c, true, "ended", "another start answers");
	else
		finish(c, false, same ? "lives" : "unknown", "answered");
}

static void on_failed(void *priv, int err, bool sent)
{
	bool refused = err == -ECONNREFUSED;

	finish(priv, refused, refused ? "ended" : "unknown", g_strerror(-err));
}

static const struct http_client_ops ops = {judge, on_response, on_failed};

static struct end_check *begin(struct traffic *t, struct backend *b)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = BODY_MAX};
	const struct service_config *sc =
		t->config ? config_service(t->config, lstr0(b->service->name))
			  : NULL;
	struct end_check *c = g_new0(struct end_check, 1);
	struct buf question = {0};

	if (http_client_open(&c->http, t->loop, &b->entry.addr,
			     CONNECT_TIMEOUT_S, limits, &ops, c)) {
		g_free(c);
		return NULL;
	}
	c->traffic = t;
	c->backend = backend_ref(b);
	c->digests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	c->since_ms = clock_ms();
	exchange_write_probe(&question, sc ? sc->health_path : LSTR("/"), b);
	http_client_send(&c->http, buf_lstr(&question), ANSWER_TIMEOUT_S,
			 false);
	buf_free(&question);
	t->counters.end_checks++;
	return c;
}

/*
 * end_check_begin() is called when a connection to b broke while it had a
 * request. A server that drains or is off the list ends as planned.
 */
void end_check_begin(struct traffic *t, struct backend *b, uint64_t digest)
{
	struct end_check *c = b->check;

	if (!mechanisms.quarantine || b->entry.draining)
		return;
	if (b->ended) {
		note_end(t, b, digest);
		return;
	}
	if (b->gone)
		return;
	if (!c && ask_budget_take(&t->asks, &t->ask_rule, traffic_servers(t), 1,
				  1, clock_ms()))
		c = b->check = begin(t, b);
	if (!c) {
		log_end(b, 1, "unknown", "no question may be asked", 0);
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
