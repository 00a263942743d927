#include <string.h>

#include "core/dedup.h"

struct dedup_rec {
	struct dedup *table;
	enum dedup_state state;
	char *body; /* NULL: none is kept */
	size_t len;
	GList link; /* in table->answers */
};

/* Drops the answer of a record, if it has one. */
static void drop_answer(struct dedup_rec *r)
{
	if (!r->body)
		return;
	g_queue_unlink(&r->table->answers, &r->link);
	r->table->bytes -= r->len;
	g_free(r->body);
	r->body = NULL;
}

/* Frees the record of a key. */
static void rec_free(gpointer p)
{
	drop_answer(p);
	g_free(p);
}

/* Keeps an answer, and drops older ones, or itself, beyond the limit. */
static void keep_answer(struct dedup_rec *r, struct lstr body)
{
	struct dedup *d = r->table;

	r->body = g_malloc(body.len + 1);
	memcpy(r->body, body.ptr, body.len);
	r->body[body.len] = '\0';
	r->len = body.len;
	r->link.data = r;
	g_queue_push_tail_link(&d->answers, &r->link);
	d->bytes += r->len;
	while (d->max_bytes && d->bytes > d->max_bytes)
		drop_answer(g_queue_peek_head(&d->answers));
}

/*
 * Initializes an empty table of at most max_keys keys, with answers of at most
 * max_bytes in all; 0: no limit.
 */
void dedup_init(struct dedup *d, unsigned max_keys, size_t max_bytes)
{
	pthread_mutex_init(&d->lock, NULL);
	d->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					rec_free);
	g_queue_init(&d->order);
	g_queue_init(&d->answers);
	d->max_keys = max_keys;
	d->bytes = 0;
	d->max_bytes = max_bytes;
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
		first->body = r->body ? g_memdup2(r->body, r->len + 1) : NULL;
		first->len = r->body ? r->len : 0;
		g_free(k);
	} else {
		r = g_new0(struct dedup_rec, 1);
		r->table = d;
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
 * releases the key, CALL_DONE keeps the answer for duplicates, if it fits.
 * CALL_UNKNOWN
 * keeps the key as well, since a repetition could run the action twice.
 */
void dedup_end(struct dedup *d, const char *service, const char *key,
	       enum call_outcome outcome, struct lstr body)
{
	char *k = g_strdup_printf("%s/%s", service, key);

	pthread_mutex_lock(&d->lock);
	struct dedup_rec *r = g_hash_table_lookup(d->keys, k);

	if (r && outcome == CALL_NOT_RUN) {
		g_hash_table_remove(d->keys, k);
	} else if (r) {
		r->state = outcome == CALL_DONE ? DEDUP_DONE : DEDUP_UNKNOWN;
		drop_answer(r);
		if (outcome == CALL_DONE)
			keep_answer(r, body);
	}
	pthread_mutex_unlock(&d->lock);
	g_free(k);
}
