#include <string.h>

#include "common/event.h"
#include "control/backend_list_private.h"

/* Consecutive failed heartbeats after which a server's lease expires. */
enum { LEASE_HEARTBEATS = 3 };

/* Schedules a deferred removal, or the end of an unconfirmed state. */
static void schedule(struct backend_list *l, struct list_entry *e,
		     int64_t due_ms)
{
	e->due_ms = due_ms;
	if (!l->due_ms || due_ms < l->due_ms)
		l->due_ms = due_ms;
}

/*
 * Returns whether removing this server would leave a service without most of
 * the servers that it had when the store was restored from a backup.
 */
static bool most_removed(const struct backend_list *l,
			 const struct list_entry *e)
{
	unsigned removed = removed_servers_count(&l->removed, e->entry.service,
						 l->restored_ms);
	unsigned all = removed, missing = removed;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *x = v;

		if (strcmp(x->entry.service, e->entry.service))
			continue;
		all++;
		missing += x->deferred || x == e;
	}
	return 2 * missing > all;
}

/*
 * Returns the time until which a removal is deferred, or now_ms if it isn't.
 * After a gap of the list, leases may have expired only because servers could
 * not renew them. A restored store holds the leases as they were in the
 * backup, so most may expire at once; the removal of most servers of a service
 * is therefore deferred until they have had time to write again.
 */
static int64_t removal_due_ms(const struct backend_list *l,
			      const struct list_entry *e, int64_t now_ms)
{
	int64_t copied_until = l->restored_ms + BACKEND_GRACE_MS;
	int64_t settled_ms = list_cover_settled_ms(&l->cover);

	if (now_ms < settled_ms)
		return settled_ms;
	if (l->restored_ms && now_ms < copied_until && most_removed(l, e))
		return copied_until;
	return now_ms;
}

/*
 * backend_list_defer_removal() defers a removal if necessary. Returns whether
 * it was deferred.
 */
bool backend_list_defer_removal(struct backend_list *l, struct list_entry *e,
				int64_t now_ms)
{
	int64_t due_ms = removal_due_ms(l, e, now_ms);

	if (due_ms <= now_ms)
		return false;
	e->deferred = true;
	e->after_gap = due_ms == list_cover_settled_ms(&l->cover);
	schedule(l, e, due_ms);
	mp_event(EV_REMOVAL_DEFERRED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s due_in_ms=%" G_GINT64_FORMAT
		 " after_gap=%d",
		 e->entry.id, e->entry.service, due_ms - now_ms, e->after_gap);
	return true;
}

/*
 * backend_list_resettle() brings deferred removals forward: a peer's list shows
 * that the store wasn't away, or is back for longer than was known here.
 */
void backend_list_resettle(struct backend_list *l, int64_t now_ms)
{
	int64_t due_ms = MAX(now_ms, list_cover_settled_ms(&l->cover));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct list_entry *e = v;

		if (e->deferred && e->after_gap && e->due_ms > due_ms)
			schedule(l, e, due_ms);
	}
}

/*
 * backend_list_defer_missing() defers the removal of a server that the backup
 * lacks, so that it has time to write its entry again.
 */
void backend_list_defer_missing(struct backend_list *l, struct list_entry *e,
				int64_t now_ms)
{
	e->deferred = true;
	e->after_gap = false;
	schedule(l, e, now_ms + BACKEND_GRACE_MS);
}

/*
 * backend_list_add_unconfirmed() keeps an entry off the list for as long as its
 * removal may still be written again.
 */
void backend_list_add_unconfirmed(struct backend_list *l, struct list_entry *d,
				  int64_t now_ms)
{
	schedule(l, d,
		 now_ms + LEASE_HEARTBEATS * l->heartbeat_ms +
			 BACKEND_GRACE_MS);
	g_hash_table_replace(l->unconfirmed, d->entry.id, d);
}

/* backend_list_has_deferred() returns whether any removal is deferred. */
bool backend_list_has_deferred(const struct backend_list *l)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((const struct list_entry *)v)->deferred)
			return true;
	}
	return false;
}

/* Returns the entries of a table that are due at now_ms. */
static GPtrArray *list_due(const struct backend_list *l, GHashTable *table,
			   int64_t now_ms)
{
	GPtrArray *due = g_ptr_array_new();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, table);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *e = v;

		if ((e->deferred || table == l->unconfirmed) &&
		    e->due_ms <= now_ms)
			g_ptr_array_add(due, v);
	}
	return due;
}

/* Applies deferred removals that are due. */
static void remove_due(struct backend_list *l, int64_t now_ms)
{
	GPtrArray *due = list_due(l, l->entries, now_ms);

	for (guint i = 0; i < due->len; i++) {
		const struct list_entry *e = g_ptr_array_index(due, i);
		struct backend_change c = {
			.pos = e->pos, .removed = true, .entry = e->entry};

		l->changed(l->priv, &c);
		removed_servers_add(&l->removed, &e->entry, l->pos, now_ms);
		g_hash_table_remove(l->entries, c.entry.id);
	}
	g_ptr_array_unref(due);
}

/*
 * Adds entries whose removal was not written again: their servers are running.
 */
static void confirm_due(struct backend_list *l, int64_t now_ms)
{
	GPtrArray *due = list_due(l, l->unconfirmed, now_ms);

	for (guint i = 0; i < due->len; i++) {
		const struct list_entry *d = g_ptr_array_index(due, i);
		struct backend_change c = {.pos = l->pos, .entry = d->entry};

		backend_list_add(l, &c, now_ms);
	}
	g_ptr_array_unref(due);
}

/* Returns the earliest time at which an entry is due, or 0 if there is none. */
static int64_t next_due_ms(const struct backend_list *l)
{
	GPtrArray *all = list_due(l, l->entries, INT64_MAX);
	GPtrArray *unconfirmed = list_due(l, l->unconfirmed, INT64_MAX);
	int64_t due_ms = 0;

	g_ptr_array_extend(all, unconfirmed, NULL, NULL);
	for (guint i = 0; i < all->len; i++) {
		const struct list_entry *e = g_ptr_array_index(all, i);

		due_ms = !due_ms || e->due_ms < due_ms ? e->due_ms : due_ms;
	}
	g_ptr_array_unref(unconfirmed);
	g_ptr_array_unref(all);
	return due_ms;
}

/* backend_list_apply_deferred() applies deferred changes that are due. */
void backend_list_apply_deferred(struct backend_list *l, int64_t now_ms)
{
	if (!l->due_ms || now_ms < l->due_ms)
		return;
	remove_due(l, now_ms);
	confirm_due(l, now_ms);
	l->due_ms = next_due_ms(l);
}
