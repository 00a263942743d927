#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/peer_fetch.h"
#include "core/body_memory.h"
#include "misc/clock.h"
#include "misc/deflate.h"

enum {
	REQUEST_INTERVAL_MS = 300, /* each time from another peer */
	/* While callers wait for this instance, or changes of the list miss. */
	URGENT_INTERVAL_MS = 100,
	SNAPSHOT_MAX = 16 << 20,
	HEAD_MAX = 4096,
	/*
	 * Configuration records that are larger are read from the store: a
	 * forwarder, whose link may be slow, sends one to the instances of its
	 * data centre within the time in which it must be in force.
	 */
	CONFIG_MAX = 32 * 1024,
	/*
	 * Concurrent snapshots. More would not be faster: eight of 30 KB take
	 * 0.2 s on a link of 10 Mbit/s. Others use another peer.
	 */
	CONCURRENT_ANSWERS_MAX = 8,
	/*
	 * Instances that start together get the same answer for this long,
	 * since compressing one for each would delay all of them.
	 */
	CACHE_MS = 250,
};

static const double REQUEST_TIMEOUT_S = 0.5;
/* The members and the list of a large deployment take longer. */
static const double JOIN_TIMEOUT_S = 1.0;
static const double SERVER_TIMEOUT_S = 5;

static const double BYTES_PER_KB = 1000;

/* Everything; everything but a large configuration; a small configuration. */
#define SNAPSHOT_WHOLE_PATH LSTR("/snapshot/whole")
#define SNAPSHOT_PATH	    LSTR("/snapshot")
#define CONFIG_PATH	    LSTR("/config")
/* A configuration of any size, in case the store has lost it. */
#define CONFIG_WHOLE_PATH LSTR("/config/whole")
/* As the snapshot without a large configuration, and the members. */
#define JOIN_PATH LSTR("/join")
/* Changes of the list since a position: followed by ERA/OFFSET. */
#define CHANGES_PATH "/changes/"

/* Parts of a snapshot. */
enum { PART_CONFIG = 1, PART_BACKENDS = 2, PART_MEMBERS = 4 };

/* Adds to an age, unless it is unknown. */
static uint32_t add_age(uint32_t age_ms, uint32_t ms)
{
	return age_ms > AGE_UNKNOWN - ms ? AGE_UNKNOWN : age_ms + ms;
}

/* Adds to the ages of the members' signs of life. */
static void add_sign_ages(GArray *members, uint32_t ms)
{
	for (guint i = 0; i < members->len; i++) {
		struct peer_report *r =
			&g_array_index(members, struct peer_report, i);

		r->sign_age_ms = add_age(r->sign_age_ms, ms);
	}
}

/* Writes the given parts. */
static void write_snapshot(const struct peer_fetch *in, unsigned parts,
			   struct buf *body)
{
	struct snapshot s;
	int64_t now_ms = clock_boot_ms();

	snapshot_init(&s);
	s.has_config = parts & PART_CONFIG;
	s.has_backends = parts & PART_BACKENDS;
	s.config_pos = in->config->pos;
	s.config_age_ms = in->peers->self.config.age_ms;
	if (s.has_config) {
		buf_add_lstr(&s.config, buf_lstr(&in->config->record));
		s.evacuations = in->config->evacuations;
	}
	if (s.has_backends) {
		s.backends_pos = in->backends->list.pos;
		s.backends_age_ms =
			backend_watch_is_current(in->backends)
				? (uint32_t)(now_ms -
					     in->backends->list.fresh_ms)
				: AGE_UNKNOWN;
		backend_list_export(&in->backends->list, s.backends);
	}
	if (parts & PART_MEMBERS) {
		g_array_unref(s.members);
		s.members = peers_reports(in->peers, now_ms);
		add_sign_ages(s.members, CACHE_MS);
		g_array_unref(s.verdicts);
		s.verdicts = crash_watch_verdicts(in->crashes);
	}
	/* An answer to several instances is as old as its first use. */
	if (parts & PART_MEMBERS) {
		s.config_age_ms = add_age(s.config_age_ms, CACHE_MS);
		s.backends_age_ms = add_age(s.backends_age_ms, CACHE_MS);
	}
	snapshot_write(&s, body);
	snapshot_clear(&s);
}

/*
 * Writes the changes of the list since the position that the path names. Fails
 * if there are none, or if they aren't known here any more.
 */
static unsigned answer_changes(const struct peer_fetch *in, struct lstr path,
			       struct buf *body)
{
	struct backend_list *list = &in->backends->list;
	char *text = g_strndup(path.ptr, path.len);
	struct store_position since;
	struct backend_feed feed;
	bool valid;

	valid = sscanf(text,
		       CHANGES_PATH "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		       &since.era, &since.offset) == 2;
	g_free(text);
	if (!valid || !backend_watch_is_current(in->backends) ||
	    store_position_cmp(list->pos, since) <= 0)
		return 404;
	backend_list_build_feed(list, &feed, clock_boot_ms());
	if (!backend_feed_covers(&feed, since))
		return 404;
	gossip_write_changes(body, &in->peers->self, &feed, since);
	return 200;
}

/*
 * Writes the compressed answer to an instance that joins. Returns the status.
 */
static unsigned answer_join(struct peer_fetch *in, bool config,
			    struct buf *body)
{
	int64_t now_ms = clock_boot_ms();
	struct buf plain = {0};

	if (!in->peers->joined_ms)
		return 503;
	if (!in->cache.len || now_ms - in->cache_ms > CACHE_MS) {
		in->cache.len = 0;
		in->cache_ms = now_ms;
		write_snapshot(in,
			       (config ? PART_CONFIG : 0) | PART_BACKENDS |
				       PART_MEMBERS,
			       &plain);
		if (deflate_write(&in->cache, buf_lstr(&plain)))
			in->cache.len = 0;
		buf_free(&plain);
	}
	buf_add_lstr(body, buf_lstr(&in->cache));
	return in->cache.len ? 200 : 503;
}

/* Returns the status of the answer and, if that is 200, its body. */
static unsigned answer(struct peer_fetch *in, struct lstr path,
		       struct buf *body)
{
	bool small = in->config->record.len <= CONFIG_MAX;
	bool version = lstr_eq(path, CONFIG_PATH) &&
		       in->config->record.len <= CONFIG_DIRECT_MAX;

	/* All request a small configuration at once, so it isn't limited. */
	if (!in->peers->self.ready ||
	    (!version &&
	     http_server_count_sending(&in->server) >= CONCURRENT_ANSWERS_MAX))
		return 503;
	if (lstr_starts_with(path, LSTR(CHANGES_PATH)))
		return answer_changes(in, path, body);
	if (lstr_eq(path, JOIN_PATH))
		return answer_join(in, small, body);
	if (lstr_eq(path, SNAPSHOT_WHOLE_PATH))
		write_snapshot(in, PART_CONFIG | PART_BACKENDS, body);
	else if (lstr_eq(path, SNAPSHOT_PATH))
		write_snapshot(in, (small ? PART_CONFIG : 0) | PART_BACKENDS,
			       body);
	else if ((small && lstr_eq(path, CONFIG_PATH)) ||
		 lstr_eq(path, CONFIG_WHOLE_PATH))
		write_snapshot(in, PART_CONFIG, body);
	else
		return 404;
	return 200;
}

/* Handles a request of a peer. */
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

/* Applies the parts of a snapshot that aren't known here yet. */
static void apply_snapshot(struct peer_fetch *in, const struct snapshot *s)
{
	bool config = in->config->version == 0;
	bool backends = !in->backends->list.loaded && s->has_backends;

	in->config_too_large = config && !s->has_config;
	if (config && s->has_config)
		config_watch_import(in->config, buf_lstr(&s->config),
				    &s->evacuations, s->config_pos,
				    clock_boot_ms() - s->config_age_ms);
	if (backends)
		backend_list_import(
			&in->backends->list, s->backends, s->backends_pos,
			clock_boot_ms() - s->backends_age_ms, clock_boot_ms());
	mp_event(EV_PEER_FETCH_DONE, G_LOG_LEVEL_MESSAGE,
		 "peer=%s config=%s backends=%s servers=%u age_ms=%u",
		 in->target.name,
		 in->config_too_large ? "left"
		 : config	      ? "taken"
				      : "known",
		 backends ? "taken" : "known", s->backends->len,
		 s->backends_age_ms);
	member_join_apply(in->join, s, clock_boot_ms());
}

/* Applies a new version; if it is invalid, the store is read. */
static void apply_config(struct peer_fetch *in, const struct snapshot *s)
{
	if (config_watch_apply_peer(in->config, buf_lstr(&s->config),
				    &s->evacuations, s->config_pos,
				    clock_boot_ms() - s->config_age_ms))
		config_watch_read(in->config);
}

/* Applies the changes of the list that a peer has sent. */
static void apply_changes(struct peer_fetch *in, struct lstr body)
{
	struct gossip_message m;

	if (gossip_read(body, &m) == 0 && m.kind == GOSSIP_FEED)
		backend_watch_apply_feed(in->backends, &m.feed,
					 clock_boot_ms());
	mp_event(EV_PEER_FETCH_DONE, G_LOG_LEVEL_MESSAGE,
		 "peer=%s changes=%u offset=%" G_GUINT64_FORMAT " gap=%d",
		 in->target.name, m.feed.changes ? m.feed.changes->len : 0,
		 in->backends->list.pos.offset, in->backends->gap);
	gossip_message_clear(&m);
}

/* Accepts any response: only one request is pending. */
static enum http_match accept_response(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

static const char *const what_names[] = {
	[FETCH_SNAPSHOT] = "snapshot",
	[FETCH_CONFIG] = "config",
	[FETCH_JOIN] = "join",
	[FETCH_CHANGES] = "changes",
};

/* Handles a failed request. A busy peer answers 503, which is no error. */
static void on_no_answer(struct peer_fetch *in, unsigned status,
			 const char *err)
{
	if (in->what == FETCH_CHANGES)
		return;
	in->failures++;
	if (in->what == FETCH_JOIN && status != 503)
		member_join_fetch_failed(in->join);
	mp_event(EV_PEER_FETCH_FAILED, G_LOG_LEVEL_MESSAGE,
		 "peer=%s what=%s status=%u err=%s", in->target.name,
		 what_names[in->what], status, err ? err : "-");
	/* No peer gives a record that is too large. */
	if (in->what == FETCH_CONFIG && (in->read_on_failure || status == 404))
		config_watch_read(in->config);
}

/* Applies the response of a peer. */
static void on_response(void *priv, struct http_message *m)
{
	struct peer_fetch *in = priv;
	struct buf plain = {0};
	struct snapshot s;

	snapshot_init(&s);
	if (m->status == 200 && in->what == FETCH_JOIN) {
		if (deflate_read(buf_lstr(&m->body), SNAPSHOT_MAX, &plain))
			m->status = 0;
		buf_free(&m->body);
		m->body = plain;
	}
	if (m->status == 200 && in->what == FETCH_CHANGES)
		apply_changes(in, buf_lstr(&m->body));
	else if (m->status != 200 || snapshot_read(buf_lstr(&m->body), &s))
		on_no_answer(in, m->status, NULL);
	else if (in->what == FETCH_CONFIG)
		apply_config(in, &s);
	else
		apply_snapshot(in, &s);
	snapshot_clear(&s);
	http_message_free(m);
	http_client_close(&in->client);
}

static void on_failed(void *priv, int err, bool sent)
{
	on_no_answer(priv, 0, g_strerror(-err));
}

static const struct http_client_ops client_ops = {
	.match = accept_response, .response = on_response, .failed = on_failed};

/* Sends a request to a peer. Returns 0 or a negative errno. */
static int send_request(struct peer_fetch *in, const struct peer_info *peer,
			enum fetch_what what, struct lstr path)
{
	struct http_limits limits = {.head_max = HEAD_MAX,
				     .body_max = SNAPSHOT_MAX};
	double timeout_s =
		what == FETCH_JOIN ? JOIN_TIMEOUT_S : REQUEST_TIMEOUT_S;
	struct buf b = {0};
	int rc;

	in->target = *peer;
	in->what = what;
	rc = http_client_open(&in->client, in->loop, &peer->addr,
			      REQUEST_TIMEOUT_S, limits, &client_ops, in);
	if (rc)
		return rc;
	buf_printf(&b, "GET %.*s HTTP/1.1\r\nHost: peer\r\n\r\n", (int)path.len,
		   path.ptr);
	http_client_send(&in->client, buf_lstr(&b), timeout_s, false);
	buf_free(&b);
	return 0;
}

/*
 * peer_fetch_config() fetches a peer's version; with `read_on_failure` the
 * store is read if that fails. `whole`: also a large one, as the store may have
 * lost it. Returns 0 if a request is pending, from this or an earlier call, or a
 * negative errno.
 */
int peer_fetch_config(struct peer_fetch *in, const struct peer_info *peer,
		      bool whole, bool read_on_failure)
{
	if (in->client.state != CLIENT_CLOSED)
		return in->what == FETCH_CONFIG ? 0 : -EBUSY;
	in->read_on_failure = read_on_failure;
	return send_request(in, peer, FETCH_CONFIG,
			    whole ? CONFIG_WHOLE_PATH : CONFIG_PATH);
}

/* peer_fetch_is_pending() returns whether a request is pending. */
bool peer_fetch_is_pending(const struct peer_fetch *in)
{
	return in->client.state != CLIENT_CLOSED;
}

/* Sends a request to a peer if none is pending and one is due. */
static void send_when_due(struct peer_fetch *in, const struct peer_info *peer,
			  enum fetch_what what, struct lstr path,
			  int interval_ms, int64_t now_ms)
{
	if (!peer || peer_fetch_is_pending(in) ||
	    now_ms - in->request_sent_ms < interval_ms)
		return;
	in->turn++;
	in->request_sent_ms = now_ms;
	/* If this fails at once, the next attempt uses another peer. */
	(void)send_request(in, peer, what, path);
}

/* Returns the next peer that can serve. */
static const struct peer_info *next_source(const struct peer_fetch *in,
					   int64_t now_ms)
{
	return peers_pick_source(in->peers, in->turn, now_ms);
}

/*
 * peer_fetch_tick() requests a snapshot from the next peer when due; call it
 * often. `whole`: also a large configuration, since the store doesn't answer.
 */
void peer_fetch_tick(struct peer_fetch *in, bool whole, int64_t now_ms)
{
	send_when_due(in, next_source(in, now_ms), FETCH_SNAPSHOT,
		      whole ? SNAPSHOT_WHOLE_PATH : SNAPSHOT_PATH,
		      REQUEST_INTERVAL_MS, now_ms);
}

/*
 * peer_fetch_join() requests the members and a snapshot from the next peer when
 * due.
 */
void peer_fetch_join(struct peer_fetch *in, int64_t now_ms)
{
	send_when_due(in, next_source(in, now_ms), FETCH_JOIN, JOIN_PATH,
		      URGENT_INTERVAL_MS, now_ms);
}

/*
 * peer_fetch_changes() requests the changes of the list that are missing here
 * when due: from the first hub, which sent the feed that lacked them, or from
 * the next peer. They come from the store if all fail.
 */
void peer_fetch_changes(struct peer_fetch *in, bool from_hub, int64_t now_ms)
{
	struct store_position since = in->backends->list.pos;
	const struct peer_info *hub =
		from_hub ? hubs_first(in->peers, now_ms) : NULL;
	char path[80];

	g_snprintf(path, sizeof(path),
		   CHANGES_PATH "%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		   since.era, since.offset);
	send_when_due(in, hub ? hub : next_source(in, now_ms), FETCH_CHANGES,
		      lstr0(path), URGENT_INTERVAL_MS, now_ms);
}

/*
 * peer_fetch_init() listens for requests of peers on the peer address (TCP;
 * heartbeats use UDP). Returns 0 or a negative errno.
 */
int peer_fetch_init(struct peer_fetch *in, struct ev_loop *loop,
		    const struct instance_settings *s, struct peer_table *peers,
		    struct config_watch *config, struct backend_watch *backends,
		    struct member_join *join, const struct crash_watch *crashes)
{
	memset(in, 0, sizeof(*in));
	in->loop = loop;
	in->peers = peers;
	in->config = config;
	in->backends = backends;
	in->join = join;
	in->crashes = crashes;
	in->client.state = CLIENT_CLOSED;
	/* Instances that start together begin with different peers. */
	in->turn = (unsigned)peers->self.boot_id;
	in->server.limits = (struct http_limits){HEAD_MAX, HEAD_MAX};
	in->server.head_timeout_s = SERVER_TIMEOUT_S;
	in->server.idle_timeout_s = SERVER_TIMEOUT_S;
	in->server.transfer_time_s = SERVER_TIMEOUT_S;
	in->server.transfer_min_rate =
		s->clients.transfer_min_kb_s * BYTES_PER_KB;
	in->pool.sockets_max = instance_settings_sockets(s).peers;
	in->pool.bytes_max = peer_memory_limit(s->memory_mb);
	http_pool_add(&in->pool, &in->server, "peers", 1);
	return http_server_open(&in->server, loop, s->peers, &server_ops, in);
}
