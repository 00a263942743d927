#include <string.h>

#include "common/event.h"
#include "control/backend_list_private.h"

enum {
	HEARTBEAT_DEFAULT_MS = 1500,
	/*
	 * Changes are repeated to peers for this long, since datagrams get
	 * lost.
	 */
	RECENT_MS = 2500,
};

/*
 * backend_list_init() initializes an empty list; `changed` is called for each
 * change of it.
 */
void backend_list_init(struct backend_list *l,
		       void (*changed)(void *priv,
				       const struct backend_change *c),
		       void *priv)
{
	memset(l, 0, sizeof(*l));
	l->heartbeat_ms = HEARTBEAT_DEFAULT_MS;
	l->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->unconfirmed =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	removed_servers_init(&l->removed);
	l->recent = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	l->recent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->changed = changed;
	l->priv = priv;
}

/* Records a change to be sent to the peers. */
static void record_recent(struct backend_list *l,
			  const struct backend_change *c, int64_t now_ms)
{
	if (store_position_cmp(c->pos, l->pos) < 0)
		return;
	g_array_append_val(l->recent, *c);
	g_array_append_val(l->recent_ms, now_ms);
}

/*
 * backend_list_publish() records a change for the peers and reports it to the
 * owner.
 */
void backend_list_publish(struct backend_list *l,
			  const struct backend_change *c, int64_t now_ms)
{
	record_recent(l, c, now_ms);
	l->changed(l->priv, c);
}

/*
 * Returns whether an entry differs from an earlier one in more than a warm-up
 * that goes on or has ended. If more of it remains, the server has turned cold
 * again.
 */
static bool differs(const struct backend_entry *a,
		    const struct backend_entry *b)
{
	return b->warm_up_ms > a->warm_up_ms ||
	       strcmp(a->service, b->service) || strcmp(a->dc, b->dc) ||
	       memcmp(&a->addr, &b->addr, sizeof(a->addr)) ||
	       a->slots != b->slots || a->draining != b->draining ||
	       a->server_start_ms != b->server_start_ms;
}

/*
 * backend_list_note_gap() notes that the list is confirmed as of as_of_ms, if
 * it wasn't for longer than a heartbeat. Call it before changes are applied:
 * they may contain removals caused only by an outage of the store. A lease
 * lasts three heartbeats, so none can expire within one.
 */
void backend_list_note_gap(struct backend_list *l, const char *cause,
			   int64_t as_of_ms)
{
	int64_t gap_ms = as_of_ms - l->fresh_ms;

	if (!l->loaded || gap_ms <= l->heartbeat_ms)
		return;
	list_cover_gap(&l->cover, l->fresh_ms, as_of_ms);
	mp_event(EV_LIST_GAP, G_LOG_LEVEL_MESSAGE,
		 "by=%s gap_ms=%" G_GINT64_FORMAT " settles_in_ms=%d", cause,
		 gap_ms, BACKEND_GRACE_MS);
}

/*
 * backend_list_read_begin() is called before the records of this instance's own
 * read are applied.
 */
void backend_list_read_begin(struct backend_list *l, int64_t now_ms)
{
	backend_list_note_gap(l, "read", now_ms);
}

/* Applies a removal, or defers it. */
static void remove_entry(struct backend_list *l, const struct backend_change *c,
			 int64_t now_ms)
{
	struct list_entry *e = g_hash_table_lookup(l->entries, c->entry.id);

	/* Peers may list it, or hold it as unconfirmed. */
	g_hash_table_remove(l->unconfirmed, c->entry.id);
	if (!e)
		record_recent(l, c, now_ms);
	if (!e || store_position_cmp(c->pos, e->pos) < 0)
		return;
	e->pos = c->pos;
	if (backend_list_defer_removal(l, e, now_ms)) {
		record_recent(l, c, now_ms);
		return;
	}
	struct backend_change removal = *c;

	backend_list_publish(l, &removal, now_ms);
	removed_servers_add(&l->removed, &e->entry, c->pos, now_ms);
	g_hash_table_remove(l->entries, removal.entry.id);
}

/*
 * backend_list_remove_deferred() removes a server that is missing from a
 * restored backup, if the restored log contains a removal of it that is newer
 * than the backup. A removal in the backup may have been followed by a lost
 * record that brought the server back; such a removal precedes the position
 * since which the server is on the list. The server's newest record may have a
 * higher offset than a removal after the backup, whose log continues lower.
 */
void backend_list_remove_deferred(struct backend_list *l,
				  const struct backend_change *c,
				  int64_t now_ms)
{
	const struct list_entry *e =
		g_hash_table_lookup(l->entries, c->entry.id);
	struct backend_change removal = *c;

	if (!e || !e->deferred || e->from_old_era ||
	    c->pos.offset < e->since.offset)
		return;
	removal.pos = l->pos;
	remove_entry(l, &removal, now_ms);
}

/*
 * Handles a server that the restored store lacks and that has written nothing
 * since.
 */
static void defer_missing_entry(struct backend_list *l,
				const struct backend_change *c, int64_t now_ms)
{
	struct list_entry *e = g_hash_table_lookup(l->entries, c->entry.id);

	if (!e || store_position_cmp(c->pos, e->pos) < 0)
		return;
	backend_list_defer_missing(l, e, now_ms);
	record_recent(l, c, now_ms);
}

/*
 * Handles a server that was removed here but that the backup lists: its removal
 * may be written again, so it stays unconfirmed for now.
 */
static void add_unconfirmed_entry(struct backend_list *l,
				  const struct backend_change *c,
				  int64_t now_ms)
{
	struct list_entry *d = g_new0(struct list_entry, 1);
	struct backend_change unconfirmed = *c;

	d->entry = c->entry;
	d->pos = c->pos;
	d->seen = true;
	unconfirmed.unconfirmed = true;
	record_recent(l, &unconfirmed, now_ms);
	backend_list_add_unconfirmed(l, d, now_ms);
	mp_event(EV_MEMBER_UNCONFIRMED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT,
		 d->entry.id, d->entry.service, d->pos.offset, d->pos.era);
}

/*
 * Returns whether a record is older than what is known of its server. A record
 * of a later era may come from the backup.
 */
static bool is_outdated(const struct list_entry *e,
			const struct backend_change *c)
{
	if (c->pos.era > e->pos.era)
		return !backend_entry_is_newer(&c->entry, &e->entry);
	return backend_entry_is_older(&c->entry, &e->entry);
}

/* Notes that the new era also has an entry, though without newer content. */
static void confirm_entry(struct backend_list *l, struct list_entry *e,
			  const struct backend_change *received, int64_t now_ms)
{
	struct backend_change c = {.pos = received->pos, .entry = e->entry};
	bool was_deferred = e->deferred;

	e->pos = e->since = received->pos;
	e->deferred = false;
	e->from_old_era = differs(&e->entry, &received->entry);
	if (was_deferred)
		backend_list_publish(l, &c, now_ms);
}

/* Applies a record of a server that is on the list. */
static void update_entry(struct backend_list *l, struct list_entry *e,
			 const struct backend_change *c, int64_t now_ms)
{
	bool changed =
		e->deferred || e->from_old_era || differs(&e->entry, &c->entry);

	e->seen = true;
	if (store_position_cmp(c->pos, e->pos) < 0)
		return;
	if (is_outdated(e, c)) {
		if (c->pos.era > e->pos.era)
			confirm_entry(l, e, c, now_ms);
		return;
	}
	/* What precedes a listing may have been missed. */
	if (e->deferred || l->listing)
		e->since = c->pos;
	e->entry = c->entry;
	e->pos = c->pos;
	e->deferred = false;
	e->from_old_era = false;
	if (changed)
		backend_list_publish(l, c, now_ms);
}

/* backend_list_add() adds a server that isn't on the list. */
void backend_list_add(struct backend_list *l, const struct backend_change *c,
		      int64_t now_ms)
{
	struct list_entry *e = g_new0(struct list_entry, 1);

	e->entry = c->entry;
	e->pos = e->since = c->pos;
	e->seen = true;
	g_hash_table_remove(l->unconfirmed, e->entry.id);
	g_hash_table_insert(l->entries, e->entry.id, e);
	backend_list_publish(l, c, now_ms);
}

/*
 * backend_list_apply_record() applies one record. Records older than the last
 * one applied for their server are ignored.
 */
void backend_list_apply_record(struct backend_list *l,
			       const struct backend_change *c, int64_t now_ms)
{
	struct list_entry *e;

	if (c->removed) {
		remove_entry(l, c, now_ms);
		return;
	}
	if (c->missing) {
		defer_missing_entry(l, c, now_ms);
		return;
	}
	e = g_hash_table_lookup(l->entries, c->entry.id);
	if (c->unconfirmed) {
		if (!e)
			add_unconfirmed_entry(l, c, now_ms);
		return;
	}
	if (e) {
		update_entry(l, e, c, now_ms);
		return;
	}
	switch (removed_servers_classify(&l->removed, &c->entry, c->pos,
					 now_ms)) {
	case ENTRY_NEW:
		backend_list_add(l, c, now_ms);
		break;
	case ENTRY_UNCONFIRMED:
		add_unconfirmed_entry(l, c, now_ms);
		break;
	case ENTRY_STALE:
		break;
	}
}

/* Drops changes that have been sent to the peers for long enough. */
static void prune_recent(struct backend_list *l, int64_t now_ms)
{
	guint n = 0;

	while (n < l->recent->len &&
	       now_ms - g_array_index(l->recent_ms, int64_t, n) > RECENT_MS)
		n++;
	if (n == 0)
		return;
	l->recent_from = store_position_next(
		g_array_index(l->recent, struct backend_change, n - 1).pos);
	if (store_position_cmp(l->recent_from, l->pos) > 0)
		l->recent_from = l->pos;
	g_array_remove_range(l->recent, 0, n);
	g_array_remove_range(l->recent_ms, 0, n);
}

/*
 * backend_list_advance() notes that all records before `end` are applied, and
 * that the store had no others at as_of_ms.
 */
void backend_list_advance(struct backend_list *l, struct store_position end,
			  int64_t as_of_ms, int64_t now_ms)
{
	if (store_position_cmp(end, l->pos) > 0)
		l->pos = end;
	if (as_of_ms > l->fresh_ms)
		l->fresh_ms = as_of_ms;
	prune_recent(l, now_ms);
}

/*
 * backend_list_begin_restored() marks what is applied from here on as possibly
 * coming from a backup.
 */
void backend_list_begin_restored(struct backend_list *l, int64_t now_ms)
{
	l->restored = true;
	l->restored_ms = now_ms;
}

/* Marks all entries as contained in the present listing, or as not yet. */
static void set_seen(struct backend_list *l, bool seen)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct list_entry *)v)->seen = seen;
	g_hash_table_iter_init(&it, l->unconfirmed);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct list_entry *)v)->seen = seen;
}

/*
 * backend_list_replace_begin() begins to apply a full listing of an era; its
 * entries are passed to backend_list_apply_record().
 */
void backend_list_replace_begin(struct backend_list *l, uint64_t era,
				int64_t now_ms)
{
	backend_list_note_gap(l, "listing", now_ms);
	l->listing = true;
	l->restored = false;
	if (l->loaded && era > l->pos.era)
		backend_list_begin_restored(l, now_ms);
	set_seen(l, false);
}

/*
 * backend_list_keep_unlisted() keeps the entries that an incomplete listing
 * lacks. Call it before the listing is ended.
 */
void backend_list_keep_unlisted(struct backend_list *l)
{
	set_seen(l, true);
}

/*
 * Returns the position of changes for entries that a listing lacks: just before
 * its end, so that peers apply them together with its last record.
 */
static struct store_position preceding(struct store_position end)
{
	end.offset -= end.offset > 0;
	return end;
}

/* Removes an entry that a listing lacks, or defers its removal. */
static void drop_unseen(struct backend_list *l, const struct list_entry *e,
			struct store_position end, int64_t now_ms)
{
	struct backend_change c = {.pos = l->restored ? preceding(end) : e->pos,
				   .removed = !l->restored,
				   .missing = l->restored,
				   .entry = e->entry};

	backend_list_apply_record(l, &c, now_ms);
}

/*
 * Drops unconfirmed entries that a listing lacks: they were removed again
 * before it.
 */
static void drop_unseen_unconfirmed(struct backend_list *l,
				    struct store_position end, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->unconfirmed);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *d = v;
		struct backend_change c = {.pos = preceding(end),
					   .removed = true,
					   .entry = d->entry};

		if (d->seen || store_position_cmp(d->pos, end) >= 0)
			continue;
		record_recent(l, &c, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Orders changes by position: a listing isn't in log order, but changes for
 * peers must be.
 */
static gint by_position(gconstpointer a, gconstpointer b)
{
	const struct backend_change *x = a, *y = b;

	return store_position_cmp(x->pos, y->pos);
}

/*
 * backend_list_replace_end() ends a full listing: entries that it lacked are
 * removed. `end` is the position to continue reading from.
 */
void backend_list_replace_end(struct backend_list *l, struct store_position end,
			      int64_t as_of_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	GPtrArray *unseen = g_ptr_array_new();

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *e = v;

		/*
		 * Entries newer than the listing can't be in it, and a deferred
		 * removal keeps its due time.
		 */
		if (!e->seen && store_position_cmp(e->pos, end) < 0 &&
		    (l->restored || !e->deferred))
			g_ptr_array_add(unseen, v);
	}
	for (guint i = 0; i < unseen->len; i++)
		drop_unseen(l, g_ptr_array_index(unseen, i), end, now_ms);
	g_ptr_array_unref(unseen);
	drop_unseen_unconfirmed(l, end, now_ms);
	if (!l->loaded)
		list_cover_begin(&l->cover, now_ms, l->heartbeat_ms);
	l->loaded = true;
	l->listing = false;
	l->listing_end = end;
	g_array_sort(l->recent, by_position);
	backend_list_advance(l, end, as_of_ms, now_ms);
	if (l->restored) {
		l->restored = false;
		return;
	}
	/* Peers that are behind can't be updated across a full listing. */
	g_array_set_size(l->recent, 0);
	g_array_set_size(l->recent_ms, 0);
	l->recent_from = l->pos;
}
