#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "common/event.h"
#include "common/signals.h"
#include "misc/clock.h"
#include "misc/httpd.h"
#include "stand/stand.h"

struct stream {
	GPtrArray *records; /* char *, JSON object text */
	GArray *times_ms;   /* int64_t, when each was appended */
	int64_t first;	    /* offset of records[0] */
};

struct member {
	char *role, *addr, *dc;
	char *state;	    /* what the instance last said */
	char *shown;	    /* what the list shows; lags behind state */
	int64_t changed_ms; /* when state last changed */
	int64_t seen_ms;    /* last heartbeat */
};

struct platform {
	const struct platform_opts *opts;
	pthread_mutex_t lock;
	GHashTable *streams;	  /* name -> struct stream * */
	GHashTable *members;	  /* name -> struct member * */
	uint64_t members_version; /* bumped when the shown list changes */
	int64_t window_ms;
	int window_appends;
	bool outage;
	int slow_ms;
	int drop_ack_pct;
	GRand *rnd;
};

/* Drops records older than the retention; the first offset moves on. */
static void expire(struct platform *pf, struct stream *st, int64_t now)
{
	int64_t keep_after = now - (int64_t)pf->opts->retention_s * 1000;
	guint n = 0;

	while (n < st->times_ms->len &&
	       g_array_index(st->times_ms, int64_t, n) < keep_after)
		n++;
	if (!n)
		return;
	g_ptr_array_remove_range(st->records, 0, n);
	g_array_remove_range(st->times_ms, 0, n);
	st->first += n;
}

static struct stream *stream_get(struct platform *pf, const char *name)
{
	struct stream *st = g_hash_table_lookup(pf->streams, name);

	if (!st) {
		st = g_new0(struct stream, 1);
		st->records = g_ptr_array_new_with_free_func(g_free);
		st->times_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
		g_hash_table_insert(pf->streams, g_strdup(name), st);
	}
	return st;
}

/* True when one more append fits in this second's limit. */
static bool append_allowed(struct platform *pf, int64_t now)
{
	if (now - pf->window_ms >= 1000) {
		pf->window_ms = now;
		pf->window_appends = 0;
	}
	return pf->window_appends++ < pf->opts->append_limit_per_s;
}

static enum MHD_Result answer_json(struct httpd_req *req, unsigned status,
				   const char *text)
{
	return httpd_answer(req, status, text, strlen(text), NULL);
}

static enum MHD_Result do_append(struct platform *pf, struct httpd_req *req,
				 const char *name)
{
	JsonParser *p;
	bool ok = httpd_body_object(req, &p) != NULL;
	char out[64];
	bool drop;

	g_object_unref(p);
	if (!ok)
		return answer_json(req, 400,
				   "{\"error\":\"not a JSON object\"}");
	int64_t now = clock_ms();

	pthread_mutex_lock(&pf->lock);
	if (!append_allowed(pf, now)) {
		pthread_mutex_unlock(&pf->lock);
		return answer_json(req, 429,
				   "{\"error\":\"append limit reached\"}");
	}
	struct stream *st = stream_get(pf, name);

	expire(pf, st, now);
	g_ptr_array_add(st->records, g_strndup(req->body, req->body_len));
	g_array_append_val(st->times_ms, now);
	snprintf(out, sizeof(out), "{\"offset\":%lld}",
		 (long long)(st->first + st->records->len - 1));
	drop = g_rand_int_range(pf->rnd, 0, 100) < pf->drop_ack_pct;
	pthread_mutex_unlock(&pf->lock);
	if (drop)
		return MHD_NO; /* applied, but the answer is lost */
	return answer_json(req, 200, out);
}

static enum MHD_Result do_read(struct platform *pf, struct httpd_req *req,
			       const char *name)
{
	const char *fs = httpd_arg(req, "from"), *ls = httpd_arg(req, "limit");
	int64_t from = fs ? g_ascii_strtoll(fs, NULL, 10) : 0;
	int64_t limit = ls ? g_ascii_strtoll(ls, NULL, 10) : 1000;
	GString *out = g_string_new(NULL);
	unsigned status = 200;

	pthread_mutex_lock(&pf->lock);
	struct stream *st = stream_get(pf, name);
	int64_t next = st->first + st->records->len;

	expire(pf, st, clock_ms());
	if (from < 0)
		from = next + from < st->first ? st->first : next + from;
	if (from < st->first) {
		status = 410;
		g_string_printf(out,
				"{\"error\":\"offset expired\",\"first\":%lld}",
				(long long)st->first);
	} else {
		g_string_printf(out,
				"{\"first\":%lld,\"next\":%lld,"
				"\"records\":[",
				(long long)st->first, (long long)next);
		for (int64_t o = from; o < next && o < from + limit; o++)
			g_string_append_printf(
				out, "%s{\"offset\":%lld,\"record\":%s}",
				o == from ? "" : ",", (long long)o,
				(char *)st->records->pdata[o - st->first]);
		g_string_append(out, "]}");
	}
	pthread_mutex_unlock(&pf->lock);
	enum MHD_Result ret =
		httpd_answer(req, status, out->str, out->len, NULL);

	g_string_free(out, TRUE);
	return ret;
}

static void member_free(gpointer p)
{
	struct member *m = p;

	g_free(m->role);
	g_free(m->addr);
	g_free(m->dc);
	g_free(m->state);
	g_free(m->shown);
	g_free(m);
}

static enum MHD_Result do_member_put(struct platform *pf, struct httpd_req *req,
				     const char *name)
{
	JsonParser *p;
	JsonObject *o = httpd_body_object(req, &p);

	if (!o) {
		g_object_unref(p);
		return answer_json(req, 400, "{\"error\":\"bad member\"}");
	}
	const char *state =
		json_object_get_string_member_with_default(o, "state", "live");
	int64_t now = clock_ms();

	pthread_mutex_lock(&pf->lock);
	struct member *m = g_hash_table_lookup(pf->members, name);

	if (!m) {
		m = g_new0(struct member, 1);
		m->role = g_strdup(json_object_get_string_member_with_default(
			o, "role", ""));
		m->addr = g_strdup(json_object_get_string_member_with_default(
			o, "addr", ""));
		m->dc = g_strdup(json_object_get_string_member_with_default(
			o, "dc", ""));
		m->shown = g_strdup("absent");
		g_hash_table_insert(pf->members, g_strdup(name), m);
	}
	if (g_strcmp0(m->state, state)) {
		g_free(m->state);
		m->state = g_strdup(state);
		m->changed_ms = now;
	}
	m->seen_ms = now;
	pthread_mutex_unlock(&pf->lock);
	g_object_unref(p);
	return answer_json(req, 200, "{}");
}

/*
 * Lets the shown list catch up with changes older than the lag, and drops
 * members whose heartbeats stopped (locked). Every change to what the list
 * shows bumps members_version, which is the list's ETag.
 */
static void members_catch_up(struct platform *pf, int64_t now)
{
	GHashTableIter it;
	gpointer k, v;

	g_hash_table_iter_init(&it, pf->members);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		struct member *m = v;

		if (now - m->seen_ms > pf->opts->member_ttl_ms) {
			g_hash_table_iter_remove(&it);
			pf->members_version++;
			continue;
		}
		if (now - m->changed_ms >= pf->opts->member_lag_ms &&
		    g_strcmp0(m->shown, m->state)) {
			g_free(m->shown);
			m->shown = g_strdup(m->state);
			pf->members_version++;
		}
	}
}

static void members_json(struct platform *pf, const char *role, GString *out)
{
	GHashTableIter it;
	gpointer k, v;
	bool first = true;

	g_string_append(out, "{\"members\":[");
	g_hash_table_iter_init(&it, pf->members);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		struct member *m = v;

		if ((role && g_strcmp0(role, m->role)) ||
		    !g_strcmp0(m->shown, "absent"))
			continue;
		g_string_append_printf(out,
				       "%s{\"name\":\"%s\",\"role\":\"%s\","
				       "\"addr\":\"%s\",\"dc\":\"%s\","
				       "\"state\":\"%s\"}",
				       first ? "" : ",", (char *)k, m->role,
				       m->addr, m->dc, m->shown);
		first = false;
	}
	g_string_append(out, "]}");
}

static enum MHD_Result do_members(struct platform *pf, struct httpd_req *req)
{
	const char *inm = httpd_header(req, "If-None-Match");
	GString *out = g_string_new(NULL);
	char etag[32];
	unsigned status = 200;

	pthread_mutex_lock(&pf->lock);
	members_catch_up(pf, clock_ms());
	snprintf(etag, sizeof(etag), "\"m%llu\"",
		 (unsigned long long)pf->members_version);
	if (inm && !strcmp(inm, etag))
		status = 304;
	else
		members_json(pf, httpd_arg(req, "role"), out);
	pthread_mutex_unlock(&pf->lock);
	const char *hd[] = {"ETag", etag, NULL};
	enum MHD_Result ret = httpd_answer(req, status, out->str, out->len, hd);

	g_string_free(out, TRUE);
	return ret;
}

static enum MHD_Result do_faults(struct platform *pf, struct httpd_req *req)
{
	JsonParser *p;
	JsonObject *o = httpd_body_object(req, &p);

	if (o) {
		pthread_mutex_lock(&pf->lock);
		pf->outage = json_object_get_boolean_member_with_default(
			o, "outage", pf->outage);
		pf->slow_ms = (int)json_object_get_int_member_with_default(
			o, "slow_ms", pf->slow_ms);
		pf->drop_ack_pct = (int)json_object_get_int_member_with_default(
			o, "drop_ack_pct", pf->drop_ack_pct);
		pthread_mutex_unlock(&pf->lock);
	}
	g_object_unref(p);
	return answer_json(req, 200, "{}");
}

static enum MHD_Result handle(void *ctx, struct httpd_req *req)
{
	struct platform *pf = ctx;
	const char *stream = "/v1/streams/", *member = "/v1/members/";

	if (!strcmp(req->url, "/v1/faults"))
		return do_faults(pf, req);
	pthread_mutex_lock(&pf->lock);
	bool outage = pf->outage;
	int slow = pf->slow_ms;

	pthread_mutex_unlock(&pf->lock);
	if (slow)
		usleep((useconds_t)slow * 1000);
	if (outage)
		return answer_json(req, 503, "{\"error\":\"outage\"}");
	bool post = !strcmp(req->method, "POST");

	if (g_str_has_prefix(req->url, stream) && post)
		return do_append(pf, req, req->url + strlen(stream));
	if (g_str_has_prefix(req->url, stream))
		return do_read(pf, req, req->url + strlen(stream));
	if (g_str_has_prefix(req->url, member))
		return do_member_put(pf, req, req->url + strlen(member));
	if (!strcmp(req->url, "/v1/members"))
		return do_members(pf, req);
	return answer_json(req, 404, "{\"error\":\"no such path\"}");
}

/*
 * stand_platform_main() runs the platform stand-in until SIGTERM or
 * SIGINT. Returns 0, or a negative errno when it cannot listen.
 */
int stand_platform_main(const struct deploy *d)
{
	struct platform pf = {.opts = &d->platform};
	struct httpd http;
	int ret;

	pthread_mutex_init(&pf.lock, NULL);
	pf.streams = g_hash_table_new(g_str_hash, g_str_equal);
	pf.members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   member_free);
	pf.rnd = g_rand_new();
	ret = httpd_start(&http, d->platform.listen, 0, handle, &pf);
	if (ret) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "cannot listen on %s", d->platform.listen);
		return ret;
	}
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE, "platform on %s",
		 d->platform.listen);
	signals_wait_stop();
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE, "platform stopping");
	httpd_stop(&http);
	return 0;
}
