#include <string.h>

#include "stand/audit.h"

/* What was on its way when an answer left may still arrive for so long. */
enum { ON_ITS_WAY_MS = 500 };

/* One answer that asked for a backoff. */
struct window {
	int64_t from_ms, until_ms;
	unsigned got;
};

struct audit_instance {
	GArray *backoffs;   /* struct window */
	int64_t leaving_ms; /* first told that the server leaves; 0: not yet */
};

static void free_instance(gpointer data)
{
	struct audit_instance *i = data;

	g_array_unref(i->backoffs);
	g_free(i);
}

/* audit_init() begins with nothing asked. */
void audit_init(struct audit *p)
{
	*p = (struct audit){.backoffs = 0};
	p->by_instance = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_instance);
}

static struct audit_instance *find(struct audit *p, struct lstr name)
{
	char *key = g_strndup(name.ptr ? name.ptr : "", name.len);
	struct audit_instance *i = g_hash_table_lookup(p->by_instance, key);

	if (i) {
		g_free(key);
		return i;
	}
	i = g_new0(struct audit_instance, 1);
	i->backoffs = g_array_new(FALSE, FALSE, sizeof(struct window));
	g_hash_table_insert(p->by_instance, key, i);
	return i;
}

/* audit_backoff() notes that an answer asks the instance to back off. */
void audit_backoff(struct audit *p, struct lstr instance, int64_t backoff_ms,
		   int64_t now_ms)
{
	struct window r = {now_ms + ON_ITS_WAY_MS, now_ms + backoff_ms, 0};

	p->backoffs++;
	if (p->off)
		return;
	g_array_append_val(find(p, instance)->backoffs, r);
}

/* audit_draining() notes that an answer says that the server leaves. */
void audit_draining(struct audit *p, struct lstr instance, int64_t now_ms)
{
	struct audit_instance *i;

	p->draining_told++;
	if (p->off)
		return;
	i = find(p, instance);
	if (!i->leaving_ms)
		i->leaving_ms = now_ms;
}

/* Counts one more in each backoff that lasts; forgets those that are over. */
static void count_in_windows(struct audit *p, struct audit_instance *i,
			     bool question, int64_t now_ms)
{
	bool within = false;

	for (guint k = i->backoffs->len; k > 0; k--) {
		struct window *r =
			&g_array_index(i->backoffs, struct window, k - 1);

		if (now_ms >= r->until_ms) {
			g_array_remove_index_fast(i->backoffs, k - 1);
			continue;
		}
		if (now_ms <= r->from_ms)
			continue;
		within = true;
		r->got += !question;
		p->backoff_worst = MAX(p->backoff_worst, r->got);
	}
	p->backoff_got += within && !question;
	p->backoff_questions += within && question;
}

/* audit_request() judges a request, or a question for health and load. */
void audit_request(struct audit *p, struct lstr instance, bool question,
		   int64_t now_ms)
{
	struct audit_instance *i;

	if (p->off)
		return;
	i = find(p, instance);
	count_in_windows(p, i, question, now_ms);
	if (!question && i->leaving_ms &&
	    now_ms > i->leaving_ms + ON_ITS_WAY_MS)
		p->draining_got++;
}

/* audit_suspend() forgets what was asked; nothing counts from now on. */
void audit_suspend(struct audit *p)
{
	p->off++;
	g_hash_table_remove_all(p->by_instance);
}

/* audit_resume() ends one disturbance. */
void audit_resume(struct audit *p)
{
	if (p->off)
		p->off--;
	g_hash_table_remove_all(p->by_instance);
}

static gboolean is_of(gpointer key, gpointer value, gpointer instance)
{
	return strstr(key, instance) != NULL;
}

/* audit_excuse() forgets what one instance was asked so far. */
void audit_excuse(struct audit *p, const char *instance)
{
	g_hash_table_foreach_remove(p->by_instance, is_of, (gpointer)instance);
}
