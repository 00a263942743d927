#include <string.h>

#include "control/backend_list_private.h"

/* An entry lapses after so many of its server's heartbeats have failed. */
enum { LEASE_HEARTBEATS = 3 };

/* The removal of an entry, or the end of a doubt, is due then. */
static void schedule(struct backend_list *l, struct list_entry *e,
		     int64_t due_ms)
{
	e->due_ms = due_ms;
	if (!l->due_ms || due_ms < l->due_ms)
		l->due_ms = due_ms;
}

/*
 * Whether most servers of a service would be gone together with this one, of
 * those that were there when the store came back from a copy.
 */
static bool most_removed(const struct backend_list *l,
			 const struct list_entry *e)
{
	unsigned removed = ended_servers_count(&l->ended, e->entry.service,
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
 * Until when a removal is held back; now_ms: not at all. After a silence leases
 * may have run out. A copy holds leases as they were, so most may run out at
 * once; that all of them have left isn't believed before they could write.
 */
static int64_t removal_due_ms(const struct backend_list *l,
			      const struct list_entry *e, int64_t now_ms)
{
	int64_t copied_until = l->restored_ms + BACKEND_GRACE_MS;

	if (now_ms < l->grace_until_ms)
		return l->grace_until_ms;
	if (l->restored_ms && now_ms < copied_until && most_removed(l, e))
		return copied_until;
	return now_ms;
}

/* backend_list_defer_removal() tells whether a removal must wait, and plans it. */
bool backend_list_defer_removal(struct backend_list *l, struct list_entry *e,
				int64_t now_ms)
{
	int64_t due_ms = removal_due_ms(l, e, now_ms);

	if (due_ms <= now_ms)
		return false;
	e->deferred = true;
	schedule(l, e, due_ms);
	return true;
}

/* backend_list_defer_missing() gives a server the time to write its entry again. */
void backend_list_defer_missing(struct backend_list *l, struct list_entry *e,
				int64_t now_ms)
{
	e->deferred = true;
	schedule(l, e, now_ms + BACKEND_GRACE_MS);
}

/* backend_list_add_unconfirmed() gives a removal the time to be written again. */
void backend_list_add_unconfirmed(struct backend_list *l, struct list_entry *d,
				  int64_t now_ms)
{
	schedule(l, d,
		 now_ms + LEASE_HEARTBEATS * l->heartbeat_ms +
			 BACKEND_GRACE_MS);
	g_hash_table_replace(l->unconfirmed, d->entry.id, d);
}

/* backend_list_has_deferred() tells whether a removal is held back. */
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

/* Those of a table that are due by now. */
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

static void remove_due(struct backend_list *l, int64_t now_ms)
{
	GPtrArray *due = list_due(l, l->entries, now_ms);

	for (guint i = 0; i < due->len; i++) {
		const struct list_entry *e = g_ptr_array_index(due, i);
		struct backend_change c = {
			.pos = e->pos, .removed = true, .entry = e->entry};

		l->changed(l->priv, &c);
		ended_servers_add(&l->ended, &e->entry, l->pos, now_ms);
		g_hash_table_remove(l->entries, c.entry.id);
	}
	g_ptr_array_unref(due);
}

/* Nobody has removed them: their servers are back. */
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

/* The next that is due, after one that was. */
static int64_t next_due_ms(const struct backend_list *l)
{
	GPtrArray *all = list_due(l, l->entries, INT64_MAX);
	GPtrArray *doubts = list_due(l, l->unconfirmed, INT64_MAX);
	int64_t due_ms = 0;

	g_ptr_array_extend(all, doubts, NULL, NULL);
	for (guint i = 0; i < all->len; i++) {
		const struct list_entry *e = g_ptr_array_index(all, i);

		due_ms = !due_ms || e->due_ms < due_ms ? e->due_ms : due_ms;
	}
	g_ptr_array_unref(doubts);
	g_ptr_array_unref(all);
	return due_ms;
}

/* backend_list_apply_deferred() does what was held back and is due. */
void backend_list_apply_deferred(struct backend_list *l, int64_t now_ms)
{
	if (!l->due_ms || now_ms < l->due_ms)
		return;
	remove_due(l, now_ms);
	confirm_due(l, now_ms);
	l->due_ms = next_due_ms(l);
}
