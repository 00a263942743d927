/*
 * Simulated store of the platform, with the published calls that the system
 * uses: append (conditions, producers), long-polling read, newest record of
 * each key, trim. POST /stand/faults?NAME=VALUE sets faults:
 *   down=busy|silent|reset|no  be down: respond 503, don't respond, or close
 *   slow_ms=N                  delay responses
 *   append_ms=N                time of an append; a partition has a queue
 *   lost_pct=N                 append, but close without a response
 *   forget=1                   delete the history, not the newest of each key
 *   changes_only=0|1           don't append renewals of a server's entry
 *   page_items=N               items per page of a listing
 * and those of stand/backup.h. GET /stand/calls returns the number of calls, and
 * GET /stand/lists that of the pages of listings among them.
 * Backend servers and the operator write through POST /stand/append, since the
 * system itself is not permitted to write to their topics.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "common/event.h"
#include "http/server.h"
#include "misc/clock.h"
#include "misc/codec.h"
#include "platform/store.h"
#include "stand/append_queue.h"
#include "stand/backup.h"
#include "stand/lease.h"
#include "stand/listing.h"
#include "stand/log.h"
#include "stand/query.h"
#include "stand/stand.h"

enum {
	READ_DEFAULT_KB = 1024,
	WAIT_MAX_MS = 30000,
	HEAD_MAX = 16384,
	BODY_MAX = 4 << 20,
};

/* State of the store process. */
struct store {
	struct ev_loop *loop;
	struct http_server http;
	GHashTable *topics;  /* "topic/part" -> struct log_part * */
	GList *held_replies; /* struct held_reply * */
	struct backup backup;
	char down[16];
	int slow_ms, lost_pct;
	struct lease leases;
	ev_timer lease_timer;
	struct append_queue appends;
	unsigned calls; /* of the system */
	unsigned lists; /* pages among them */
	unsigned page_items;
	GRand *rand;
};

/* A read that waits for a record, or a delayed response. */
struct held_reply {
	struct store *store;
	struct http_conn *conn;
	ev_timer timer;
	struct log_part *part; /* of a read; else NULL */
	char *name;	       /* name of the partition */
	uint64_t era;	       /* in which the response was made */
	uint64_t from;
	size_t max;
	bool is_read;
	unsigned status;
	struct buf body;
};

/* Returns the partition name "topic/part" of a query, to be freed. */
static char *part_name(const struct query *q)
{
	const char *topic = query_text(q, "topic");
	const char *part = query_text(q, "part");

	return g_strdup_printf("%s/%s", topic ? topic : "", part ? part : "0");
}

/* Returns a partition; creates it if it is new. */
static struct log_part *get_part(struct store *s, const char *name)
{
	struct log_part *p = g_hash_table_lookup(s->topics, name);

	if (p)
		return p;
	p = log_part_new(g_str_has_prefix(name, "keyed."));
	g_hash_table_insert(s->topics, g_strdup(name), p);
	return p;
}

/* Returns the partition of a query. */
static struct log_part *find_part(struct store *s, const struct query *q)
{
	char *name = part_name(q);
	struct log_part *p = get_part(s, name);

	g_free(name);
	return p;
}

/* Sends a response with the header of an era. */
static void reply_in_era(struct store *s, struct http_conn *c, uint64_t era,
			 unsigned status, struct lstr body)
{
	struct buf headers = {0};

	backup_write_era(&s->backup, era, &headers);
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = buf_lstr(&headers),
						.body = body});
	buf_free(&headers);
}

/* Sends a response in the current era. */
static void reply(struct store *s, struct http_conn *c, unsigned status,
		  struct lstr body)
{
	reply_in_era(s, c, s->backup.era, status, body);
}

/* Sends a number. */
static void reply_number(struct store *s, struct http_conn *c, unsigned n)
{
	char text[16];

	g_snprintf(text, sizeof(text), "%u\n", n);
	reply(s, c, 200, lstr0(text));
}

/* Frees a held response without sending it. */
static void held_reply_free(struct held_reply *held)
{
	held->store->held_replies =
		g_list_remove(held->store->held_replies, held);
	ev_timer_stop(held->store->loop, &held->timer);
	buf_free(&held->body);
	g_free(held->name);
	g_free(held);
}

/* Sends a held response; a read returns the records that exist now. */
static void send_held_reply(struct held_reply *held)
{
	struct http_conn *c = held->conn;
	struct buf body = held->body;
	unsigned status = held->status;
	struct store *s = held->store;
	uint64_t era = held->is_read ? s->backup.era : held->era;

	held->body = (struct buf){0};
	if (held->is_read && log_read(held->part, held->from, held->max, &body))
		status = 410;
	held_reply_free(held);
	http_conn_set_user(c, NULL);
	reply_in_era(s, c, era, status, buf_lstr(&body));
	buf_free(&body);
}

/* The wait of a read or the delay of a response has ended. */
static void on_held_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	send_held_reply(t->data);
}

/* Holds the response on a connection for up to `ms`. */
static struct held_reply *hold_reply(struct store *s, struct http_conn *c,
				     int ms)
{
	struct held_reply *held = g_new0(struct held_reply, 1);

	held->store = s;
	held->conn = c;
	held->status = 200;
	held->era = s->backup.era;
	ev_timer_init(&held->timer, on_held_timer, ms / 1000.0, 0);
	held->timer.data = held;
	ev_timer_start(s->loop, &held->timer);
	s->held_replies = g_list_prepend(s->held_replies, held);
	http_conn_set_user(c, held);
	return held;
}

/*
 * Sends a response after `ms`, later if the store is slow; takes over the body.
 */
static void reply_delayed(struct store *s, struct http_conn *c, unsigned status,
			  int ms, struct buf *body)
{
	struct held_reply *held;

	ms += s->slow_ms;
	if (ms == 0) {
		reply(s, c, status, buf_lstr(body));
		buf_free(body);
		return;
	}
	held = hold_reply(s, c, ms);
	held->status = status;
	held->body = *body;
	*body = (struct buf){0};
}

/* Completes the reads that wait for a record of this partition. */
static void wake_reads(struct store *s, const struct log_part *p)
{
	GList *next;

	for (GList *l = s->held_replies; l; l = next) {
		struct held_reply *held = l->data;

		next = l->next;
		if (held->is_read && held->part == p)
			send_held_reply(held);
	}
}

/* Writes the response body of an append. */
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

/* Removes the entries of servers whose lease expired. */
static void on_lease_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct store *s = t->data;
	struct log_part *p =
		g_hash_table_lookup(s->topics, STORE_TOPIC_BACKENDS "/0");

	if (p && lease_expire(&s->leases, p, clock_ms()))
		wake_reads(s, p);
}

static void handle_append(struct store *s, struct http_conn *c,
			  const struct query *q, const struct http_message *m)
{
	struct log_part *p = find_part(s, q);
	struct log_condition cond = {
		.expected_end = query_int(q, "at", -1),
		.producer = query_text(q, "producer"),
		.epoch = query_int(q, "epoch", 0),
		.seq = query_int(q, "sequenceNumber", 0),
	};
	struct log_position pos = {0};
	struct buf body = {0};
	enum log_outcome rc;
	unsigned admitted;
	int queued_ms;

	admitted = append_queue_admit(&s->appends, p, clock_ms(), &queued_ms);
	if (admitted != 200) {
		reply(s, c, admitted, LSTR(""));
		return;
	}
	if (lease_is_repeat(&s->leases, p, q, buf_lstr(&m->body))) {
		pos = (struct log_position){log_end(p), log_end(p)};
		rc = LOG_OK;
	} else {
		rc = log_append(p, buf_lstr(&m->body), &cond, &pos);
	}
	if (rc == LOG_OK) {
		lease_renew(&s->leases, q, buf_lstr(&m->body), clock_ms());
		wake_reads(s, p);
	}
	if (rc == LOG_OK && g_rand_int_range(s->rand, 0, 100) < s->lost_pct) {
		http_conn_abort(c);
		return;
	}
	write_positions(&body, &pos);
	reply_delayed(s, c, log_status(rc), queued_ms, &body);
}

/* Handles a read; it waits if there are no new records yet. */
static void handle_read(struct store *s, struct http_conn *c,
			const struct query *q)
{
	struct log_part *p = find_part(s, q);
	uint64_t from = (uint64_t)query_int(q, "startRevision", 0);
	int64_t wait = query_int(q, "waitMs", 0);
	size_t max = (size_t)query_int(q, "maxKb", READ_DEFAULT_KB) << 10;
	struct buf body = {0};
	struct held_reply *held;

	if (from == log_end(p) && wait > 0) {
		held = hold_reply(s, c, (int)MIN(wait, WAIT_MAX_MS));
		held->is_read = true;
		held->part = p;
		held->name = part_name(q);
		held->from = from;
		held->max = max;
		return;
	}
	enum log_outcome rc = log_read(p, from, max, &body);

	reply_delayed(s, c, log_status(rc), 0, &body);
}

static void handle_list(struct store *s, struct http_conn *c,
			const struct query *q)
{
	struct buf body = {0};

	listing_write(find_part(s, q), query_bytes(q, "after"), s->page_items,
		      &body);
	s->lists++;
	reply_delayed(s, c, 200, 0, &body);
}

static void handle_trim(struct store *s, struct http_conn *c,
			const struct query *q)
{
	log_trim(find_part(s, q), (uint64_t)query_int(q, "before", 0));
	reply(s, c, 200, LSTR(""));
}

/* Deletes the history of all topics, but not the newest record of each key. */
static void trim_all(struct store *s)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, s->topics);
	while (g_hash_table_iter_next(&it, NULL, &v))
		log_trim(v, log_end(v));
}

/* Handles a read that waits during a restore, as `how` says. */
static void interrupt_read(struct store *s, struct held_reply *held,
			   const char *how)
{
	struct http_conn *c = held->conn;

	if (!strcmp(how, "reset")) {
		held_reply_free(held);
		http_conn_abort(c);
	} else if (!strcmp(how, "answer")) {
		held->part = get_part(s, held->name);
		send_held_reply(held);
	} else {
		http_conn_set_user(c, NULL);
		held_reply_free(held);
	}
}

/* Restores the backup and interrupts the reads that wait. */
static void restore_backup(struct store *s, const char *how)
{
	GList *reads = g_list_copy(s->held_replies);

	s->topics = backup_restore(&s->backup);
	lease_restart(&s->leases, get_part(s, STORE_TOPIC_BACKENDS "/0"),
		      clock_ms());
	for (GList *l = reads; l; l = l->next) {
		if (g_list_find(s->held_replies, l->data) &&
		    ((struct held_reply *)l->data)->is_read)
			interrupt_read(s, l->data, how);
	}
	g_list_free(reads);
}

static void handle_faults(struct store *s, struct http_conn *c,
			  const struct query *q)
{
	const char *down = query_text(q, "down");
	const char *how = query_text(q, "restore");

	if (down)
		g_strlcpy(s->down, strcmp(down, "no") ? down : "",
			  sizeof(s->down));
	s->slow_ms = (int)query_int(q, "slow_ms", s->slow_ms);
	s->lost_pct = (int)query_int(q, "lost_pct", s->lost_pct);
	s->appends.append_ms =
		(int)query_int(q, "append_ms", s->appends.append_ms);
	backup_set(&s->backup, q);
	s->page_items = (unsigned)query_int(q, "page_items", s->page_items);
	s->leases.changes_only =
		query_int(q, "changes_only", s->leases.changes_only);
	if (query_int(q, "copy", 0))
		backup_save(&s->backup, s->topics);
	if (how)
		restore_backup(s, how);
	if (query_int(q, "forget", 0))
		trim_all(s);
	reply(s, c, 200, LSTR(""));
}

/* If the store is down, responds as such and returns true. */
static bool is_down(struct store *s, struct http_conn *c)
{
	if (!*s->down)
		return false;
	if (!strcmp(s->down, "busy"))
		reply(s, c, 503, LSTR(""));
	else if (!strcmp(s->down, "reset"))
		http_conn_abort(c);
	return true;
}

/* Whether only the operator or backend servers are permitted to write. */
static bool is_protected_topic(const struct query *q)
{
	const char *topic = query_text(q, "topic");

	return topic && (!strcmp(topic, STORE_TOPIC_CONFIG) ||
			 !strcmp(topic, STORE_TOPIC_BACKENDS));
}

/* Dispatches a request by its path. */
static void on_request(void *priv, struct http_conn *c, struct http_message *m)
{
	struct store *s = priv;
	struct query q;
	char *path = query_split(m->target, &q);

	s->calls += g_str_has_prefix(path, "/log-");
	if (!strcmp(path, "/stand/faults"))
		handle_faults(s, c, &q);
	else if (!strcmp(path, "/stand/calls"))
		reply_number(s, c, s->calls);
	else if (!strcmp(path, "/stand/lists"))
		reply_number(s, c, s->lists);
	else if (is_down(s, c))
		g_debug("request ignored: the store is down");
	else if (!strcmp(path, "/log-read"))
		handle_read(s, c, &q);
	else if (!strcmp(path, "/log-newest"))
		handle_list(s, c, &q);
	else if (!strcmp(path, "/log-append") && is_protected_topic(&q))
		reply(s, c, 403, LSTR(""));
	else if (!strcmp(path, "/log-append") || !strcmp(path, "/stand/append"))
		handle_append(s, c, &q, m);
	else if (!strcmp(path, "/log-trim"))
		handle_trim(s, c, &q);
	else
		reply(s, c, 404, LSTR(""));
	g_free(path);
	query_free(&q);
	http_message_free(m);
}

/* The client closed its connection: drops its response. */
static void on_gone(void *priv, struct http_conn *c)
{
	struct held_reply *held = http_conn_user(c);

	if (held)
		held_reply_free(held);
}

static const struct http_server_ops ops = {on_request, on_gone};

static void on_stop(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

/* stand_store_main() runs the store until SIGTERM. Returns 0 or -errno. */
int stand_store_main(const struct deploy *d)
{
	struct store s = {.page_items = LISTING_ITEMS_MAX};
	ev_signal term;
	int rc;

	s.loop = ev_default_loop(EVFLAG_NOENV);
	s.topics = g_hash_table_new(g_str_hash, g_str_equal);
	append_queue_init(&s.appends, d->platform.append_limit_per_s);
	backup_init(&s.backup);
	lease_init(&s.leases, d->platform.member_ttl_ms);
	s.rand = g_rand_new();
	ev_timer_init(&s.lease_timer, on_lease_timer, 0.2, 0.2);
	s.lease_timer.data = &s;
	ev_timer_start(s.loop, &s.lease_timer);
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
