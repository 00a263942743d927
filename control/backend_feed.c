#include "control/backend_list_private.h"

enum {
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
};

/* What the feed doesn't name is in the new era as it was. */
static void begin_era(struct backend_list *l, const struct backend_feed *f)
{
	uint64_t era = f->to.era;
	GHashTableIter it;
	gpointer v;

	l->listed = store_position_cmp(f->listed_from, f->to) > 0
			    ? f->listed_from
			    : f->to;
	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct listed *e = v;

		if (e->pos.era >= era)
			continue;
		e->carried = true;
		if (!e->missing)
			e->pos = (struct store_position){era, 0};
	}
}

/* Tells whether a feed holds all that is new after a place. */
static bool covers(const struct backend_feed *f, struct store_position known)
{
	if (known.era == f->from.era)
		return store_position_cmp(f->from, known) <= 0;
	/* What of a listing was news to the feeder may be less than to others. */
	return known.era == f->to.era &&
	       store_position_cmp(f->listed_from, known) <= 0;
}

/*
 * backend_list_feed() takes in what a peer read; nothing of an earlier era.
 * Returns false when the feed begins after the records known here: this instance
 * must read by itself.
 */
bool backend_list_feed(struct backend_list *l, const struct backend_feed *f,
		       int64_t now_ms)
{
	struct store_position known = l->pos;
	bool copied = l->copied;

	if (!l->loaded)
		return false;
	if (f->to.era < known.era)
		return true;
	if (!covers(f, known))
		return false;
	if (f->removal_delay_ms &&
	    now_ms + f->removal_delay_ms > l->settle_until)
		l->settle_until = now_ms + f->removal_delay_ms;
	else
		backend_list_note_silence(l, now_ms);
	if (f->to.era > known.era)
		backend_list_begin_copy(l, now_ms);
	for (guint i = 0; i < f->changes->len; i++) {
		const struct backend_change *c =
			&g_array_index(f->changes, struct backend_change, i);

		if (store_position_cmp(c->pos, known) >= 0)
			backend_list_record(l, c, now_ms);
	}
	if (f->to.era > known.era)
		begin_era(l, f);
	l->copied = copied;
	backend_list_caught_up(l, f->to,
			       f->age_ms == AGE_UNKNOWN ? l->fresh_ms
							: now_ms - f->age_ms,
			       now_ms);
	return true;
}

/* backend_list_outline() describes the recent changes for the peers. */
void backend_list_outline(struct backend_list *l, struct backend_feed *f,
			  int64_t now_ms)
{
	int64_t settle = l->settle_until - now_ms;

	f->from = l->recent_from;
	f->listed_from = l->listed;
	f->to = l->pos;
	f->age_ms = (uint32_t)(now_ms - l->fresh_ms);
	f->removal_delay_ms = settle > 0 ? (uint32_t)settle : 0;
	f->changes = l->recent;
}

/* backend_list_export() appends a change for each entry, and what is held back. */
void backend_list_export(const struct backend_list *l, GArray *changes)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *e = v;
		struct backend_change c = {.pos = e->pos, .entry = e->entry};

		g_array_append_val(changes, c);
		c.missing = true;
		if (e->missing)
			g_array_append_val(changes, c);
	}
	g_hash_table_iter_init(&it, l->doubted);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct listed *d = v;
		struct backend_change c = {
			.pos = d->pos, .unconfirmed = true, .entry = d->entry};

		g_array_append_val(changes, c);
	}
}

/*
 * backend_list_import() takes in a peer's whole list, complete up to `end`,
 * in the place of a listing of the store.
 */
void backend_list_import(struct backend_list *l, const GArray *changes,
			 struct store_position end, int64_t as_of_ms,
			 int64_t now_ms)
{
	backend_list_replace_begin(l, end.era, now_ms);
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
		many && rank >= HUB_COUNT ? RETRY_PATIENT_MS : RETRY_MAX_MS;
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
