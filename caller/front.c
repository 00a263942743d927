#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "caller/front.h"
#include "common/event.h"
#include "misc/clock.h"

enum { RETRY_AFTER_S = 1, UNKNOWN_RETRY_AFTER_S = 2, MAX_ATTEMPTS = 3 };

static const char *const outcome_names[] = {"done", "not-run", "unknown"};

static enum MHD_Result answer(struct httpd_req *req, unsigned status,
			      enum call_outcome oc, const char *caller_id,
			      const char *body, int retry_after_s)
{
	char ra[16];
	const char *hd[] = {"X-Outcome",
			    outcome_names[oc],
			    "X-Request-Id",
			    caller_id,
			    retry_after_s ? "Retry-After" : NULL,
			    ra,
			    NULL};

	snprintf(ra, sizeof(ra), "%d", retry_after_s);
	return httpd_answer(req, status, body, strlen(body), hd);
}

/* True when one more retry fits in the budget: pct of calls, plus a few. */
static bool retry_allowed(struct entry *e, struct entry_service *s)
{
	uint64_t calls = ck_pr_load_64(&s->count.calls);
	uint64_t retries = ck_pr_load_64(&s->count.retries);

	return retries * 100 <
	       calls * (uint64_t)e->deploy->entry.retry_budget_pct + 1000;
}

struct attempt {
	int tried[MAX_ATTEMPTS];
	int n;
};

/* Picks a worker not tried yet in this call, or -ENOENT. */
static int pick(struct entry_service *s, struct attempt *at, GRand *rnd)
{
	const struct route_policy *p = ck_pr_load_ptr(&s->policy);

	for (int tries = 0; tries < 4; tries++) {
		int k = p->pick(p->priv, &s->pool, rnd);
		bool seen = false;

		if (k < 0)
			return k;
		for (int i = 0; i < at->n; i++)
			seen |= at->tried[i] == k;
		if (!seen)
			return k;
	}
	return -ENOENT;
}

static GRand *thread_rand(void)
{
	static __thread GRand *rnd;

	if (!rnd)
		rnd = g_rand_new();
	return rnd;
}

struct call_ctx {
	struct entry *e;
	struct entry_service *s;
	struct httpd_req *req;
	const char *caller_id;
	const char *key;
	const char *our_id; /* in the request's arena */
	int64_t start_us, deadline_us, backend_us;
	struct dedup_seen seen;
};

/* One forwarded attempt; fills r and says what came of it. */
static enum call_outcome attempt_one(struct call_ctx *c, struct attempt *at,
				     struct http_reply *r, int k)
{
	struct route_worker *w = &c->s->pool.workers[k];
	int64_t t0 = clock_us();
	struct backend_call bc = {
		w->addr,      c->our_id,
		c->key,	      (long)((c->deadline_us - t0) / 1000),
		c->req->body, c->req->body_len,
	};

	at->tried[at->n++] = k;
	ck_pr_inc_uint(&w->outstanding);
	ck_pr_inc_64(&w->picks);
	enum call_outcome oc = backend_call(&c->e->backend, &bc, r);

	ck_pr_dec_uint(&w->outstanding);
	c->backend_us += clock_us() - t0;
	if (r->header_load[0])
		ck_pr_store_uint(
			&w->reported,
			(unsigned)g_ascii_strtoull(r->header_load, NULL, 10));
	/* An answer that is not to our own request is never passed on. */
	if (oc == CALL_DONE && strcmp(r->header_req, c->our_id)) {
		ck_pr_inc_64(&c->s->count.foreign);
		mp_event(EV_CALL_FOREIGN_ANSWER, G_LOG_LEVEL_WARNING,
			 "answer for '%s' came to call '%s' from %s",
			 r->header_req, c->our_id, w->name);
		oc = CALL_UNKNOWN;
	}
	return oc;
}

/*
 * Routes one call. A call that surely did not run may go to another worker;
 * one whose outcome is unknown is retried only when it is not protected
 * (reads are idempotent), and only within the retry budget and deadline.
 */
static enum MHD_Result route_call(struct call_ctx *c)
{
	struct attempt at = {{0}, 0};
	enum call_outcome oc = CALL_NOT_RUN;
	struct http_reply r;
	bool any_worker = false;

	http_reply_init(&r);
	while (at.n < MAX_ATTEMPTS && clock_us() < c->deadline_us) {
		int k = pick(c->s, &at, thread_rand());

		if (k < 0)
			break;
		any_worker = true;
		g_string_truncate(r.body, 0);
		r.header_req[0] = r.header_ran[0] = r.header_load[0] = '\0';
		oc = attempt_one(c, &at, &r, k);
		if (oc == CALL_DONE)
			break;
		if (oc == CALL_UNKNOWN && c->key)
			break;
		if (!retry_allowed(c->e, c->s))
			break;
		ck_pr_inc_64(&c->s->count.retries);
	}
	if (!any_worker) {
		ck_pr_inc_64(&c->s->count.no_worker);
		mp_event(EV_CALL_NO_WORKER, G_LOG_LEVEL_DEBUG,
			 "no eligible worker for %s", c->s->opts->name);
	}
	int64_t total = clock_us() - c->start_us;

	hist_record(&c->s->total, (uint64_t)total);
	hist_record(&c->s->added, (uint64_t)(total - c->backend_us));
	enum MHD_Result ret;

	if (c->key)
		dedup_end(&c->e->dedup, c->s->opts->name, c->key, oc,
			  r.body->str);
	if (oc == CALL_DONE) {
		ck_pr_inc_64(&c->s->count.done);
		ret = answer(c->req, 200, oc, c->caller_id, r.body->str, 0);
	} else if (oc == CALL_NOT_RUN) {
		ck_pr_inc_64(&c->s->count.not_run);
		ret = answer(c->req, 503, oc, c->caller_id,
			     "{\"error\":\"not run\"}", RETRY_AFTER_S);
	} else {
		ck_pr_inc_64(&c->s->count.unknown);
		mp_event(EV_CALL_UNKNOWN_OUTCOME, G_LOG_LEVEL_INFO,
			 "call %s (key %s) to %s: outcome unknown", c->our_id,
			 c->key ? c->key : "-", c->s->opts->name);
		ret = answer(c->req, 504, oc, c->caller_id,
			     "{\"error\":\"outcome unknown; ask again later\"}",
			     UNKNOWN_RETRY_AFTER_S);
	}
	http_reply_clear(&r);
	return ret;
}

static enum MHD_Result refuse(struct httpd_req *req, struct entry_service *s,
			      unsigned status, const char *id, const char *why)
{
	char body[160];

	if (s)
		ck_pr_inc_64(&s->count.rejected);
	snprintf(body, sizeof(body), "{\"error\":\"%s\"}", why);
	return answer(req, status, CALL_NOT_RUN, id ? id : "-", body,
		      status >= 500 ? RETRY_AFTER_S : 0);
}

/* Claims the call's idempotency key; false when it was seen before. */
static bool claim_key(struct call_ctx *c)
{
	c->seen.body = NULL;
	return dedup_begin(&c->e->dedup, c->s->opts->name, c->key, &c->seen);
}

/*
 * Answers a duplicate of a protected call from the first call's outcome:
 * its answer when it is done, otherwise "unknown" with a time to come
 * back. It never runs a second time.
 */
static enum MHD_Result answer_duplicate(struct call_ctx *c)
{
	enum MHD_Result ret;

	ck_pr_inc_64(&c->s->count.duplicates);
	if (c->seen.state == DEDUP_DONE)
		ret = answer(c->req, 200, CALL_DONE, c->caller_id,
			     c->seen.body ? c->seen.body : "{}", 0);
	else
		ret = answer(c->req, 504, CALL_UNKNOWN, c->caller_id,
			     "{\"error\":\"first call with this key has no "
			     "outcome yet\"}",
			     UNKNOWN_RETRY_AFTER_S);
	g_free(c->seen.body);
	return ret;
}

static enum MHD_Result do_call(struct entry *e, struct httpd_req *req,
			       const char *service)
{
	struct call_ctx c = {.e = e, .req = req, .start_us = clock_us()};
	const char *tenant = httpd_header(req, "X-Tenant");
	const char *dl = httpd_header(req, "X-Deadline-Ms");

	c.s = entry_service(e, service);
	c.caller_id = httpd_header(req, "X-Request-Id");
	c.key = httpd_header(req, "Idempotency-Key");
	if (!c.s)
		return refuse(req, NULL, 404, c.caller_id, "no such service");
	ck_pr_inc_64(&c.s->count.calls);
	if (!c.caller_id)
		return refuse(req, c.s, 400, NULL, "X-Request-Id is required");
	if (!tenant || strcmp(tenant, c.s->opts->tenant))
		return refuse(req, c.s, 403, c.caller_id,
			      "service of another tenant");
	if (c.s->opts->protected_action && !c.key)
		return refuse(req, c.s, 400, c.caller_id,
			      "protected action needs an Idempotency-Key");
	if ((int64_t)ck_pr_load_64((uint64_t *)&e->live_version) < 0)
		return refuse(req, c.s, 503, c.caller_id,
			      "configuration not known yet");
	long ms = dl ? strtol(dl, NULL, 10) : e->deploy->entry.deadline_ms;

	if (ms <= 0)
		return refuse(req, c.s, 400, c.caller_id, "bad X-Deadline-Ms");
	c.deadline_us = c.start_us + ms * 1000;
	if (c.key && !claim_key(&c))
		return answer_duplicate(&c);
	c.our_id =
		arena_printf(req->arena, "%s-%llu", e->me->name,
			     (unsigned long long)ck_pr_faa_64(&e->next_req, 1));
	return route_call(&c);
}

static void metrics_service(GString *out, struct entry_service *s)
{
	struct entry_counters *n = &s->count;

	g_string_append_printf(
		out,
		"{\"service\":\"%s\",\"tenant\":\"%s\",\"calls\":%llu,"
		"\"done\":%llu,\"not_run\":%llu,\"unknown\":%llu,"
		"\"retries\":%llu,\"no_worker\":%llu,\"foreign\":%llu,"
		"\"rejected\":%llu,\"duplicates\":%llu,\"p50_us\":%llu,\"p99_"
		"us\":%llu,"
		"\"p999_us\":%llu,\"added_p50_us\":%llu,"
		"\"added_p99_us\":%llu}",
		s->opts->name, s->opts->tenant,
		(unsigned long long)ck_pr_load_64(&n->calls),
		(unsigned long long)ck_pr_load_64(&n->done),
		(unsigned long long)ck_pr_load_64(&n->not_run),
		(unsigned long long)ck_pr_load_64(&n->unknown),
		(unsigned long long)ck_pr_load_64(&n->retries),
		(unsigned long long)ck_pr_load_64(&n->no_worker),
		(unsigned long long)ck_pr_load_64(&n->foreign),
		(unsigned long long)ck_pr_load_64(&n->rejected),
		(unsigned long long)ck_pr_load_64(&n->duplicates),
		(unsigned long long)hist_quantile(&s->total, 0.5),
		(unsigned long long)hist_quantile(&s->total, 0.99),
		(unsigned long long)hist_quantile(&s->total, 0.999),
		(unsigned long long)hist_quantile(&s->added, 0.5),
		(unsigned long long)hist_quantile(&s->added, 0.99));
}

/* Resident memory in KiB, from /proc/self/statm. */
static long rss_kib(void)
{
	long pages = 0, rss = 0;
	FILE *f = fopen("/proc/self/statm", "r");

	if (f) {
		if (fscanf(f, "%ld %ld", &pages, &rss) != 2)
			rss = 0;
		fclose(f);
	}
	return rss * (sysconf(_SC_PAGESIZE) / 1024);
}

static enum MHD_Result do_metrics(struct entry *e, struct httpd_req *req)
{
	GString *out = g_string_new(NULL);

	g_string_printf(
		out,
		"{\"entry\":\"%s\",\"version\":%lld,\"control_cpu_us\":%llu,"
		"\"control_bytes_in\":%llu,\"control_bytes_out\":%llu,"
		"\"control_requests\":%llu,\"rss_kib\":%ld,\"services\":[",
		e->me->name,
		(long long)ck_pr_load_64((uint64_t *)&e->live_version),
		(unsigned long long)ck_pr_load_64(&e->cost.cpu_us),
		(unsigned long long)ck_pr_load_64(&e->cost.bytes_in),
		(unsigned long long)ck_pr_load_64(&e->cost.bytes_out),
		(unsigned long long)ck_pr_load_64(&e->cost.requests),
		rss_kib());
	for (unsigned i = 0; i < e->n_services; i++) {
		if (i)
			g_string_append_c(out, ',');
		metrics_service(out, &e->services[i]);
	}
	g_string_append(out, "]}");
	enum MHD_Result ret = httpd_answer(req, 200, out->str, out->len, NULL);

	g_string_free(out, TRUE);
	return ret;
}

static enum MHD_Result do_entries(struct entry *e, struct httpd_req *req)
{
	pthread_mutex_lock(&e->entries_lock);
	char *body =
		g_strdup_printf("{\"entries\":%s,\"ttl_s\":%d}",
				e->entries_json, e->deploy->entry.answer_ttl_s);

	pthread_mutex_unlock(&e->entries_lock);
	enum MHD_Result ret = httpd_answer(req, 200, body, strlen(body), NULL);

	g_free(body);
	return ret;
}

static enum MHD_Result handle(void *ctx, struct httpd_req *req)
{
	struct front *f = ctx;
	struct entry *e = f->entry;
	const char *call = "/v1/call/";
	enum MHD_Result ret;

	ck_pr_inc_uint(&e->in_flight);
	if (g_str_has_prefix(req->url, call) && !strcmp(req->method, "POST"))
		ret = do_call(e, req, req->url + strlen(call));
	else if (!strcmp(req->url, "/v1/entries"))
		ret = do_entries(e, req);
	else if (!strcmp(req->url, "/admin/metrics"))
		ret = do_metrics(e, req);
	else
		ret = refuse(req, NULL, 404, "-", "no such path");
	ck_pr_dec_uint(&e->in_flight);
	return ret;
}

/* front_start() listens on the entry's address. */
int front_start(struct front *f, struct entry *e)
{
	f->entry = e;
	return httpd_start(&f->http, e->me->listen, 0, handle, f);
}

/*
 * front_drain() stops taking connections, waits up to wait_ms for every
 * call in flight to get its answer, then stops the daemon: a planned stop
 * cuts no call in flight.
 */
void front_drain(struct front *f, int wait_ms)
{
	httpd_drain(&f->http, wait_ms);
}
