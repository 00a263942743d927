#include "core/dedup.h"

struct dedup_rec {
	enum dedup_state state;
	char *body;
};

static void rec_free(gpointer p)
{
	struct dedup_rec *r = p;

	g_free(r->body);
	g_free(r);
}

/* dedup_init() makes an empty table that keeps at most max_keys keys. */
void dedup_init(struct dedup *d, unsigned max_keys)
{
	pthread_mutex_init(&d->lock, NULL);
	d->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					rec_free);
	g_queue_init(&d->order);
	d->max_keys = max_keys;
}

/* dedup_free() frees the table. */
void dedup_free(struct dedup *d)
{
	g_queue_clear_full(&d->order, g_free);
	g_hash_table_unref(d->keys);
}

/* Drops the oldest keys past the bound (locked). */
static void evict(struct dedup *d)
{
	while (g_hash_table_size(d->keys) > d->max_keys) {
		char *old = g_queue_pop_head(&d->order);

		if (!old)
			break;
		g_hash_table_remove(d->keys, old);
		g_free(old);
	}
}

/*
 * dedup_begin() claims key for a new run and returns true, or returns
 * false and tells in *seen what became of the first call with that key.
 */
bool dedup_begin(struct dedup *d, const char *service, const char *key,
		 struct dedup_result *seen)
{
	char *k = g_strdup_printf("%s/%s", service, key);
	bool fresh;

	pthread_mutex_lock(&d->lock);
	struct dedup_rec *r = g_hash_table_lookup(d->keys, k);

	fresh = !r;
	if (r) {
		seen->state = r->state;
		seen->body = g_strdup(r->body);
		g_free(k);
	} else {
		r = g_new0(struct dedup_rec, 1);
		r->state = DEDUP_RUNNING;
		g_hash_table_insert(d->keys, k, r);
		g_queue_push_tail(&d->order, g_strdup(k));
		evict(d);
	}
	pthread_mutex_unlock(&d->lock);
	return fresh;
}

/*
 * dedup_end() records the outcome of the run dedup_begin() allowed. A call
 * that surely did not run releases its key; done keeps the answer for
 * duplicates; unknown stays unknown, since running again could run twice.
 */
void dedup_end(struct dedup *d, const char *service, const char *key,
	       enum call_outcome oc, const char *body)
{
	char *k = g_strdup_printf("%s/%s", service, key);

	pthread_mutex_lock(&d->lock);
	struct dedup_rec *r = g_hash_table_lookup(d->keys, k);

	if (r && oc == CALL_NOT_RUN) {
		g_hash_table_remove(d->keys, k);
	} else if (r) {
		r->state = oc == CALL_DONE ? DEDUP_DONE : DEDUP_UNKNOWN;
		g_free(r->body);
		r->body = oc == CALL_DONE ? g_strdup(body) : NULL;
	}
	pthread_mutex_unlock(&d->lock);
	g_free(k);
}
