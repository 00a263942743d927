#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/introduce.h"
#include "misc/clock.h"

enum {
	ASK_EVERY_MS = 300, /* another peer each time */
	SNAPSHOT_MAX = 16 << 20,
	HEAD_MAX = 4096,
};

static const double ASK_TIMEOUT_S = 0.5;
static const double SERVER_TIMEOUT_S = 5;

#define SNAPSHOT_PATH LSTR("/snapshot")

/* Writes all that this instance knows. */
static void write_own(const struct introduce *in, struct buf *body)
{
	struct snapshot s;
	int64_t now_ms = clock_ms();

	snapshot_init(&s);
	s.config_offset = in->config->offset;
	s.config_age_ms = in->peers->self.config_age_ms;
	buf_add_lstr(&s.config, buf_lstr(&in->config->record));
	s.backends_offset = in->backends->list.offset;
	s.backends_age_ms = (uint32_t)(now_ms - in->backends->list.fresh_ms);
	backend_list_export(&in->backends->list, s.backends);
	snapshot_write(&s, body);
	snapshot_clear(&s);
}

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct introduce *in = priv;
	struct http_reply r = {.status = 404, .close = true};
	struct buf body = {0};

	if (lstr_eq(m->target, SNAPSHOT_PATH)) {
		r.status = in->peers->self.ready ? 200 : 503;
		if (r.status == 200)
			write_own(in, &body);
		r.body = buf_lstr(&body);
	}
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

	if (config)
		config_watch_introduce(in->config, buf_lstr(&s->config),
				       s->config_offset,
				       clock_ms() - s->config_age_ms);
	if (backends)
		backend_list_import(
			&in->backends->list, s->backends, s->backends_offset,
			clock_ms() - s->backends_age_ms, clock_ms());
	mp_event(EV_PEER_INTRODUCED, G_LOG_LEVEL_MESSAGE,
		 "peer=%s config=%s backends=%s servers=%u age_ms=%u",
		 in->asked.name, config ? "taken" : "known",
		 backends ? "taken" : "known", s->backends->len,
		 s->backends_age_ms);
}

static enum http_verdict judge(void *priv, const struct http_message *m)
{
	return HTTP_TAKE;
}

static void on_response(void *priv, struct http_message *m)
{
	struct introduce *in = priv;
	struct snapshot s;

	snapshot_init(&s);
	if (m->status == 200 && snapshot_read(buf_lstr(&m->body), &s) == 0)
		take(in, &s);
	else
		mp_event(EV_PEER_BAD_DATAGRAM, G_LOG_LEVEL_WARNING,
			 "peer=%s status=%u; no snapshot", in->asked.name,
			 m->status);
	snapshot_clear(&s);
	http_message_free(m);
	http_client_close(&in->client);
}

static void on_failed(void *priv, int err, bool sent)
{
	struct introduce *in = priv;

	mp_event(EV_PEER_BAD_DATAGRAM, G_LOG_LEVEL_WARNING,
		 "peer=%s err=%s; no snapshot", in->asked.name,
		 g_strerror(-err));
}

static const struct http_client_ops client_ops = {judge, on_response,
						  on_failed};

static void ask(struct introduce *in, const struct peer *p)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = SNAPSHOT_MAX};
	struct buf b = {0};

	in->asked = p->info;
	if (http_client_open(&in->client, in->loop, &p->info.addr,
			     ASK_TIMEOUT_S, limits, &client_ops, in))
		return;
	buf_printf(&b, "GET %s HTTP/1.1\r\nHost: peer\r\n\r\n",
		   SNAPSHOT_PATH.ptr);
	http_client_send(&in->client, buf_lstr(&b), ASK_TIMEOUT_S, false);
	buf_free(&b);
}

/* introduce_tick() asks the next peer when it is time; call it often. */
void introduce_tick(struct introduce *in, int64_t now_ms)
{
	const struct peer *p;

	if (in->client.state != CLIENT_CLOSED ||
	    now_ms - in->asked_ms < ASK_EVERY_MS)
		return;
	p = peers_informant(in->peers, in->turn++, now_ms);
	if (!p)
		return;
	in->asked_ms = now_ms;
	ask(in, p);
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
