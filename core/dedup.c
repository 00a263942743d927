#include "core/dedup.h"

struct dedup_rec {
	enum dedup_state state;
	char *body;
};

/* Frees the record of a key. */
static void rec_free(gpointer p)
{
	struct dedup_rec *r = p;

	g_free(r->body);
	g_free(r);
}

/* Initializes an empty table of at most max_keys keys. */
void dedup_init(struct dedup *d, unsigned max_keys)
{
	pthread_mutex_init(&d->lock, NULL);
	d->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					rec_free);
	g_queue_init(&d->order);
	d->max_keys = max_keys;
}

/* Frees the table's contents. */
void dedup_free(struct dedup *d)
{
	g_queue_clear_full(&d->order, g_free);
	g_hash_table_unref(d->keys);
}

/* Drops the oldest keys while there are too many; the lock is held. */
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
 * Claims a key for a new run and returns true. If the key is in use, returns
 * false and sets *first to the state of the first call.
 */
bool dedup_begin(struct dedup *d, const char *service, const char *key,
		 struct dedup_result *first)
{
	char *k = g_strdup_printf("%s/%s", service, key);
	bool fresh;

	pthread_mutex_lock(&d->lock);
	struct dedup_rec *r = g_hash_table_lookup(d->keys, k);

	fresh = !r;
	if (r) {
		first->state = r->state;
		first->body = g_strdup(r->body);
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
 * Records the outcome of a run that dedup_begin() allowed. CALL_NOT_RUN
 * releases the key, CALL_DONE keeps the answer for duplicates. CALL_UNKNOWN
 * keeps the key as well, since a repetition could run the action twice.
 */
void dedup_end(struct dedup *d, const char *service, const char *key,
	       enum call_outcome outcome, const char *body)
{
	char *k = g_strdup_printf("%s/%s", service, key);

	pthread_mutex_lock(&d->lock);
	struct dedup_rec *r = g_hash_table_lookup(d->keys, k);

	if (r && outcome == CALL_NOT_RUN) {
		g_hash_table_remove(d->keys, k);
	} else if (r) {
		r->state = outcome == CALL_DONE ? DEDUP_DONE : DEDUP_UNKNOWN;
		g_free(r->body);
		r->body = outcome == CALL_DONE ? g_strdup(body) : NULL;
	}
	pthread_mutex_unlock(&d->lock);
	g_free(k);
}
