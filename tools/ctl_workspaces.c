#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "tools/ctl_workspaces.h"
#include "tools/fetch.h"

enum { FETCH_TIMEOUT_MS = 500 };

/* Fields of a line of an instance's table, see traffic/workspace_metrics.c. */
enum {
	FIELD_KIND,
	FIELD_RATE,
	FIELD_BURST,
	FIELD_KEYS,
	FIELD_SUMS, /* use in the window, then requests by outcome */
	NSUMS = 6,
	FIELD_NAME = FIELD_SUMS + NSUMS,
	NFIELDS
};

/* One workspace, summed over all instances. */
struct row {
	char *name;
	double rate, burst;
	unsigned keys;
	uint64_t sums[NSUMS];
};

struct table {
	GHashTable *rows;
	uint64_t oldest, newest; /* versions that instances have applied */
	double window_s;
	unsigned instances, unreachable;
};

static void free_row(gpointer data)
{
	struct row *r = data;

	g_free(r->name);
	g_free(r);
}

/* Adds a workspace's line; the newest version's quota is shown. */
static void add_workspace(struct table *t, char *const *field, uint64_t version)
{
	struct row *r = g_hash_table_lookup(t->rows, field[FIELD_NAME]);

	if (!r) {
		r = g_new0(struct row, 1);
		r->name = g_strdup(field[FIELD_NAME]);
		g_hash_table_insert(t->rows, r->name, r);
	}
	for (int i = 0; i < NSUMS; i++)
		r->sums[i] += g_ascii_strtoull(field[FIELD_SUMS + i], NULL, 10);
	if (version < t->newest)
		return;
	r->rate = g_ascii_strtod(field[FIELD_RATE], NULL);
	r->burst = g_ascii_strtod(field[FIELD_BURST], NULL);
	r->keys = (unsigned)g_ascii_strtoull(field[FIELD_KEYS], NULL, 10);
}

/* Adds the table of one instance. */
static void add_instance(struct table *t, const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	uint64_t version = 0;

	t->instances++;
	for (char **l = lines; *l; l++) {
		char **field = g_strsplit(*l, "\t", NFIELDS);
		guint n = g_strv_length(field);

		if (n == 3 && !g_strcmp0(field[FIELD_KIND], "version")) {
			version = g_ascii_strtoull(field[1], NULL, 10);
			t->window_s = g_ascii_strtod(field[2], NULL);
			t->newest = MAX(t->newest, version);
			t->oldest = MIN(t->oldest, version);
		} else if (n == NFIELDS) {
			add_workspace(t, field, version);
		}
		g_strfreev(field);
	}
	g_strfreev(lines);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

static void print_row(const struct row *r, double window_s)
{
	char quota[32] = "none";

	if (r->rate > 0)
		g_snprintf(quota, sizeof(quota), "%.0f",
			   r->rate * window_s + r->burst);
	printf("%-16s %4u %7s %7" PRIu64 " %8" PRIu64 " %8" PRIu64 " %7" PRIu64
	       " %7" PRIu64 " %7" PRIu64 "\n",
	       r->name, r->keys, quota, r->sums[0], r->sums[1], r->sums[2],
	       r->sums[3], r->sums[4], r->sums[5]);
}

static void print_table(const struct table *t)
{
	GList *names =
		g_list_sort(g_hash_table_get_keys(t->rows), compare_names);

	printf("versions %" PRIu64 " to %" PRIu64 " at %u instances; quota and "
	       "use in %g s\n",
	       t->oldest, t->newest, t->instances, t->window_s);
	printf("%-16s %4s %7s %7s %8s %8s %7s %7s %7s\n", "workspace", "keys",
	       "quota", "used", "asked", "served", "beyond", "refused",
	       "failed");
	for (GList *l = names; l; l = l->next)
		print_row(g_hash_table_lookup(t->rows, l->data), t->window_s);
	g_list_free(names);
}

/*
 * ctl_print_workspaces() prints each workspace's quota, its use in the last
 * window and what its callers got, summed over all instances; never a key.
 * Returns the number of instances that didn't respond.
 */
int ctl_print_workspaces(const struct deploy *d)
{
	struct table t = {.oldest = UINT64_MAX};

	t.rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	for (guint i = 0; i < d->entries->len; i++) {
		const struct entry_opts *en = d->entries->pdata[i];
		struct buf body = {0};

		if (fetch(en->listen, "GET", "/admin/workspaces",
			  FETCH_TIMEOUT_MS, &body) == 200) {
			buf_add(&body, "", 1);
			add_instance(&t, body.ptr);
		} else {
			printf("%s: no response\n", en->name);
			t.unreachable++;
		}
		buf_free(&body);
	}
	if (g_hash_table_size(t.rows))
		print_table(&t);
	else
		printf("no workspaces\n");
	g_hash_table_unref(t.rows);
	return (int)t.unreachable;
}
