#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "misc/clock.h"
#include "misc/hist.h"
#include "misc/http.h"
#include "tools/tools.h"

enum { LOAD_DEADLINE_MS = 1000, LOAD_SLACK_MS = 500 };

struct svc_load {
	const struct service_opts *opts;
	struct hist hist;
	uint64_t calls, done, not_run, unknown, refused, foreign;
	uint64_t cut; /* sent, then the connection closed without answer */
	GHashTable *told_not_run; /* idempotency keys, for the check */
	int weight;
};

struct call {
	CURL *curl;
	struct http_reply reply;
	struct curl_slist *headers;
	struct svc_load *svc;
	char id[48], key[48];
	int64_t start_us;
	bool busy;
};

struct load {
	const struct deploy *deploy;
	const struct load_args *args;
	struct svc_load *svcs;
	unsigned n_svcs;
	int total_weight;
	char **entries; /* addresses the entry list gave */
	unsigned n_entries;
	GRand *rnd;
	uint64_t seq;
	uint64_t run_id; /* keeps keys of two runs with one seed apart */
};

/* Asks an entry which entries to use, as a caller does. */
static void ask_entries(struct load *l)
{
	GPtrArray *found = g_ptr_array_new();
	CURL *c = http_handle();

	for (guint i = 0; i < l->deploy->entries->len && !found->len; i++) {
		const struct entry_opts *en = l->deploy->entries->pdata[i];
		char url[96];
		struct http_reply r;
		JsonParser *p = json_parser_new();

		snprintf(url, sizeof(url), "http://%s/v1/entries", en->listen);
		http_reply_init(&r);
		if (!http_do(c, "GET", url, NULL, 0, NULL, 1000, &r) &&
		    json_parser_load_from_data(p, r.body->str, -1, NULL)) {
			JsonObject *o =
				json_node_get_object(json_parser_get_root(p));
			JsonArray *a =
				json_object_get_array_member(o, "entries");

			for (guint k = 0; a && k < json_array_get_length(a);
			     k++)
				g_ptr_array_add(
					found,
					g_strdup(json_object_get_string_member(
						json_array_get_object_element(
							a, k),
						"addr")));
		}
		http_reply_clear(&r);
		g_object_unref(p);
	}
	curl_easy_cleanup(c);
	l->n_entries = found->len;
	g_ptr_array_add(found, NULL);
	l->entries = (char **)g_ptr_array_free(found, FALSE);
}

static struct svc_load *pick_service(struct load *l)
{
	int x = g_rand_int_range(l->rnd, 0, l->total_weight);

	for (unsigned i = 0; i < l->n_svcs; i++) {
		x -= l->svcs[i].weight;
		if (x < 0)
			return &l->svcs[i];
	}
	return &l->svcs[l->n_svcs - 1];
}

static void start_call(struct load *l, CURLM *multi, struct call *c)
{
	char url[128], hdr[4][96];
	uint64_t n = l->seq++;

	c->svc = pick_service(l);
	snprintf(c->id, sizeof(c->id), "L%u-%llu", l->args->seed,
		 (unsigned long long)n);
	if (l->args->direct) {
		char addr[32];
		int k = g_rand_int_range(l->rnd, 0, c->svc->opts->workers);

		deploy_worker_addr(c->svc->opts, k, addr, sizeof(addr));
		snprintf(url, sizeof(url), "http://%s/v1/work", addr);
	} else {
		snprintf(url, sizeof(url), "http://%s/v1/call/%s",
			 l->entries[n % l->n_entries], c->svc->opts->name);
	}
	snprintf(hdr[0], sizeof(hdr[0]), "X-Request-Id: %s", c->id);
	snprintf(hdr[1], sizeof(hdr[1]), "X-Tenant: %s", c->svc->opts->tenant);
	snprintf(hdr[2], sizeof(hdr[2]), "X-Deadline-Ms: %d", LOAD_DEADLINE_MS);
	c->headers = curl_slist_append(NULL, hdr[0]);
	c->headers = curl_slist_append(c->headers, hdr[1]);
	c->headers = curl_slist_append(c->headers, hdr[2]);
	c->key[0] = '\0';
	if (c->svc->opts->protected_action) {
		snprintf(c->key, sizeof(c->key), "K%u-%llx-%llu", l->args->seed,
			 (unsigned long long)l->run_id, (unsigned long long)n);
		snprintf(hdr[3], sizeof(hdr[3]), "Idempotency-Key: %s", c->key);
		c->headers = curl_slist_append(c->headers, hdr[3]);
	}
	http_reply_init(&c->reply);
	http_prepare(c->curl, "POST", url, "{}", 2, c->headers,
		     LOAD_DEADLINE_MS + LOAD_SLACK_MS, &c->reply);
	c->start_us = clock_us();
	c->busy = true;
	curl_multi_add_handle(multi, c->curl);
}

static void finish_call(struct call *c, CURLcode code)
{
	struct svc_load *s = c->svc;

	if (!c->busy || !s)
		return;
	http_finish(c->curl, code, &c->reply);
	hist_record(&s->hist, (uint64_t)(clock_us() - c->start_us));
	s->calls++;
	if (code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR ||
	    code == CURLE_PARTIAL_FILE || code == CURLE_SEND_ERROR)
		s->cut++;
	if (code == CURLE_OK && strcmp(c->reply.header_req, c->id))
		s->foreign++; /* never to be seen: another caller's answer */
	else if (!strcmp(c->reply.header_outcome, "done") ||
		 (c->reply.status == 200 && !strcmp(c->reply.header_ran, "1")))
		s->done++;
	else if (!strcmp(c->reply.header_outcome, "not-run") &&
		 c->reply.status >= 500) {
		s->not_run++;
		if (c->key[0])
			g_hash_table_add(s->told_not_run, g_strdup(c->key));
	} else if (!strcmp(c->reply.header_outcome, "unknown")) {
		s->unknown++;
	} else {
		s->refused++;
	}
	curl_slist_free_all(c->headers);
	http_reply_clear(&c->reply);
	c->busy = false;
}

/* Drives the open-loop schedule: rate calls a second, capped in flight. */
static void drive(struct load *l)
{
	int conc = l->args->concurrency;
	struct call *calls = g_new0(struct call, conc);
	CURLM *multi = curl_multi_init();
	int64_t t0 = clock_us(), end = t0 + (int64_t)l->args->seconds * 1000000;
	double gap_us = 1e6 / l->args->rate;
	uint64_t started = 0;
	int running = 0;

	for (int i = 0; i < conc; i++)
		calls[i].curl = http_handle();
	while (clock_us() < end || running) {
		int64_t now = clock_us();

		for (int i = 0; i < conc && now < end; i++) {
			if (calls[i].busy ||
			    (double)(now - t0) < (double)started * gap_us)
				continue;
			start_call(l, multi, &calls[i]);
			started++;
		}
		curl_multi_perform(multi, &running);
		CURLMsg *m;
		int left;

		while ((m = curl_multi_info_read(multi, &left))) {
			for (int i = 0; i < conc; i++) {
				if (calls[i].curl != m->easy_handle)
					continue;
				curl_multi_remove_handle(multi, calls[i].curl);
				finish_call(&calls[i], m->data.result);
			}
		}
		curl_multi_poll(multi, NULL, 0, 1, NULL);
	}
	for (int i = 0; i < conc; i++)
		curl_easy_cleanup(calls[i].curl);
	curl_multi_cleanup(multi);
	g_free(calls);
}

struct ran_check {
	uint64_t twice, lied, probes, late;
};

/* Reads one worker's record of what it ran and checks the caller's view. */
static void check_worker(struct load *l, CURL *c, struct svc_load *s, int index,
			 struct ran_check *rc)
{
	char addr[32], url[96];
	struct http_reply r;
	JsonParser *p = json_parser_new();

	deploy_worker_addr(s->opts, index, addr, sizeof(addr));
	snprintf(url, sizeof(url), "http://%s/v1/stats", addr);
	http_reply_init(&r);
	if (!http_do(c, "GET", url, NULL, 0, NULL, 1000, &r) &&
	    json_parser_load_from_data(p, r.body->str, -1, NULL)) {
		JsonObject *o = json_node_get_object(json_parser_get_root(p));
		JsonObject *ran = json_object_get_object_member(o, "ran");
		GList *keys = ran ? json_object_get_members(ran) : NULL;

		rc->probes += (uint64_t)json_object_get_int_member(o, "probes");
		rc->late += (uint64_t)json_object_get_int_member(
			o, "late_after_leave");
		for (GList *k = keys; k; k = k->next) {
			if (json_object_get_int_member(ran, k->data) > 1)
				rc->twice++;
			if (g_hash_table_contains(s->told_not_run, k->data))
				rc->lied++;
		}
		g_list_free(keys);
	}
	http_reply_clear(&r);
	g_object_unref(p);
}

static void report(struct load *l, const struct ran_check *rc)
{
	uint64_t all = 0, foreign = 0, cut = 0;

	printf("%-8s %-12s %7s %7s %6s %6s %6s %8s %8s %8s\n", "tenant",
	       "service", "calls", "done", "notrun", "unkn", "refus", "p50_ms",
	       "p99_ms", "p999_ms");
	for (unsigned i = 0; i < l->n_svcs; i++) {
		struct svc_load *s = &l->svcs[i];

		printf("%-8s %-12s %7llu %7llu %6llu %6llu %6llu %8.2f %8.2f "
		       "%8.2f\n",
		       s->opts->tenant, s->opts->name,
		       (unsigned long long)s->calls,
		       (unsigned long long)s->done,
		       (unsigned long long)s->not_run,
		       (unsigned long long)s->unknown,
		       (unsigned long long)s->refused,
		       hist_quantile(&s->hist, 0.5) / 1000.0,
		       hist_quantile(&s->hist, 0.99) / 1000.0,
		       hist_quantile(&s->hist, 0.999) / 1000.0);
		all += s->calls;
		foreign += s->foreign;
		cut += s->cut;
	}
	printf("calls cut in flight %llu\n", (unsigned long long)cut);
	printf("calls %llu over %d s (%.0f/s); probes at workers %llu\n",
	       (unsigned long long)all, l->args->seconds,
	       (double)all / l->args->seconds, (unsigned long long)rc->probes);
	printf("invariants: foreign answers %llu, protected runs twice %llu, "
	       "told not-run but ran %llu, new work after leaving %llu\n",
	       (unsigned long long)foreign, (unsigned long long)rc->twice,
	       (unsigned long long)rc->lied, (unsigned long long)rc->late);
}

static void load_free(struct load *l)
{
	for (unsigned i = 0; i < l->n_svcs; i++)
		g_hash_table_unref(l->svcs[i].told_not_run);
	g_free(l->svcs);
	g_strfreev(l->entries);
	g_rand_free(l->rnd);
}

/*
 * load_main() drives both tenants' workloads through the entries, then
 * checks what callers were told against the workers' own records. Returns
 * 0, -ENOTCONN when no entry answered, or -EPROTO when an invariant broke
 * (a foreign answer, a protected action run twice, a false "not run").
 */
int load_main(const struct deploy *d, const struct load_args *a)
{
	struct load l = {.deploy = d, .args = a};
	struct ran_check rc = {0};
	uint64_t foreign = 0;

	l.rnd = g_rand_new_with_seed(a->seed);
	l.run_id = (uint64_t)g_get_real_time();
	l.svcs = g_new0(struct svc_load, d->services->len);
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *o = d->services->pdata[i];

		if ((a->only_tenant && strcmp(a->only_tenant, o->tenant)) ||
		    (a->only_service && strcmp(a->only_service, o->name)))
			continue;
		struct svc_load *s = &l.svcs[l.n_svcs++];

		s->opts = o;
		s->weight = o->workers * o->slots;
		s->told_not_run = g_hash_table_new_full(g_str_hash, g_str_equal,
							g_free, NULL);
		l.total_weight += s->weight;
	}
	ask_entries(&l);
	if ((!l.n_entries && !a->direct) || !l.n_svcs) {
		fprintf(stderr, "load: no entry answered with a live list\n");
		load_free(&l);
		return -ENOTCONN;
	}
	printf("load: seed %u, %d calls/s for %d s, %d in flight at most, "
	       "%s\n",
	       a->seed, a->rate, a->seconds, a->concurrency,
	       a->direct ? "straight to the workers" : "through the entries");
	drive(&l);
	CURL *c = http_handle();

	for (unsigned i = 0; i < l.n_svcs; i++) {
		for (int k = 0; k < l.svcs[i].opts->workers; k++)
			check_worker(&l, c, &l.svcs[i], k, &rc);
		foreign += l.svcs[i].foreign;
	}
	curl_easy_cleanup(c);
	report(&l, &rc);
	load_free(&l);
	return foreign || rc.twice || rc.lied ? -EPROTO : 0;
}
