#include <string.h>

#include "common/event.h"
#include "control/backend_list_private.h"

enum {
	HEARTBEAT_STANDARD_MS = 1500,
	/* Changes are repeated to peers for this long, against loss. */
	RECENT_MS = 2500,
};

/* backend_list_init() makes an empty list; `changed` hears of changes. */
void backend_list_init(struct backend_list *l,
		       void (*changed)(void *priv,
				       const struct backend_change *c),
		       void *priv)
{
	memset(l, 0, sizeof(*l));
	l->heartbeat_ms = HEARTBEAT_STANDARD_MS;
	l->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->doubted =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	ended_servers_init(&l->ended);
	l->recent = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	l->recent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->changed = changed;
	l->priv = priv;
}

/* Keeps a change for the peers. */
static void remember(struct backend_list *l, const struct backend_change *c,
		     int64_t now_ms)
{
	if (store_position_cmp(c->pos, l->pos) < 0)
		return;
	g_array_append_val(l->recent, *c);
	g_array_append_val(l->recent_ms, now_ms);
}

/* backend_list_publish() keeps a change for the peers and tells the owner. */
void backend_list_publish(struct backend_list *l,
			  const struct backend_change *c, int64_t now_ms)
{
	remember(l, c, now_ms);
	l->changed(l->priv, c);
}

/* Tells whether two entries differ in more than their remaining warm-up. */
static bool differs(const struct backend_entry *a,
		    const struct backend_entry *b)
{
	return strcmp(a->service, b->service) || strcmp(a->dc, b->dc) ||
	       memcmp(&a->addr, &b->addr, sizeof(a->addr)) ||
	       a->slots != b->slots || a->draining != b->draining ||
	       a->born_ms != b->born_ms;
}

/*
 * backend_list_note_silence() comes before news are taken in: after a long
 * silence they may hold removals that only the silence caused.
 */
void backend_list_note_silence(struct backend_list *l, int64_t now_ms)
{
	/* A lease is three heartbeats: below one none can have run out. */
	if (l->loaded && now_ms - l->fresh_ms > l->heartbeat_ms)
		l->settle_until = now_ms + BACKEND_SETTLE_MS;
}

/*
 * backend_list_read_begin() comes before the records of an own read.
 */
void backend_list_read_begin(struct backend_list *l, int64_t now_ms)
{
	backend_list_note_silence(l, now_ms);
}

static void remove_entry(struct backend_list *l, const struct backend_change *c,
			 int64_t now_ms)
{
	struct listed *e = g_hash_table_lookup(l->entries, c->entry.id);

	/* Peers may hold it, or doubt it too. */
	g_hash_table_remove(l->doubted, c->entry.id);
	if (!e)
		remember(l, c, now_ms);
	if (!e || store_position_cmp(c->pos, e->pos) < 0)
		return;
	e->pos = c->pos;
	if (backend_list_holds_back(l, e, now_ms)) {
		remember(l, c, now_ms);
		return;
	}
	struct backend_change gone = *c;

	backend_list_publish(l, &gone, now_ms);
	ended_servers_add(&l->ended, &e->entry, c->pos, now_ms);
	g_hash_table_remove(l->entries, gone.entry.id);
}

/*
 * backend_list_remove_missing() takes off a server that the copy lacks if a removal
 * in its log is newer than the copy. The copy ended before the entry's lost record,
 * so a removal before that may be an earlier one, after which the server was back.
 */
void backend_list_remove_missing(struct backend_list *l,
				 const struct backend_change *c, int64_t now_ms)
{
	const struct listed *e = g_hash_table_lookup(l->entries, c->entry.id);
	struct backend_change gone = *c;

	if (!e || !e->missing || e->carried || c->pos.offset < e->pos.offset)
		return;
	gone.pos = l->pos;
	remove_entry(l, &gone, now_ms);
}

/* The store's copy lacks a server that has written nothing since. */
static void miss_entry(struct backend_list *l, const struct backend_change *c,
		       int64_t now_ms)
{
	struct listed *e = g_hash_table_lookup(l->entries, c->entry.id);

	if (!e || store_position_cmp(c->pos, e->pos) < 0)
		return;
	backend_list_hold(l, e, now_ms);
	remember(l, c, now_ms);
}

/* The copy has one that was off the list: a removal may be written again. */
static void doubt_entry(struct backend_list *l, const struct backend_change *c,
			int64_t now_ms)
{
	struct listed *d = g_new0(struct listed, 1);
	struct backend_change told = *c;

	d->entry = c->entry;
	d->pos = c->pos;
	d->seen = true;
	told.doubted = true;
	remember(l, &told, now_ms);
	backend_list_doubt(l, d, now_ms);
	mp_event(EV_MEMBER_UNCONFIRMED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT,
		 d->entry.id, d->entry.service, d->pos.offset, d->pos.era);
}

/*
 * Tells whether a record says less of its server than is known. Of a later era
 * than what is known it may come from the copy.
 */
static bool is_outdated(const struct listed *e, const struct backend_change *c)
{
	if (c->pos.era > e->pos.era)
		return !backend_entry_is_newer(&c->entry, &e->entry);
	return backend_entry_is_older(&c->entry, &e->entry);
}

/* The new era has an entry as well, though it says nothing new. */
static void confirm_entry(struct backend_list *l, struct listed *e,
			  const struct backend_change *said, int64_t now_ms)
{
	struct backend_change c = {.pos = said->pos, .entry = e->entry};
	bool was_missing = e->missing;

	e->pos = said->pos;
	e->missing = false;
	e->carried = differs(&e->entry, &said->entry);
	if (was_missing)
		backend_list_publish(l, &c, now_ms);
}

/* A record of a server that is on the list. */
static void update_entry(struct backend_list *l, struct listed *e,
			 const struct backend_change *c, int64_t now_ms)
{
	bool changed =
		e->missing || e->carried || differs(&e->entry, &c->entry);

	e->seen = true;
	if (store_position_cmp(c->pos, e->pos) < 0)
		return;
	if (is_outdated(e, c)) {
		if (c->pos.era > e->pos.era)
			confirm_entry(l, e, c, now_ms);
		return;
	}
	e->entry = c->entry;
	e->pos = c->pos;
	e->missing = false;
	e->carried = false;
	if (changed)
		backend_list_publish(l, c, now_ms);
}

/* backend_list_add() puts a server on the list that isn't on it. */
void backend_list_add(struct backend_list *l, const struct backend_change *c,
		      int64_t now_ms)
{
	struct listed *e = g_new0(struct listed, 1);

	e->entry = c->entry;
	e->pos = c->pos;
	e->seen = true;
	g_hash_table_remove(l->doubted, e->entry.id);
	g_hash_table_insert(l->entries, e->entry.id, e);
	backend_list_publish(l, c, now_ms);
}

/*
 * backend_list_record() takes in one record. Records older than what is
 * known of their entry are passed over.
 */
void backend_list_record(struct backend_list *l, const struct backend_change *c,
			 int64_t now_ms)
{
	struct listed *e;

	if (c->removed) {
		remove_entry(l, c, now_ms);
		return;
	}
	if (c->missing) {
		miss_entry(l, c, now_ms);
		return;
	}
	e = g_hash_table_lookup(l->entries, c->entry.id);
	if (c->doubted) {
		if (!e)
			doubt_entry(l, c, now_ms);
		return;
	}
	if (e) {
		update_entry(l, e, c, now_ms);
		return;
	}
	switch (ended_servers_judge(&l->ended, &c->entry, c->pos, now_ms)) {
	case ENDED_NEWS:
		backend_list_add(l, c, now_ms);
		break;
	case ENDED_DOUBT:
		doubt_entry(l, c, now_ms);
		break;
	case ENDED_LATE:
		break;
	}
}

/* Forgets changes that every peer had time to hear of. */
static void prune_recent(struct backend_list *l, int64_t now_ms)
{
	guint n = 0;

	while (n < l->recent->len &&
	       now_ms - g_array_index(l->recent_ms, int64_t, n) > RECENT_MS)
		n++;
	if (n == 0)
		return;
	l->recent_from = store_position_after(
		g_array_index(l->recent, struct backend_change, n - 1).pos);
	if (store_position_cmp(l->recent_from, l->pos) > 0)
		l->recent_from = l->pos;
	g_array_remove_range(l->recent, 0, n);
	g_array_remove_range(l->recent_ms, 0, n);
}

/*
 * backend_list_caught_up() says that all records before `end` are taken in
 * and that these were all there were at as_of_ms. After a time without news
 * removals are held back for a while.
 */
void backend_list_caught_up(struct backend_list *l, struct store_position end,
			    int64_t as_of_ms, int64_t now_ms)
{
	if (store_position_cmp(end, l->pos) > 0)
		l->pos = end;
	if (as_of_ms > l->fresh_ms)
		l->fresh_ms = as_of_ms;
	prune_recent(l, now_ms);
}

/* backend_list_begin_copy(): what is taken in from here on comes from a copy. */
void backend_list_begin_copy(struct backend_list *l, int64_t now_ms)
{
	l->copied = true;
	l->copied_ms = now_ms;
}

/*
 * backend_list_replace_begin() starts taking in a whole listing of an era,
 * whose entries come through backend_list_record().
 */
void backend_list_replace_begin(struct backend_list *l, uint64_t era,
				int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	backend_list_note_silence(l, now_ms);
	l->copied = false;
	if (l->loaded && era > l->pos.era)
		backend_list_begin_copy(l, now_ms);
	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct listed *)v)->seen = false;
	g_hash_table_iter_init(&it, l->doubted);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct listed *)v)->seen = false;
}

/* The place of what a listing lacks: peers take it in with its last record. */
static struct store_position before(struct store_position end)
{
	end.offset -= end.offset > 0;
	return end;
}

/* Takes off an entry that a listing lacks, or holds it back. */
static void drop_unseen(struct backend_list *l, const struct listed *e,
			struct store_position end, int64_t now_ms)
{
	struct backend_change c = {.pos = l->copied ? before(end) : e->pos,
				   .removed = !l->copied,
				   .missing = l->copied,
				   .entry = e->entry};

	backend_list_record(l, &c, now_ms);
}

/* What was doubted has been removed again before the listing. */
static void end_unseen_doubts(struct backend_list *l, struct store_position end,
			      int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->doubted);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *d = v;
		struct backend_change c = {
			.pos = before(end), .removed = true, .entry = d->entry};

		if (d->seen || store_position_cmp(d->pos, end) >= 0)
			continue;
		remember(l, &c, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

/* A listing isn't in the order of the log, as changes for peers must be. */
static gint by_position(gconstpointer a, gconstpointer b)
{
	const struct backend_change *x = a, *y = b;

	return store_position_cmp(x->pos, y->pos);
}

/*
 * backend_list_replace_end() ends it: entries that the listing lacked are
 * removed. `end` is the place from which to read on.
 */
void backend_list_replace_end(struct backend_list *l, struct store_position end,
			      int64_t as_of_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	GPtrArray *lost = g_ptr_array_new();

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *e = v;

		/*
		 * What is newer than the listing can't be in it; what is missing
		 * already has its time.
		 */
		if (!e->seen && store_position_cmp(e->pos, end) < 0 &&
		    (l->copied || !e->missing))
			g_ptr_array_add(lost, v);
	}
	for (guint i = 0; i < lost->len; i++)
		drop_unseen(l, g_ptr_array_index(lost, i), end, now_ms);
	g_ptr_array_unref(lost);
	end_unseen_doubts(l, end, now_ms);
	l->loaded = true;
	l->listed = end;
	g_array_sort(l->recent, by_position);
	backend_list_caught_up(l, end, as_of_ms, now_ms);
	if (l->copied) {
		l->copied = false;
		return;
	}
	/* Peers that are behind can't be fed across a listing. */
	g_array_set_size(l->recent, 0);
	g_array_set_size(l->recent_ms, 0);
	l->recent_from = l->pos;
}
