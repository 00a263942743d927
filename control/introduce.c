#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/introduce.h"
#include "misc/clock.h"

enum {
	ASK_EVERY_MS = 300, /* another peer each time */
	SNAPSHOT_MAX = 16 << 20,
	HEAD_MAX = 4096,
	/*
	 * A larger record is left to the store: the first instance is asked
	 * by all others at once, and on a link of 10 Mbit/s 132 answers of
	 * this size take 0.9 s of the 2 s in which a version must be in
	 * force. Twenty routes take 4 KB.
	 */
	CONFIG_MAX = 8 * 1024,
	/*
	 * Snapshots at once. More don't come sooner: eight of 30 KB take 0.2 s
	 * on a link of 10 Mbit/s; the others ask elsewhere.
	 */
	ANSWERS_MAX = 8,
};

static const double ASK_TIMEOUT_S = 0.5;
static const double SERVER_TIMEOUT_S = 5;

/* All that is known; without a large configuration; a small one only. */
#define WHOLE_PATH    LSTR("/snapshot/whole")
#define SNAPSHOT_PATH LSTR("/snapshot")
#define CONFIG_PATH   LSTR("/config")
/* A version of any size, which the store may have lost. */
#define CONFIG_WHOLE_PATH LSTR("/config/whole")

/* Writes what this instance knows of the configuration, the list, or both. */
static void write_own(const struct introduce *in, bool config, bool backends,
		      struct buf *body)
{
	struct snapshot s;
	int64_t now_ms = clock_ms();

	snapshot_init(&s);
	s.has_config = config;
	s.config_pos = in->config->pos;
	s.config_age_ms = in->peers->self.config.age_ms;
	if (config)
		buf_add_lstr(&s.config, buf_lstr(&in->config->record));
	if (backends) {
		s.backends_pos = in->backends->list.pos;
		s.backends_age_ms =
			backend_watch_is_current(in->backends)
				? (uint32_t)(now_ms -
					     in->backends->list.fresh_ms)
				: AGE_UNKNOWN;
		backend_list_export(&in->backends->list, s.backends);
	}
	snapshot_write(&s, body);
	snapshot_clear(&s);
}

/* Answers with a status, and with a body if that is 200. */
static unsigned answer(const struct introduce *in, struct lstr path,
		       struct buf *body)
{
	bool small = in->config->record.len <= CONFIG_MAX;
	bool version = lstr_eq(path, CONFIG_PATH);

	/* A version is small, and all ask for it at the same moment. */
	if (!in->peers->self.ready ||
	    (!version && in->server.nconns > ANSWERS_MAX))
		return 503;
	if (lstr_eq(path, WHOLE_PATH))
		write_own(in, true, true, body);
	else if (lstr_eq(path, SNAPSHOT_PATH))
		write_own(in, small, true, body);
	else if ((version && small) || lstr_eq(path, CONFIG_WHOLE_PATH))
		write_own(in, true, false, body);
	else
		return 404;
	return 200;
}

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct http_reply r = {.close = true};
	struct buf body = {0};

	r.status = answer(priv, m->target, &body);
	r.body = buf_lstr(&body);
	http_message_free(m);
	http_conn_reply(c, &r);
	buf_free(&body);
}

static const struct http_server_ops server_ops = {on_request, NULL};

/* Takes over what isn't known here by now. */
static void take(struct introduce *in, const struct snapshot *s)
{
	bool config = in->config->version == 0;
	bool backends = !in->backends->list.loaded;

	in->config_left = config && !s->has_config;
	if (config && s->has_config)
		config_watch_introduce(in->config, buf_lstr(&s->config),
				       s->config_pos,
				       clock_ms() - s->config_age_ms);
	if (backends)
		backend_list_import(
			&in->backends->list, s->backends, s->backends_pos,
			clock_ms() - s->backends_age_ms, clock_ms());
	mp_event(EV_PEER_FETCH_DONE, G_LOG_LEVEL_MESSAGE,
		 "peer=%s config=%s backends=%s servers=%u age_ms=%u",
		 in->asked.name,
		 in->config_left ? "left"
		 : config	 ? "taken"
				 : "known",
		 backends ? "taken" : "known", s->backends->len,
		 s->backends_age_ms);
}

/* A version that is new here; if it can't be used the store is read. */
static void take_config(struct introduce *in, const struct snapshot *s)
{
	if (config_watch_update(in->config, buf_lstr(&s->config), s->config_pos,
				clock_ms() - s->config_age_ms))
		config_watch_read(in->config);
}

static enum http_match judge(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* A peer that is busy says 503 and isn't at fault. */
static void no_answer(struct introduce *in, unsigned status, const char *err)
{
	in->refused++;
	mp_event(EV_PEER_FETCH_FAILED, G_LOG_LEVEL_MESSAGE,
		 "peer=%s what=%s status=%u err=%s", in->asked.name,
		 in->config_only ? "config" : "snapshot", status,
		 err ? err : "-");
	if (in->config_only)
		config_watch_read(in->config);
}

static void on_response(void *priv, struct http_message *m)
{
	struct introduce *in = priv;
	struct snapshot s;

	snapshot_init(&s);
	if (m->status != 200 || snapshot_read(buf_lstr(&m->body), &s))
		no_answer(in, m->status, NULL);
	else if (in->config_only)
		take_config(in, &s);
	else
		take(in, &s);
	snapshot_clear(&s);
	http_message_free(m);
	http_client_close(&in->client);
}

static void on_failed(void *priv, int err, bool sent)
{
	no_answer(priv, 0, g_strerror(-err));
}

static const struct http_client_ops client_ops = {
	.match = judge, .response = on_response, .failed = on_failed};

static int ask(struct introduce *in, const struct peer_info *peer,
	       struct lstr path)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = SNAPSHOT_MAX};
	struct buf b = {0};
	int rc;

	in->asked = *peer;
	in->config_only =
		lstr_eq(path, CONFIG_PATH) || lstr_eq(path, CONFIG_WHOLE_PATH);
	rc = http_client_open(&in->client, in->loop, &peer->addr, ASK_TIMEOUT_S,
			      limits, &client_ops, in);
	if (rc)
		return rc;
	buf_printf(&b, "GET %.*s HTTP/1.1\r\nHost: peer\r\n\r\n", (int)path.len,
		   path.ptr);
	http_client_send(&in->client, buf_lstr(&b), ASK_TIMEOUT_S, false);
	buf_free(&b);
	return 0;
}

/*
 * introduce_config() asks a peer for the version that it has; the store is
 * read if that brings nothing. `whole`: a large one too, as the store may have
 * lost it. Returns 0 when a peer is asked, by this call or an earlier one, or a
 * negative errno.
 */
int introduce_config(struct introduce *in, const struct peer_info *peer,
		     bool whole)
{
	if (in->client.state != CLIENT_CLOSED)
		return in->config_only ? 0 : -EBUSY;
	return ask(in, peer, whole ? CONFIG_WHOLE_PATH : CONFIG_PATH);
}

/*
 * introduce_tick() asks the next peer when it is time; call it often. `whole`:
 * for a large configuration too, as the store doesn't answer.
 */
void introduce_tick(struct introduce *in, bool whole, int64_t now_ms)
{
	const struct peer *p;

	if (in->client.state != CLIENT_CLOSED ||
	    now_ms - in->asked_ms < ASK_EVERY_MS)
		return;
	p = peers_informant(in->peers, in->turn++, now_ms);
	if (!p)
		return;
	in->asked_ms = now_ms;
	/* If that fails at once another is asked next time. */
	(void)ask(in, &p->info, whole ? WHOLE_PATH : SNAPSHOT_PATH);
}

/*
 * introduce_init() listens for the questions of others on the peers' address
 * (TCP; heartbeats are UDP). Returns 0 or a negative errno.
 */
int introduce_init(struct introduce *in, struct ev_loop *loop,
		   const char *listen, struct peer_table *peers,
		   struct config_watch *config, struct backend_watch *backends)
{
	memset(in, 0, sizeof(*in));
	in->loop = loop;
	in->peers = peers;
	in->config = config;
	in->backends = backends;
	in->client.state = CLIENT_CLOSED;
	/* Those that start together don't all ask the same one. */
	in->turn = (unsigned)peers->self.boot;
	in->server.limits = (struct http_limits){HEAD_MAX, HEAD_MAX};
	in->server.head_timeout_s = SERVER_TIMEOUT_S;
	in->server.idle_timeout_s = SERVER_TIMEOUT_S;
	return http_server_open(&in->server, loop, listen, &server_ops, in);
}
