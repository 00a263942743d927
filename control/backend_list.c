#include <string.h>

#include "control/backend_list.h"

enum {
	/*
	 * Entries that lapsed while the store was away come back within two
	 * seconds of its return; one still missing then is gone.
	 */
	SETTLE_MS = 2200,
	/*
	 * Without news for this long the store may have been away and leases
	 * may have run out; below it no lease can (three heartbeats of 1.5 s).
	 */
	AWAY_MS = 1500,
	/* Changes are repeated to peers for this long, against loss. */
	RECENT_MS = 2500,
	/*
	 * The reader's period. A leaving server must get no new work 2 s
	 * after the store has it; the period, one take-over and the way to
	 * the last instance stay within 1.4 s.
	 */
	READ_MS = 450,
	TAKE_OVER_MS = 700, /* without news the next in line reads */
	RANK_STEP_MS = 50,  /* so that they don't all read at once */
	RANK_MAX = 12,
	RETRY_MS = 200, /* after a failure, doubled up to the longest */
	RETRY_MAX_MS = 1000,
	/*
	 * In a large system those behind the hubs try this seldom: the hubs
	 * find out that the store is back and feed them. One that hears of no
	 * feed must know within 3 s what the store says.
	 */
	RETRY_PATIENT_MS = 2800,
	/*
	 * An earlier word of a server that is off the list may still be on its
	 * way: writes without an answer are done seconds later.
	 */
	ENDED_MS = 10 * 1000,
};

/* A server that was on the list. */
struct ended {
	struct backend_entry entry; /* its last word */
	int64_t at_ms;
};

struct listed {
	struct backend_entry entry;
	uint64_t offset; /* of its newest record */
	bool missing;	 /* its removal is held back */
	bool seen;	 /* in the listing that is being read */
};

/* backend_list_init() makes an empty list; `changed` hears of changes. */
void backend_list_init(struct backend_list *l,
		       void (*changed)(void *priv,
				       const struct backend_change *c),
		       void *priv)
{
	memset(l, 0, sizeof(*l));
	l->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->ended = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	l->recent = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	l->recent_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->changed = changed;
	l->priv = priv;
}

/* Keeps a change for the peers. */
static void remember(struct backend_list *l, const struct backend_change *c,
		     int64_t now_ms)
{
	if (c->offset < l->offset)
		return;
	g_array_append_val(l->recent, *c);
	g_array_append_val(l->recent_ms, now_ms);
}

/* Keeps a change for the peers and tells the owner. */
static void publish(struct backend_list *l, const struct backend_change *c,
		    int64_t now_ms)
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
 * News after a long silence may hold removals that only the silence caused;
 * called before they are taken in.
 */
static void note_silence(struct backend_list *l, int64_t now_ms)
{
	if (l->loaded && now_ms - l->fresh_ms > AWAY_MS)
		l->settle_until = now_ms + SETTLE_MS;
}

/*
 * backend_list_read_begin() comes before the records of an own read.
 */
void backend_list_read_begin(struct backend_list *l, int64_t now_ms)
{
	note_silence(l, now_ms);
}

/* Remembers the last word of a server that is off the list. */
static void note_ended(struct backend_list *l, const struct backend_entry *e,
		       int64_t now_ms)
{
	struct ended *x = g_new0(struct ended, 1);

	x->entry = *e;
	x->at_ms = now_ms;
	g_hash_table_replace(l->ended, x->entry.id, x);
}

static void remove_entry(struct backend_list *l, const struct backend_change *c,
			 int64_t now_ms)
{
	struct listed *e = g_hash_table_lookup(l->entries, c->entry.id);

	if (!e || c->offset < e->offset)
		return;
	e->offset = c->offset;
	if (now_ms < l->settle_until) {
		e->missing = true;
		remember(l, c, now_ms);
		return;
	}
	struct backend_change gone = *c;

	publish(l, &gone, now_ms);
	note_ended(l, &e->entry, now_ms);
	g_hash_table_remove(l->entries, gone.entry.id);
}

/* Tells whether a record says less of its server than is known. */
static bool is_outdated(struct backend_list *l, const struct listed *e,
			const struct backend_entry *said, int64_t now_ms)
{
	const struct ended *x = g_hash_table_lookup(l->ended, said->id);

	if (e)
		return backend_entry_is_older(said, &e->entry);
	return x && now_ms - x->at_ms < ENDED_MS &&
	       backend_entry_is_older(said, &x->entry);
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
	e = g_hash_table_lookup(l->entries, c->entry.id);
	if (e)
		e->seen = true;
	if (e && c->offset < e->offset)
		return;
	if (is_outdated(l, e, &c->entry, now_ms))
		return;
	bool changed = !e || e->missing || differs(&e->entry, &c->entry);

	if (!e) {
		e = g_new0(struct listed, 1);
		e->entry = c->entry;
		g_hash_table_insert(l->entries, e->entry.id, e);
	}
	e->entry = c->entry;
	e->offset = c->offset;
	e->missing = false;
	e->seen = true;
	if (changed)
		publish(l, c, now_ms);
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
	l->recent_from =
		g_array_index(l->recent, struct backend_change, n - 1).offset +
		1;
	g_array_remove_range(l->recent, 0, n);
	g_array_remove_range(l->recent_ms, 0, n);
}

/*
 * backend_list_caught_up() says that all records before `end` are taken in
 * and that these were all there were at as_of_ms. After a time without news
 * removals are held back for a while.
 */
void backend_list_caught_up(struct backend_list *l, uint64_t end,
			    int64_t as_of_ms, int64_t now_ms)
{
	if (end > l->offset)
		l->offset = end;
	if (as_of_ms > l->fresh_ms)
		l->fresh_ms = as_of_ms;
	prune_recent(l, now_ms);
}

/*
 * backend_list_feed() takes in what a peer read. Returns false when the feed
 * begins after the records known here: this instance must read by itself.
 */
bool backend_list_feed(struct backend_list *l, const struct backend_feed *f,
		       int64_t now_ms)
{
	if (!l->loaded || f->from > l->offset)
		return false;
	if (f->settle_ms && now_ms + f->settle_ms > l->settle_until)
		l->settle_until = now_ms + f->settle_ms;
	else
		note_silence(l, now_ms);
	uint64_t known = l->offset;

	for (guint i = 0; i < f->changes->len; i++) {
		const struct backend_change *c =
			&g_array_index(f->changes, struct backend_change, i);

		if (c->offset >= known)
			backend_list_record(l, c, now_ms);
	}
	backend_list_caught_up(l, f->to,
			       f->age_ms == FEED_AGE_UNKNOWN
				       ? l->fresh_ms
				       : now_ms - f->age_ms,
			       now_ms);
	return true;
}

/*
 * backend_list_replace_begin() starts taking in a whole listing, whose
 * entries come through backend_list_record().
 */
void backend_list_replace_begin(struct backend_list *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	note_silence(l, now_ms);
	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct listed *)v)->seen = false;
}

/*
 * backend_list_replace_end() ends it: entries that the listing lacked are
 * removed. `end` is the offset from which to read on.
 */
void backend_list_replace_end(struct backend_list *l, uint64_t end,
			      int64_t as_of_ms, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	GPtrArray *lost = g_ptr_array_new();

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *e = v;

		/* What is newer than the listing can't be in it. */
		if (!e->seen && e->offset < end)
			g_ptr_array_add(lost, v);
	}
	for (guint i = 0; i < lost->len; i++) {
		struct listed *e = g_ptr_array_index(lost, i);
		struct backend_change c = {.offset = e->offset,
					   .removed = true,
					   .entry = e->entry};

		remove_entry(l, &c, now_ms);
	}
	g_ptr_array_unref(lost);
	l->loaded = true;
	backend_list_caught_up(l, end, as_of_ms, now_ms);
	/* Peers that are behind can't be fed across a listing. */
	g_array_set_size(l->recent, 0);
	g_array_set_size(l->recent_ms, 0);
	l->recent_from = l->offset;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer now_ms)
{
	const struct ended *x = value;

	return *(const int64_t *)now_ms - x->at_ms >= ENDED_MS;
}

/* backend_list_settle() removes what is still missing in due time. */
void backend_list_settle(struct backend_list *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	if (l->settle_until == 0 || now_ms < l->settle_until)
		return;
	l->settle_until = 0;
	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct listed *e = v;
		struct backend_change c = {.offset = e->offset,
					   .removed = true,
					   .entry = e->entry};

		if (!e->missing)
			continue;
		l->changed(l->priv, &c);
		note_ended(l, &e->entry, now_ms);
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_foreach_remove(l->ended, is_forgotten, &now_ms);
}

/* backend_list_outline() describes the recent changes for the peers. */
void backend_list_outline(struct backend_list *l, struct backend_feed *f,
			  int64_t now_ms)
{
	int64_t settle = l->settle_until - now_ms;

	f->from = l->recent_from;
	f->to = l->offset;
	f->age_ms = (uint32_t)(now_ms - l->fresh_ms);
	f->settle_ms = settle > 0 ? (uint32_t)settle : 0;
	f->changes = l->recent;
}

/* backend_list_export() appends a change for each entry. */
void backend_list_export(const struct backend_list *l, GArray *changes)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *e = v;
		struct backend_change c = {.offset = e->offset,
					   .entry = e->entry};

		g_array_append_val(changes, c);
	}
}

/*
 * backend_list_import() takes in a peer's whole list, complete up to `end`,
 * in the place of a listing of the store.
 */
void backend_list_import(struct backend_list *l, const GArray *changes,
			 uint64_t end, int64_t as_of_ms, int64_t now_ms)
{
	backend_list_replace_begin(l, now_ms);
	for (guint i = 0; i < changes->len; i++)
		backend_list_record(
			l, &g_array_index(changes, struct backend_change, i),
			now_ms);
	backend_list_replace_end(l, end, as_of_ms, now_ms);
}

/*
 * backend_read_due() says when this instance is to read the list itself: the
 * first in rank always, another when nobody's news have come for too long,
 * later the further back it stands, and after failures not too often.
 */
int64_t backend_read_due(unsigned rank, bool many, int64_t fresh_ms,
			 int64_t tried_ms, unsigned failures)
{
	int64_t longest =
		many && rank >= HUBS ? RETRY_PATIENT_MS : RETRY_MAX_MS;
	unsigned r = rank < RANK_MAX ? rank : RANK_MAX;
	int64_t due =
		fresh_ms +
		(rank ? TAKE_OVER_MS + (int64_t)r * RANK_STEP_MS : READ_MS);

	if (failures) {
		unsigned shift = failures < 5 ? failures - 1 : 4;
		int64_t wait = (int64_t)RETRY_MS << shift;

		if (wait > longest)
			wait = longest;
		if (tried_ms + wait > due)
			due = tried_ms + wait;
	}
	return due;
}
