#include "control/backend_list_private.h"

enum {
	/*
	 * Interval between the reader's reads. A leaving server must get no new
	 * work 2 s after the store lists it as leaving; this interval, one
	 * takeover and the delivery to the last instance add up to 1.4 s.
	 */
	READ_MS = 450,
	TAKEOVER_MS = 700, /* then the next in rank reads */
	RANK_STEP_MS = 50, /* spreads the takeover reads of different ranks */
	RANK_MAX = 12,
	RETRY_MS = 200, /* after the first failure; doubles up to the maximum */
	RETRY_MAX_MS = 1000,
	/*
	 * Retry interval of the instances behind the hubs in a large system.
	 * The hubs detect that the store is back and send their feeds; an
	 * instance that receives none must read the store within 3 s.
	 */
	RETRY_BEHIND_HUBS_MS = 2800,
};

/* Moves entries that the feed doesn't contain into the new era unchanged. */
static void begin_era(struct backend_list *l, const struct backend_feed *f)
{
	uint64_t era = f->to.era;
	GHashTableIter it;
	gpointer v;

	l->listing_end = store_position_cmp(f->listed_from, f->to) > 0
				 ? f->listed_from
				 : f->to;
	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct list_entry *e = v;

		if (e->pos.era >= era)
			continue;
		e->from_old_era = true;
		if (!e->deferred)
			e->pos = (struct store_position){era, 0};
	}
}

/*
 * backend_feed_covers() returns whether a feed contains every change after the
 * position `known`.
 */
bool backend_feed_covers(const struct backend_feed *f,
			 struct store_position known)
{
	if (known.era == f->from.era)
		return store_position_cmp(f->from, known) <= 0;
	/*
	 * Of a listing, a feed contains only what was new to its sender, which
	 * may be less than what is new here: it covers the new era from
	 * `listed` on.
	 */
	return known.era == f->to.era &&
	       store_position_cmp(f->listed_from, known) <= 0;
}

/*
 * Notes a gap that the feed ends, and what the sender says of its own list. An
 * instance whose list had no gap goes by that: the sender's gap is the sender's
 * own, as when it stood still.
 */
static void note_cover(struct backend_list *l, const struct backend_feed *f,
		       int64_t now_ms)
{
	backend_list_note_gap(l, "feed",
			      f->age_ms == AGE_UNKNOWN ? now_ms
						       : now_ms - f->age_ms);
	if (f->covered_ms == AGE_UNKNOWN ||
	    !list_cover_extend(&l->cover, now_ms - f->covered_ms, f->after_gap))
		return;
	backend_list_resettle(l, now_ms);
}

/*
 * backend_list_apply_feed() applies the changes that a peer has read; feeds of
 * an earlier era are ignored. Returns false when the feed begins after the last
 * record applied here, so that this instance must read the store itself.
 */
bool backend_list_apply_feed(struct backend_list *l,
			     const struct backend_feed *f, int64_t now_ms)
{
	struct store_position known = l->pos;
	bool restored = l->restored;

	if (!l->loaded)
		return false;
	if (f->to.era < known.era)
		return true;
	if (!backend_feed_covers(f, known))
		return false;
	note_cover(l, f, now_ms);
	if (f->to.era > known.era)
		backend_list_begin_restored(l, now_ms);
	for (guint i = 0; i < f->changes->len; i++) {
		const struct backend_change *c =
			&g_array_index(f->changes, struct backend_change, i);

		if (store_position_cmp(c->pos, known) >= 0)
			backend_list_apply_record(l, c, now_ms);
	}
	if (f->to.era > known.era)
		begin_era(l, f);
	l->restored = restored;
	backend_list_advance(l, f->to,
			     f->age_ms == AGE_UNKNOWN ? l->fresh_ms
						      : now_ms - f->age_ms,
			     now_ms);
	return true;
}

/* backend_list_build_feed() fills in a feed with the recent changes. */
void backend_list_build_feed(struct backend_list *l, struct backend_feed *f,
			     int64_t now_ms)
{
	int64_t age_ms = now_ms - l->fresh_ms;
	int64_t covered_ms = now_ms - l->cover.since_ms;

	f->from = l->recent_from;
	f->listed_from = l->listing_end;
	f->to = l->pos;
	f->age_ms = (uint32_t)age_ms;
	/* An old list says nothing of the time since. */
	f->covered_ms = age_ms > l->heartbeat_ms
				? AGE_UNKNOWN
				: (uint32_t)MIN(covered_ms, AGE_UNKNOWN - 1);
	f->after_gap = l->cover.after_gap;
	f->changes = l->recent;
}

/*
 * backend_list_export() appends a change for each entry, including entries
 * whose removal is deferred and unconfirmed ones.
 */
void backend_list_export(const struct backend_list *l, GArray *changes)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *e = v;
		struct backend_change c = {.pos = e->pos, .entry = e->entry};

		g_array_append_val(changes, c);
		c.missing = true;
		if (e->deferred)
			g_array_append_val(changes, c);
	}
	g_hash_table_iter_init(&it, l->unconfirmed);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct list_entry *d = v;
		struct backend_change c = {
			.pos = d->pos, .unconfirmed = true, .entry = d->entry};

		g_array_append_val(changes, c);
	}
}

/*
 * backend_list_import() replaces the list by a peer's, which is complete up to
 * `end`, as if it were a listing of the store.
 */
void backend_list_import(struct backend_list *l, const GArray *changes,
			 struct store_position end, int64_t as_of_ms,
			 int64_t now_ms)
{
	backend_list_replace_begin(l, end.era, now_ms);
	for (guint i = 0; i < changes->len; i++)
		backend_list_apply_record(
			l, &g_array_index(changes, struct backend_change, i),
			now_ms);
	backend_list_replace_end(l, end, as_of_ms, now_ms);
}

/*
 * backend_list_next_read_ms() returns when this instance reads the list from
 * the store. The first in rank reads at a fixed interval. Others read when no
 * peer has sent changes for too long, later the lower their rank, and back off
 * after failures.
 */
int64_t backend_list_next_read_ms(unsigned rank, bool large, int64_t fresh_ms,
				  int64_t tried_ms, unsigned failures)
{
	int64_t longest = large && rank >= HUB_COUNT ? RETRY_BEHIND_HUBS_MS
						     : RETRY_MAX_MS;
	unsigned r = rank < RANK_MAX ? rank : RANK_MAX;
	int64_t due = fresh_ms + (rank ? TAKEOVER_MS + (int64_t)r * RANK_STEP_MS
				       : READ_MS);

	if (failures) {
		unsigned shift = failures < 5 ? failures - 1 : 4;
		int64_t delay = (int64_t)RETRY_MS << shift;

		if (delay > longest)
			delay = longest;
		if (tried_ms + delay > due)
			due = tried_ms + delay;
	}
	return due;
}
