#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tools/fetch.h"
#include "tools/load.h"

enum { FETCH_TIMEOUT_MS = 1000 };

/* Violations that the servers' own records show. */
struct run_check {
	uint64_t duplicates, false_not_run, probes, late;
};

/* Collects the addresses of an entry list ("addr":"a.b.c.d:port"). */
static void parse_addresses(const char *json, GPtrArray *found)
{
	static const char name[] = "\"addr\":\"";
	const char *p = json, *end;

	while ((p = strstr(p, name))) {
		p += strlen(name);
		end = strchr(p, '"');
		if (!end)
			return;
		g_ptr_array_add(found, g_strndup(p, (gsize)(end - p)));
	}
}

/* Uses a single entry instance, whether it is listed or not. */
static int use_entry(struct load *l, const char *name)
{
	const struct entry_opts *en = deploy_entry(l->deploy, name);

	if (!en)
		return -ENOENT;
	l->nentries = 1;
	l->entries = g_new0(char *, 2);
	l->entries[0] = g_strdup(en->listen);
	return 0;
}

/* Gets the list of entry instances from one of them, as a caller does. */
static void fetch_entries(struct load *l)
{
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; i < l->deploy->entries->len && !found->len; i++) {
		const struct entry_opts *en = l->deploy->entries->pdata[i];
		struct buf body = {0};

		if (fetch(en->listen, "GET", "/v1/entries", FETCH_TIMEOUT_MS,
			  &body) == 200) {
			buf_add(&body, "", 1);
			parse_addresses(body.ptr, found);
		}
		buf_free(&body);
	}
	l->nentries = found->len;
	if (l->args->entries > 0 && (guint)l->args->entries < found->len)
		l->nentries = (unsigned)l->args->entries;
	g_ptr_array_add(found, NULL);
	l->entries = (char **)g_ptr_array_free(found, FALSE);
}

/* Checks one line of a server's statistics. */
static void check_stats_line(const struct service_load *s, const char *line,
			     struct run_check *rc)
{
	uint64_t n;
	char key[64];
	int runs;

	/* NOLINTBEGIN(cert-err34-c): written by stand/server_stats.c */
	if (sscanf(line, "probes %" SCNu64, &n) == 1)
		rc->probes += n;
	else if (sscanf(line, "late %" SCNu64, &n) == 1)
		rc->late += n;
	else if (sscanf(line, "ran %63s %d", key, &runs) == 2) {
		if (runs > 1 && key[0] == 'K')
			rc->duplicates++;
		if (g_hash_table_contains(s->reported_not_run, key))
			rc->false_not_run++;
	}
	/* NOLINTEND(cert-err34-c) */
}

/* Fetches and checks the statistics of one server. */
static void check_server(const struct service_load *s, int index,
			 struct run_check *rc)
{
	struct buf body = {0};
	gchar **lines;
	char addr[32];

	deploy_worker_addr(s->opts, index, addr, sizeof(addr));
	if (fetch(addr, "GET", "/stand/stats", FETCH_TIMEOUT_MS, &body) ==
	    200) {
		buf_add(&body, "", 1);
		lines = g_strsplit(body.ptr, "\n", -1);
		for (gchar **p = lines; *p; p++)
			check_stats_line(s, *p, rc);
		g_strfreev(lines);
	}
	buf_free(&body);
}

/* Prints the results of one service. */
static void print_service(const struct service_load *s)
{
	printf("%-8s %-12s %7" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6" PRIu64
	       " %6" PRIu64 " %8.2f %8.2f %8.2f\n",
	       s->opts->tenant, s->opts->name, s->calls, s->done, s->not_run,
	       s->unknown, s->refused, hist_quantile(&s->hist, 0.5) / 1000.0,
	       hist_quantile(&s->hist, 0.99) / 1000.0,
	       hist_quantile(&s->hist, 0.999) / 1000.0);
}

/* Prints the results of all services and of the checks. */
static void report(const struct load *l, const struct run_check *rc)
{
	uint64_t all = 0, foreign = 0, cut = 0;

	printf("%-8s %-12s %7s %7s %6s %6s %6s %8s %8s %8s\n", "tenant",
	       "service", "calls", "done", "notrun", "unkn", "refus", "p50_ms",
	       "p99_ms", "p999_ms");
	for (unsigned i = 0; i < l->nservices; i++) {
		print_service(&l->services[i]);
		all += l->services[i].calls;
		foreign += l->services[i].foreign;
		cut += l->services[i].cut;
	}
	printf("calls cut in flight %" PRIu64 "\n", cut);
	printf("calls %" PRIu64
	       " over %d s (%.0f/s); probes at servers %" PRIu64 "\n",
	       all, l->args->seconds, (double)all / l->args->seconds,
	       rc->probes);
	printf("invariants: foreign responses %" PRIu64
	       ", protected calls run twice %" PRIu64
	       ", reported not-run but ran %" PRIu64
	       ", new work after leaving %" PRIu64 "\n",
	       foreign, rc->duplicates, rc->false_not_run, rc->late);
}

/* Selects the services to call. */
static void add_services(struct load *l)
{
	const struct deploy *d = l->deploy;

	l->services = g_new0(struct service_load, d->services->len);
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *o = d->services->pdata[i];
		struct service_load *s = &l->services[l->nservices];

		if ((l->args->only_tenant &&
		     strcmp(l->args->only_tenant, o->tenant)) ||
		    (l->args->only_service &&
		     strcmp(l->args->only_service, o->name)))
			continue;
		l->nservices++;
		s->opts = o;
		s->weight = o->workers * o->slots;
		s->reported_not_run = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		l->total_weight += s->weight;
	}
}

/* Frees what load_main() allocated. */
static void load_free(struct load *l)
{
	for (unsigned i = 0; i < l->nservices; i++)
		g_hash_table_unref(l->services[i].reported_not_run);
	g_free(l->services);
	g_strfreev(l->entries);
	g_rand_free(l->rand);
}

/*
 * load_main() generates the load and checks the results. Returns 0, -ENOTCONN
 * if no entry responded, or -EPROTO if an invariant was violated: a response to
 * another call, a protected call that ran twice, or one that ran although it
 * was reported as not run.
 */
int load_main(const struct deploy *d, const struct load_args *a)
{
	struct load l = {.deploy = d, .args = a};
	struct run_check rc = {0};
	uint64_t foreign = 0;

	l.rand = g_rand_new_with_seed(a->seed);
	l.run_id = (uint64_t)g_get_real_time() & 0xffffffff;
	add_services(&l);
	if (a->entry && use_entry(&l, a->entry)) {
		fprintf(stderr, "load: no entry is called %s\n", a->entry);
		load_free(&l);
		return -ENOENT;
	}
	if (!a->entry)
		fetch_entries(&l);
	if ((!l.nentries && !a->direct) || !l.nservices) {
		fprintf(stderr, "load: no entry returned an instance list\n");
		load_free(&l);
		return -ENOTCONN;
	}
	printf("load: seed %u, %d calls/s for %d s, at most %d in flight, "
	       "%s\n",
	       a->seed, a->rate, a->seconds, a->concurrency,
	       a->direct ? "directly to the servers" : "through the entries");
	load_run(&l);
	for (unsigned i = 0; i < l.nservices; i++) {
		for (int k = 0; k < l.services[i].opts->workers; k++)
			check_server(&l.services[i], k, &rc);
		foreign += l.services[i].foreign;
	}
	report(&l, &rc);
	load_free(&l);
	return foreign || rc.duplicates || rc.false_not_run ? -EPROTO : 0;
}
