#include <inttypes.h>

#include "misc/clock.h"
#include "traffic/request.h"
#include "misc/text.h"
#include "traffic/workspace_metrics.h"

enum {
	LARGEST_SHOWN = 10, /* workspaces with metrics of their own */
	USE_BUCKETS = 5,    /* that a window of the quota is divided into */
};

/* Requests of one workspace by their outcome. */
struct workspace_counts {
	uint64_t requests;
	uint64_t served;
	uint64_t beyond_quota; /* 429 */
	uint64_t refused;      /* otherwise not executed: 503 */
	uint64_t failed;       /* the rest, and callers that left */
};

struct workspace_stats {
	char *name;
	struct workspace_counts counts;
	/* Requests that may have been executed, by time; a ring. */
	unsigned used[USE_BUCKETS];
	int64_t bucket; /* number of the newest one */
};

static void free_stats(gpointer data)
{
	struct workspace_stats *s = data;

	g_free(s->name);
	g_free(s);
}

/* Returns a workspace of the configuration by its name, or NULL. */
static const struct workspace *find_workspace(const struct workspaces *w,
					      const char *name)
{
	for (size_t i = 0; i < w->n; i++) {
		if (lstr_eq(w->list[i].name, lstr0(name)))
			return &w->list[i];
	}
	return NULL;
}

/* workspace_metrics_configured() forgets workspaces that were removed. */
void workspace_metrics_configured(struct traffic *t)
{
	GHashTableIter it;
	gpointer name;

	if (!t->workspace_stats)
		return;
	g_hash_table_iter_init(&it, t->workspace_stats);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (!find_workspace(&t->config->workspaces, name))
			g_hash_table_iter_remove(&it);
	}
}

static struct workspace_stats *get_stats(struct traffic *t, struct lstr name)
{
	char *key = g_strndup(name.ptr, name.len);
	struct workspace_stats *s;

	if (!t->workspace_stats)
		t->workspace_stats = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, free_stats);
	s = g_hash_table_lookup(t->workspace_stats, key);
	if (s) {
		g_free(key);
		return s;
	}
	s = g_new0(struct workspace_stats, 1);
	s->name = key;
	g_hash_table_insert(t->workspace_stats, s->name, s);
	return s;
}

/* Returns the number of the current bucket of a window. */
static int64_t current_bucket(const struct traffic *t, int64_t now_ms)
{
	double bucket_ms = t->bounds.quota_window_s * 1000 / USE_BUCKETS;

	return bucket_ms > 0 ? (int64_t)((double)now_ms / bucket_ms) : 0;
}

/* Clears the buckets of the ring that have become too old. */
static void advance(struct workspace_stats *s, int64_t bucket)
{
	int64_t from = MAX(s->bucket + 1, bucket - USE_BUCKETS + 1);

	for (int64_t i = from; i <= bucket; i++)
		s->used[i % USE_BUCKETS] = 0;
	s->bucket = MAX(s->bucket, bucket);
}

/* Returns how many requests may have been executed in the last window. */
static unsigned used_in_window(struct workspace_stats *s, int64_t bucket)
{
	unsigned n = 0;

	advance(s, bucket);
	for (int i = 0; i < USE_BUCKETS; i++)
		n += s->used[i];
	return n;
}

static void count_outcome(struct workspace_counts *c, unsigned status)
{
	c->requests++;
	if (status / 100 == 2)
		c->served++;
	else if (status == 429)
		c->beyond_quota++;
	else if (status == 503)
		c->refused++;
	else
		c->failed++;
}

/*
 * workspace_metrics_ended() counts a request of a workspace when its outcome is
 * known; status 0: the caller left.
 */
void workspace_metrics_ended(const struct request *r, unsigned status)
{
	struct traffic *t = r->traffic;
	struct workspace_stats *s;

	if (!r->workspace)
		return;
	s = get_stats(t, r->workspace->name);
	count_outcome(&s->counts, status);
	advance(s, current_bucket(t, clock_ms()));
	if (r->maybe_executed)
		s->used[s->bucket % USE_BUCKETS]++;
}

/* Orders workspaces by their requests, the largest first. */
static int compare_requests(gconstpointer a, gconstpointer b)
{
	const struct workspace_stats *x = *(void *const *)a;
	const struct workspace_stats *y = *(void *const *)b;

	if (x->counts.requests == y->counts.requests)
		return g_strcmp0(x->name, y->name);
	return x->counts.requests > y->counts.requests ? -1 : 1;
}

/* Returns all counted workspaces in that order, to be unreffed. */
static GPtrArray *sorted_stats(const struct traffic *t)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter it;
	gpointer item;

	if (!t->workspace_stats)
		return all;
	g_hash_table_iter_init(&it, t->workspace_stats);
	while (g_hash_table_iter_next(&it, NULL, &item))
		g_ptr_array_add(all, item);
	g_ptr_array_sort(all, compare_requests);
	return all;
}

static void write_counts(struct buf *out, const char *name,
			 const struct workspace_counts *c)
{
	const struct {
		const char *outcome;
		uint64_t n;
	} lines[] = {
		{"served", c->served},
		{"beyond_quota", c->beyond_quota},
		{"refused", c->refused},
		{"failed", c->failed},
	};

	char *label = text_label(lstr0(name));

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		buf_printf(out,
			   "workspace_requests{workspace=\"%s\",outcome=\"%s\"}"
			   " %" PRIu64 "\n",
			   label, lines[i].outcome, lines[i].n);
	g_free(label);
}

/*
 * workspace_metrics_write() writes the outcomes of the largest workspaces, and
 * of all others together under the name "(rest)". Nothing without workspaces.
 */
void workspace_metrics_write(struct buf *out, const struct traffic *t)
{
	struct workspace_counts rest = {0};
	GPtrArray *all;

	if (!t->config || !t->config->workspaces.required)
		return;
	all = sorted_stats(t);
	buf_printf(out, "workspaces %zu\nunauthorized %" PRIu64 "\n",
		   t->config->workspaces.n, t->counters.unauthorized);
	for (guint i = 0; i < all->len; i++) {
		const struct workspace_stats *s = all->pdata[i];
		const struct workspace_counts *c = &s->counts;

		if (i < LARGEST_SHOWN) {
			write_counts(out, s->name, c);
			continue;
		}
		rest.served += c->served;
		rest.beyond_quota += c->beyond_quota;
		rest.refused += c->refused;
		rest.failed += c->failed;
	}
	if (all->len > LARGEST_SHOWN)
		write_counts(out, "(rest)", &rest);
	g_ptr_array_unref(all);
}

/*
 * workspace_metrics_write_table() writes a line for each workspace of the
 * configuration: quota, number of keys, use of the quota in its window, and
 * requests by outcome, separated by tabs; the name comes last.
 */
void workspace_metrics_write_table(struct buf *out, const struct traffic *t)
{
	int64_t bucket = current_bucket(t, clock_ms());

	if (!t->config || !t->config->workspaces.required)
		return;
	buf_printf(out, "version\t%" PRIu64 "\t%g\n", t->config->version,
		   t->bounds.quota_window_s);
	for (size_t i = 0; i < t->config->workspaces.n; i++) {
		const struct workspace *w = &t->config->workspaces.list[i];
		char *name = g_strndup(w->name.ptr, w->name.len);
		struct workspace_stats *s =
			t->workspace_stats
				? g_hash_table_lookup(t->workspace_stats, name)
				: NULL;
		struct workspace_counts none = {0};
		const struct workspace_counts *c = s ? &s->counts : &none;

		/* The name of an unusable workspace may have any bytes. */
		text_make_printable(name);
		buf_printf(out,
			   "workspace\t%g\t%g\t%u\t%u\t%" PRIu64 "\t%" PRIu64
			   "\t%" PRIu64 "\t%" PRIu64 "\t%" PRIu64 "\t%s\n",
			   w->rate_s, w->burst, w->nkeys,
			   s ? used_in_window(s, bucket) : 0, c->requests,
			   c->served, c->beyond_quota, c->refused, c->failed,
			   name);
		g_free(name);
	}
}
