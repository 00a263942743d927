#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/backend_watch.h"
#include "misc/clock.h"
#include "misc/text.h"
#include "platform/backend_record.h"

enum {
	/* Read before the end of a listing, to find removals just before it. */
	TAIL_RECORDS = 64,
	/* Until a listing that ended early is repeated; the log is read on. */
	RELIST_PAUSE_MS = 5000,
};

/*
 * Decodes a record as the removal of its key. Returns false if the key is
 * invalid.
 */
static bool decode_key(const struct store_record *rec, struct backend_change *c)
{
	memset(c, 0, sizeof(*c));
	c->pos = rec->pos;
	if (backend_record_id(rec->key, c->entry.id))
		return false;
	c->removed = true;
	return true;
}

/*
 * Decodes a record of the list. An entry that can't be decoded is treated as a
 * removal. Returns false if the key is invalid too.
 */
static bool decode(const struct store_record *rec, struct backend_change *c)
{
	char *key;

	memset(c, 0, sizeof(*c));
	c->pos = rec->pos;
	if (rec->value.len == 0)
		return decode_key(rec, c);
	if (backend_record_decode(rec->key, rec->value, &c->entry) == 0)
		return true;
	key = text_escape(rec->key);
	mp_event(EV_MEMBER_INVALID_RECORD, G_LOG_LEVEL_WARNING,
		 "record %" G_GUINT64_FORMAT " of '%s' can't be decoded",
		 rec->pos.offset, key);
	g_free(key);
	return decode_key(rec, c);
}

/* Applies the records of a read or of a page. */
static void apply_records(struct backend_watch *w, const struct store_result *r,
			  int64_t now_ms)
{
	for (size_t i = 0; i < r->nrecords; i++) {
		struct backend_change c;

		if (decode(&r->records[i], &c))
			backend_list_apply_record(&w->list, &c, now_ms);
	}
}

/* Handles a failed call; the next tick retries it. */
static void on_failure(struct backend_watch *w, int err)
{
	w->listing = false;
	/*
	 * The store answers but no longer has this position: list again at
	 * once.
	 */
	if (err == -ERANGE) {
		mp_event(EV_STORE_RELIST, G_LOG_LEVEL_MESSAGE,
			 "what=backends offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT
			 " known_era=%" G_GUINT64_FORMAT,
			 w->list.pos.offset, w->list.pos.era,
			 w->store.store->era);
		w->relist = true;
		return;
	}
	if (err == -ECANCELED)
		return;
	if (w->failures++ == 0)
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=backends err=%s age_ms=%" G_GINT64_FORMAT,
			 g_strerror(-err), clock_boot_ms() - w->list.fresh_ms);
}

/*
 * Reads the end of the log after a restore. A server that the listing lacks is
 * either missing from the backup or was removed after the restore; only the log
 * shows which.
 */
static bool read_tail(struct backend_watch *w)
{
	struct store_position from = w->list.pos;

	if (!w->listing_restored || !backend_list_has_deferred(&w->list))
		return false;
	from.offset -= MIN(from.offset, TAIL_RECORDS);
	w->reading_tail = true;
	store_read(&w->store, STORE_TOPIC_BACKENDS, from, 0);
	return true;
}

/* Applies removals in the tail that confirm deferred ones. */
static void apply_removals(struct backend_watch *w,
			   const struct store_result *r, int64_t now_ms)
{
	for (size_t i = 0; i < r->nrecords; i++) {
		struct backend_change c;

		if (!decode(&r->records[i], &c) || !c.removed)
			continue;
		backend_list_remove_deferred(&w->list, &c, now_ms);
	}
}

/*
 * Applies one page of a full listing. Reading continues at the end position of
 * the first page.
 */
static void on_page(struct backend_watch *w, const struct store_result *r,
		    int64_t now_ms)
{
	if (!w->listing) {
		w->listing = true;
		w->listing_end = r->end;
		backend_list_replace_begin(&w->list, r->end.era, now_ms);
		w->listing_restored = w->list.restored;
	}
	apply_records(w, r, now_ms);
	if (r->more) {
		store_list(&w->store, STORE_TOPIC_BACKENDS, r->last_key);
		return;
	}
	w->listing = false;
	w->relist_ms = r->incomplete ? now_ms + RELIST_PAUSE_MS : 0;
	if (r->incomplete)
		backend_list_keep_unlisted(&w->list);
	backend_list_replace_end(&w->list, w->listing_end, w->read_sent_ms,
				 now_ms);
}

/* Handles the end of a successful read. */
static void on_read_complete(struct backend_watch *w)
{
	bool recovered = w->failures > 0;

	if (recovered)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=backends failures=%u", w->failures);
	w->failures = 0;
	w->answered_ms = w->read_sent_ms;
	w->gap = false;
	w->relist = false;
	w->read_done(w->priv, recovered);
}

/* Handles the result of any call to the store. */
static void on_done(void *priv, const struct store_result *r)
{
	struct backend_watch *w = priv;
	int64_t now_ms = clock_boot_ms();

	/*
	 * If this read fails, deferred removals are applied when due, as usual.
	 */
	if (w->reading_tail) {
		w->reading_tail = false;
		if (!r->err)
			apply_removals(w, r, now_ms);
		on_read_complete(w);
		return;
	}
	if (r->err) {
		on_failure(w, r->err);
		return;
	}
	if (w->full_listing) {
		on_page(w, r, now_ms);
		if (w->listing || read_tail(w))
			return;
	} else {
		backend_list_read_begin(&w->list, now_ms);
		apply_records(w, r, now_ms);
		backend_list_advance(&w->list, r->end, w->read_sent_ms, now_ms);
	}
	on_read_complete(w);
}

/*
 * backend_watch_is_current() returns whether the list was confirmed in the
 * store's present era.
 */
bool backend_watch_is_current(const struct backend_watch *w)
{
	return w->list.pos.era == w->store.store->era;
}

/* Returns whether it is time to repeat a listing that was incomplete. */
static bool is_relist_due(const struct backend_watch *w, int64_t now_ms)
{
	return w->relist_ms && now_ms >= w->relist_ms;
}

/* Sends a read of new records, or of a full listing if necessary. */
static void read_now(struct backend_watch *w, int64_t now_ms)
{
	w->read_sent_ms = now_ms;
	w->spread_ms = 0;
	w->full_listing = !w->list.loaded || w->relist ||
			  is_relist_due(w, now_ms) ||
			  !backend_watch_is_current(w);
	if (!w->full_listing)
		store_read(&w->store, STORE_TOPIC_BACKENDS, w->list.pos, 0);
	else
		store_list(&w->store, STORE_TOPIC_BACKENDS, LSTR(""));
}

/*
 * backend_watch_tick() reads from the store when a read is due. Without
 * `may_list` an instance that has no list yet waits for a peer's. Call it about
 * every 0.1 s.
 */
void backend_watch_tick(struct backend_watch *w, bool may_list, unsigned rank,
			bool large, int64_t now_ms)
{
	/* After a change of era, other ranks than the first wait for a feed. */
	int64_t due = backend_list_next_read_ms(
		rank, large, MAX(w->list.fresh_ms, w->era_ms), w->read_sent_ms,
		w->failures);
	bool reads_gap = w->gap && now_ms - w->gap_since_ms >= w->gap_delay_ms;
	bool list_now = !w->list.loaded || reads_gap || w->relist ||
			is_relist_due(w, now_ms) ||
			(rank == 0 && !backend_watch_is_current(w));

	backend_list_apply_deferred(&w->list, now_ms);
	if (w->store.call != STORE_IDLE || !(may_list || w->list.loaded))
		return;
	if (w->list.loaded && !w->relist)
		due += w->spread_ms;
	if (list_now && w->failures == 0)
		due = 0;
	/* A peer has read the store since the last failure here. */
	if (reads_gap && w->gap_ms > w->read_sent_ms)
		due = 0;
	if (now_ms >= due)
		read_now(w, now_ms);
}

/* backend_watch_apply_feed() applies changes that a peer has read. */
void backend_watch_apply_feed(struct backend_watch *w,
			      const struct backend_feed *f, int64_t now_ms)
{
	/* A peer that is still in an earlier era has nothing new. */
	if (f->to.era < w->store.store->era)
		return;
	/*
	 * An instance that is starting reads the store or fetches a peer's
	 * list.
	 */
	if (!w->list.loaded)
		return;
	if (backend_list_apply_feed(&w->list, f, now_ms)) {
		w->gap = false;
		return;
	}
	if (!w->gap)
		w->gap_since_ms = now_ms;
	w->gap = true;
	w->gap_ms = now_ms;
}

/*
 * backend_watch_new_era() cancels a call of the previous era. Must not be
 * called from a store callback.
 */
void backend_watch_new_era(struct backend_watch *w, int64_t now_ms)
{
	w->era_ms = now_ms;
	w->failures = 0;
	if (!store_call_is_stale(&w->store))
		return;
	store_cancel(&w->store);
	w->listing = false;
	w->reading_tail = false;
}

/*
 * backend_watch_start() initializes the watch; its first read is a full
 * listing.
 */
void backend_watch_start(struct backend_watch *w, struct ev_loop *loop,
			 struct store_endpoint *store,
			 void (*changed)(void *priv,
					 const struct backend_change *c),
			 void (*read_done)(void *priv, bool recovered),
			 void *priv)
{
	memset(w, 0, sizeof(*w));
	w->read_done = read_done;
	w->priv = priv;
	backend_list_init(&w->list, changed, priv);
	store_open(&w->store, loop, store, on_done, w);
}
