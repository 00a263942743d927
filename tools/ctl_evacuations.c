#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tools/ctl_evacuations.h"
#include "tools/fetch.h"

enum { FETCH_TIMEOUT_MS = 500 };

/* What instances say about a data centre or a server. */
struct view {
	unsigned instances; /* that know of it */
	double most;	    /* the largest value among theirs */
};

struct views {
	GHashTable *evacuated; /* data centre -> struct view * */
	GHashTable *cold;      /* backend server -> struct view * */
	unsigned instances, unreachable;
};

/* Adds an instance's value for a name. */
static void add(GHashTable *views, const char *name, double value)
{
	struct view *v = g_hash_table_lookup(views, name);

	if (!v) {
		v = g_new0(struct view, 1);
		g_hash_table_insert(views, g_strdup(name), v);
	}
	v->instances++;
	v->most = MAX(v->most, value);
}

/* Adds a line of the metrics if it has this name, under a label's value. */
static void add_line(GHashTable *views, const char *line, const char *metric,
		     const char *label)
{
	char *key = g_strdup_printf("%s=\"", label);
	const char *at = strstr(line, key), *value = strrchr(line, ' ');
	double v = value ? g_ascii_strtod(value, NULL) : 0;

	if (at && v > 0 && g_str_has_prefix(line, metric) &&
	    line[strlen(metric)] == '{') {
		char *name;

		at += strlen(key);
		name = g_strndup(at, strcspn(at, "\""));
		add(views, name, v);
		g_free(name);
	}
	g_free(key);
}

/* Adds the metrics of one instance. */
static void add_instance(struct views *all, const char *metrics)
{
	char **lines = g_strsplit(metrics, "\n", -1);

	all->instances++;
	for (char **l = lines; *l; l++) {
		add_line(all->evacuated, *l, "evacuated_dc", "dc");
		add_line(all->cold, *l, "backend_cold_left_ms", "backend");
	}
	g_strfreev(lines);
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(a, b);
}

/* Prints a line for each name, in their order. */
static void print_views(const struct views *all, GHashTable *views,
			const char *what, const char *unit)
{
	GList *names = g_list_sort(g_hash_table_get_keys(views), compare_names);

	for (GList *l = names; l; l = l->next) {
		const struct view *v = g_hash_table_lookup(views, l->data);

		printf("%s %s: known to %u of %u", what, (char *)l->data,
		       v->instances, all->instances);
		if (unit)
			printf(", %.0f %s", v->most, unit);
		printf("\n");
	}
	g_list_free(names);
}

/*
 * ctl_print_evacuations() prints the evacuated data centres and the cold
 * servers, with how many instances know of each. Returns the number of
 * instances that didn't respond.
 */
int ctl_print_evacuations(const struct deploy *d)
{
	struct views all = {0};

	all.evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	all.cold =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (guint i = 0; i < d->entries->len; i++) {
		const struct entry_opts *en = d->entries->pdata[i];
		struct buf body = {0};

		if (fetch(en->listen, "GET", "/admin/metrics", FETCH_TIMEOUT_MS,
			  &body) == 200) {
			buf_add(&body, "", 1);
			add_instance(&all, body.ptr);
		} else {
			printf("%s: no response\n", en->name);
			all.unreachable++;
		}
		buf_free(&body);
	}
	if (!g_hash_table_size(all.evacuated) && !g_hash_table_size(all.cold))
		printf("nothing is evacuated, no server is cold\n");
	print_views(&all, all.evacuated, "evacuated", NULL);
	print_views(&all, all.cold, "cold", "ms left");
	g_hash_table_unref(all.evacuated);
	g_hash_table_unref(all.cold);
	return (int)all.unreachable;
}
