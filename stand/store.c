/*
 * The platform's store as a stand-in, over the published calls that the
 * product uses: append (conditions, producers), read with a wait, the newest
 * of each key, trim. Faults are switched on by POST /stand/faults?NAME=VALUE:
 *   down=busy|silent|reset|no   slow_ms=N   lost_pct=N   forget=1
 * Backend servers and the operator write through POST /stand/append, since
 * the system itself may not write to their topics.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/event.h"
#include "http/server.h"
#include "misc/clock.h"
#include "misc/codec.h"
#include "platform/store.h"
#include "stand/log.h"
#include "stand/query.h"
#include "stand/stand.h"

enum {
	READ_DEFAULT_KB = 1024,
	WAIT_MAX_MS = 30000,
	NEWEST_MAX = 500, /* items a page */
	HEAD_MAX = 16384,
	BODY_MAX = 4 << 20,
};

struct store {
	struct ev_loop *loop;
	struct http_server http;
	GHashTable *topics; /* "topic/part" -> struct log_part * */
	GList *parked;	    /* struct parked * */
	char down[16];
	int slow_ms, lost_pct;
	GHashTable *beats; /* backend server -> its last record's time */
	ev_timer lapse;
	int ttl_ms;	  /* an entry lapses after this long without one */
	int append_limit; /* a second */
	int64_t limit_s;
	int appends;
	GRand *rand;
};

/* A read that waits for a record, or an answer that is held back. */
struct parked {
	struct store *store;
	struct http_conn *conn;
	ev_timer timer;
	struct log_part *part; /* of a read */
	uint64_t from;
	size_t max;
	bool is_read;
	unsigned status;
	struct buf body;
};

static struct log_part *find_part(struct store *s, const struct query *q)
{
	const char *topic = query_text(q, "topic");
	const char *part = query_text(q, "part");
	char *name =
		g_strdup_printf("%s/%s", topic ? topic : "", part ? part : "0");
	struct log_part *p = g_hash_table_lookup(s->topics, name);

	if (p) {
		g_free(name);
		return p;
	}
	p = log_part_new(topic && g_str_has_prefix(topic, "keyed."));
	g_hash_table_insert(s->topics, name, p);
	return p;
}

static void reply(struct http_conn *c, unsigned status, struct lstr body)
{
	http_conn_reply(c,
			&(struct http_reply){.status = status, .body = body});
}

static void parked_free(struct parked *k)
{
	k->store->parked = g_list_remove(k->store->parked, k);
	ev_timer_stop(k->store->loop, &k->timer);
	buf_free(&k->body);
	g_free(k);
}

/* Answers a parked read with what is there now. */
static void finish_parked(struct parked *k)
{
	struct http_conn *c = k->conn;
	struct buf body = k->body;
	unsigned status = k->status;

	k->body = (struct buf){0};
	if (k->is_read && log_read(k->part, k->from, k->max, &body))
		status = 410;
	parked_free(k);
	http_conn_set_user(c, NULL);
	reply(c, status, buf_lstr(&body));
	buf_free(&body);
}

static void on_parked_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	finish_parked(t->data);
}

static struct parked *park(struct store *s, struct http_conn *c, int ms)
{
	struct parked *k = g_new0(struct parked, 1);

	k->store = s;
	k->conn = c;
	k->status = 200;
	ev_timer_init(&k->timer, on_parked_timer, ms / 1000.0, 0);
	k->timer.data = k;
	ev_timer_start(s->loop, &k->timer);
	s->parked = g_list_prepend(s->parked, k);
	http_conn_set_user(c, k);
	return k;
}

/* Answers, later if the store is slow; takes the body's memory. */
static void reply_slowly(struct store *s, struct http_conn *c, unsigned status,
			 struct buf *body)
{
	struct parked *k;

	if (s->slow_ms == 0) {
		reply(c, status, buf_lstr(body));
		buf_free(body);
		return;
	}
	k = park(s, c, s->slow_ms);
	k->status = status;
	k->body = *body;
	*body = (struct buf){0};
}

/* Wakes the reads that wait for a record of this partition. */
static void wake_reads(struct store *s, const struct log_part *p)
{
	GList *next;

	for (GList *l = s->parked; l; l = next) {
		struct parked *k = l->data;

		next = l->next;
		if (k->is_read && k->part == p)
			finish_parked(k);
	}
}

static bool over_limit(struct store *s)
{
	int64_t now_s = clock_ms() / 1000;

	if (now_s != s->limit_s) {
		s->limit_s = now_s;
		s->appends = 0;
	}
	return ++s->appends > s->append_limit;
}

static unsigned status_of(enum log_outcome rc)
{
	switch (rc) {
	case LOG_OK:
		return 200;
	case LOG_MOVED:
		return 412;
	case LOG_FENCED:
	case LOG_SEQ:
		return 409;
	case LOG_GONE:
		return 410;
	case LOG_BAD:
		break;
	}
	return 400;
}

static void write_positions(struct buf *body, const struct log_position *pos)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, body, codec_buf_write);
	msgpack_pack_map(&pk, 2);
	codec_pack_cstr(&pk, "offset");
	msgpack_pack_uint64(&pk, pos->offset);
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, pos->end);
}

/* Remembers when a backend server last wrote its entry. */
static void note_beat(struct store *s, const struct query *q,
		      const struct http_message *m)
{
	const char *topic = query_text(q, "topic");
	size_t klen = m->body.len > 4 ? (unsigned char)m->body.ptr[4] : 0;
	int64_t *at;

	if (!topic || strcmp(topic, STORE_TOPIC_BACKENDS) ||
	    m->body.len < 5 + klen)
		return;
	at = g_new(int64_t, 1);
	*at = clock_ms();
	g_hash_table_replace(s->beats, g_strndup(m->body.ptr + 5, klen), at);
}

/* Drops the entries of servers that have not written for too long. */
static void on_lapse(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct store *s = t->data;
	struct log_condition cond = {.at = -1};
	struct log_part *p =
		g_hash_table_lookup(s->topics, STORE_TOPIC_BACKENDS "/0");
	GHashTableIter it;
	gpointer key, at;

	g_hash_table_iter_init(&it, s->beats);
	while (p && g_hash_table_iter_next(&it, &key, &at)) {
		struct log_position pos;
		struct buf rec = {0};
		unsigned char n = (unsigned char)strlen(key);
		unsigned char head[] = {0, 0, 0, n + 1, n};

		if (clock_ms() - *(int64_t *)at < s->ttl_ms)
			continue;
		buf_add(&rec, head, sizeof(head));
		buf_add(&rec, key, n);
		log_append(p, buf_lstr(&rec), &cond, &pos);
		buf_free(&rec);
		g_hash_table_iter_remove(&it);
		wake_reads(s, p);
	}
}

static void do_append(struct store *s, struct http_conn *c,
		      const struct query *q, const struct http_message *m)
{
	struct log_part *p = find_part(s, q);
	struct log_condition cond = {
		.at = query_int(q, "at", -1),
		.producer = query_text(q, "producer"),
		.epoch = query_int(q, "epoch", 0),
		.seq = query_int(q, "sequenceNumber", 0),
	};
	struct log_position pos = {0};
	struct buf body = {0};
	enum log_outcome rc;

	if (over_limit(s)) {
		reply(c, 429, LSTR(""));
		return;
	}
	rc = log_append(p, buf_lstr(&m->body), &cond, &pos);
	if (rc == LOG_OK) {
		note_beat(s, q, m);
		wake_reads(s, p);
	}
	if (rc == LOG_OK && g_rand_int_range(s->rand, 0, 100) < s->lost_pct) {
		http_conn_abort(c);
		return;
	}
	write_positions(&body, &pos);
	reply_slowly(s, c, status_of(rc), &body);
}

static void do_read(struct store *s, struct http_conn *c, const struct query *q)
{
	struct log_part *p = find_part(s, q);
	uint64_t from = (uint64_t)query_int(q, "startRevision", 0);
	int64_t wait = query_int(q, "waitMs", 0);
	size_t max = (size_t)query_int(q, "maxKb", READ_DEFAULT_KB) << 10;
	struct buf body = {0};
	struct parked *k;

	if (from >= log_end(p) && wait > 0) {
		k = park(s, c, (int)MIN(wait, WAIT_MAX_MS));
		k->is_read = true;
		k->part = p;
		k->from = from;
		k->max = max;
		return;
	}
	enum log_outcome rc = log_read(p, from, max, &body);

	reply_slowly(s, c, status_of(rc), &body);
}

static void write_item(msgpack_packer *pk, const char *key,
		       const struct log_newest *n)
{
	gsize len;
	const void *value = g_bytes_get_data(n->value, &len);
	char *text = g_base64_encode(value, len);

	msgpack_pack_map(pk, 3);
	codec_pack_cstr(pk, "key");
	codec_pack_cstr(pk, key);
	codec_pack_cstr(pk, "value");
	codec_pack_cstr(pk, text);
	codec_pack_cstr(pk, "offset");
	msgpack_pack_uint64(pk, n->offset);
	g_free(text);
}

static void do_newest(struct store *s, struct http_conn *c,
		      const struct query *q)
{
	struct log_part *p = find_part(s, q);
	const char *after = query_text(q, "after");
	GList *keys = g_list_sort(g_hash_table_get_keys(p->newest),
				  (GCompareFunc)strcmp);
	struct buf body = {0};
	msgpack_packer pk;
	GList *l = keys;
	guint n;

	while (after && l && strcmp(l->data, after) <= 0)
		l = l->next;
	n = g_list_length(l);
	msgpack_packer_init(&pk, &body, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "items");
	msgpack_pack_array(&pk, MIN(n, NEWEST_MAX));
	for (guint i = 0; l && i < NEWEST_MAX; i++, l = l->next)
		write_item(&pk, l->data,
			   g_hash_table_lookup(p->newest, l->data));
	codec_pack_cstr(&pk, "more");
	if (n > NEWEST_MAX)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, log_end(p));
	g_list_free(keys);
	reply_slowly(s, c, 200, &body);
}

static void do_trim(struct store *s, struct http_conn *c, const struct query *q)
{
	log_trim(find_part(s, q), (uint64_t)query_int(q, "before", 0));
	reply(c, 200, LSTR(""));
}

/* Deletes the history; the newest of each key stays. */
static void forget(struct store *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->topics);
	while (g_hash_table_iter_next(&it, NULL, &v))
		log_trim(v, log_end(v));
}

static void do_faults(struct store *s, struct http_conn *c,
		      const struct query *q)
{
	const char *down = query_text(q, "down");

	if (down)
		g_strlcpy(s->down, strcmp(down, "no") ? down : "",
			  sizeof(s->down));
	s->slow_ms = (int)query_int(q, "slow_ms", s->slow_ms);
	s->lost_pct = (int)query_int(q, "lost_pct", s->lost_pct);
	if (query_int(q, "forget", 0))
		forget(s);
	reply(c, 200, LSTR(""));
}

/* Answers as a store that is down; true when it is. */
static bool is_down(struct store *s, struct http_conn *c)
{
	if (!*s->down)
		return false;
	if (!strcmp(s->down, "busy"))
		reply(c, 503, LSTR(""));
	else if (!strcmp(s->down, "reset"))
		http_conn_abort(c);
	return true;
}

/* The system may not write what the operator and the servers write. */
static bool is_foreign_topic(const struct query *q)
{
	const char *topic = query_text(q, "topic");

	return topic && (!strcmp(topic, STORE_TOPIC_CONFIG) ||
			 !strcmp(topic, STORE_TOPIC_BACKENDS));
}

static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct store *s = priv;
	struct query q;
	char *path = query_split(m->target, &q);

	if (!strcmp(path, "/stand/faults"))
		do_faults(s, c, &q);
	else if (is_down(s, c))
		g_debug("request while down");
	else if (!strcmp(path, "/log-read"))
		do_read(s, c, &q);
	else if (!strcmp(path, "/log-newest"))
		do_newest(s, c, &q);
	else if (!strcmp(path, "/log-append") && is_foreign_topic(&q))
		reply(c, 403, LSTR(""));
	else if (!strcmp(path, "/log-append") || !strcmp(path, "/stand/append"))
		do_append(s, c, &q, m);
	else if (!strcmp(path, "/log-trim"))
		do_trim(s, c, &q);
	else
		reply(c, 404, LSTR(""));
	g_free(path);
	query_free(&q);
	http_message_free(m);
}

static void on_gone(void *priv, struct http_conn *c)
{
	struct parked *k = http_conn_user(c);

	if (k)
		parked_free(k);
}

static const struct http_server_ops ops = {on_request, on_gone};

static void on_stop(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

/* stand_store_main() serves the stand-in until SIGTERM. */
int stand_store_main(const struct deploy *d)
{
	struct store s = {.append_limit = d->platform.append_limit_per_s,
			  .ttl_ms = d->platform.member_ttl_ms};
	ev_signal term;
	int rc;

	s.loop = ev_default_loop(EVFLAG_NOENV);
	s.topics = g_hash_table_new(g_str_hash, g_str_equal);
	s.beats =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s.rand = g_rand_new();
	ev_timer_init(&s.lapse, on_lapse, 0.2, 0.2);
	s.lapse.data = &s;
	ev_timer_start(s.loop, &s.lapse);
	s.http.limits = (struct http_limits){HEAD_MAX, BODY_MAX};
	s.http.head_timeout_s = 5;
	s.http.idle_timeout_s = 3600;
	rc = http_server_open(&s.http, s.loop, d->platform.listen, &ops, &s);
	if (rc) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "addr=%s err=%s", d->platform.listen, g_strerror(-rc));
		return rc;
	}
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE, "store on %s",
		 d->platform.listen);
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(s.loop, &term);
	ev_run(s.loop, 0);
	return 0;
}
