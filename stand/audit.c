#include <string.h>

#include "stand/audit.h"

/* Requests sent before the response is received arrive within this time. */
enum { IN_TRANSIT_MS = 500 };

/* A backoff that a response asked for. */
struct backoff_window {
	int64_t from_ms, until_ms;
	unsigned requests;
};

/* What one lifetime of an instance was asked for. */
struct audit_instance {
	GArray *backoffs;	    /* struct backoff_window */
	int64_t drain_announced_ms; /* first announcement; 0: none */
};

/* Frees a struct audit_instance. */
static void free_instance(gpointer data)
{
	struct audit_instance *i = data;

	g_array_unref(i->backoffs);
	g_free(i);
}

/* audit_init() prepares an audit without instances. */
void audit_init(struct audit *p)
{
	*p = (struct audit){.backoffs = 0};
	p->by_instance = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_instance);
}

/* Returns the entry of an instance's lifetime; adds it if it is new. */
static struct audit_instance *get_instance(struct audit *p, struct lstr name)
{
	char *key = g_strndup(name.ptr ? name.ptr : "", name.len);
	struct audit_instance *i = g_hash_table_lookup(p->by_instance, key);

	if (i) {
		g_free(key);
		return i;
	}
	i = g_new0(struct audit_instance, 1);
	i->backoffs = g_array_new(FALSE, FALSE, sizeof(struct backoff_window));
	g_hash_table_insert(p->by_instance, key, i);
	return i;
}

/* audit_backoff() records that a response asks the instance to back off. */
void audit_backoff(struct audit *p, struct lstr instance, int64_t backoff_ms,
		   int64_t now_ms)
{
	struct backoff_window r = {now_ms + IN_TRANSIT_MS, now_ms + backoff_ms,
				   0};

	p->backoffs++;
	if (p->suspended)
		return;
	g_array_append_val(get_instance(p, instance)->backoffs, r);
}

/* audit_draining() records that a response announces the drain. */
void audit_draining(struct audit *p, struct lstr instance, int64_t now_ms)
{
	struct audit_instance *i;

	p->draining_told++;
	if (p->suspended)
		return;
	i = get_instance(p, instance);
	if (!i->drain_announced_ms)
		i->drain_announced_ms = now_ms;
}

/* Counts a request in each current backoff; drops backoffs that ended. */
static void count_in_windows(struct audit *p, struct audit_instance *i,
			     bool probe, int64_t now_ms)
{
	bool within = false;

	for (guint k = i->backoffs->len; k > 0; k--) {
		struct backoff_window *r = &g_array_index(
			i->backoffs, struct backoff_window, k - 1);

		if (now_ms >= r->until_ms) {
			g_array_remove_index_fast(i->backoffs, k - 1);
			continue;
		}
		if (now_ms <= r->from_ms)
			continue;
		within = true;
		r->requests += !probe;
		p->backoff_worst = MAX(p->backoff_worst, r->requests);
	}
	p->backoff_got += within && !probe;
	p->backoff_questions += within && probe;
}

/* audit_request() checks a request, or a probe of health and load. */
void audit_request(struct audit *p, struct lstr instance, bool probe,
		   int64_t now_ms)
{
	struct audit_instance *i;

	if (p->suspended)
		return;
	i = get_instance(p, instance);
	count_in_windows(p, i, probe, now_ms);
	if (!probe && i->drain_announced_ms &&
	    now_ms > i->drain_announced_ms + IN_TRANSIT_MS)
		p->draining_got++;
}

/* audit_suspend() stops the checks and drops all backoffs and announcements. */
void audit_suspend(struct audit *p)
{
	p->suspended++;
	g_hash_table_remove_all(p->by_instance);
}

/* audit_resume() undoes one audit_suspend(). */
void audit_resume(struct audit *p)
{
	if (p->suspended)
		p->suspended--;
	g_hash_table_remove_all(p->by_instance);
}

/* Whether a lifetime (key) is of the instance. */
static gboolean is_lifetime_of(gpointer key, gpointer value, gpointer instance)
{
	return strstr(key, instance) != NULL;
}

/* audit_excuse() drops the backoffs and announcements sent to one instance. */
void audit_excuse(struct audit *p, const char *instance)
{
	g_hash_table_foreach_remove(p->by_instance, is_lifetime_of,
				    (gpointer)instance);
}
