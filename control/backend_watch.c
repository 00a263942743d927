#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/backend_watch.h"
#include "misc/clock.h"
#include "platform/records.h"

/* Records before a listing that may hold what was removed just before it. */
enum { TAIL_RECORDS = 64 };

/* The record takes the server of its key off; false when that is unfit. */
static bool decode_key(const struct store_record *rec, struct backend_change *c)
{
	memset(c, 0, sizeof(*c));
	c->pos = rec->pos;
	if (rec->key.len == 0 || rec->key.len >= BACKEND_NAME_MAX)
		return false;
	memcpy(c->entry.id, rec->key.ptr, rec->key.len);
	c->removed = true;
	return true;
}

/*
 * Decodes a record of the list. An entry that can't be read names no server:
 * it counts as taken off. False when not even its key can be read.
 */
static bool decode(const struct store_record *rec, struct backend_change *c)
{
	memset(c, 0, sizeof(*c));
	c->pos = rec->pos;
	if (rec->value.len == 0)
		return decode_key(rec, c);
	if (record_backend(rec->key, rec->value, &c->entry) == 0)
		return true;
	mp_event(EV_MEMBER_INVALID_RECORD, G_LOG_LEVEL_WARNING,
		 "record %" G_GUINT64_FORMAT " of '%.*s' can't be read",
		 rec->pos.offset, (int)rec->key.len, rec->key.ptr);
	return decode_key(rec, c);
}

static void take_records(struct backend_watch *w, const struct store_result *r,
			 int64_t now_ms)
{
	for (size_t i = 0; i < r->nrecords; i++) {
		struct backend_change c;

		if (decode(&r->records[i], &c))
			backend_list_record(&w->list, &c, now_ms);
	}
}

static void on_failure(struct backend_watch *w, int err)
{
	w->listing = false;
	/* The store answers, but not from there: it is listed anew at once. */
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
			 g_strerror(-err), clock_ms() - w->list.fresh_ms);
}

/*
 * A listing lacks a server that the copy doesn't know, and one that was removed
 * since the store is back; the log tells them apart.
 */
static bool read_tail(struct backend_watch *w)
{
	struct store_position from = w->list.pos;

	if (!w->listing_copied || !backend_list_has_missing(&w->list))
		return false;
	from.offset -= MIN(from.offset, TAIL_RECORDS);
	w->reads_tail = true;
	store_read(&w->store, STORE_TOPIC_BACKENDS, from, 0);
	return true;
}

static void take_removals(struct backend_watch *w, const struct store_result *r,
			  int64_t now_ms)
{
	for (size_t i = 0; i < r->nrecords; i++) {
		struct backend_change c;

		if (!decode(&r->records[i], &c) || !c.removed)
			continue;
		backend_list_remove_missing(&w->list, &c, now_ms);
	}
}

/* One page of a whole listing; the first one's end is where to read on. */
static void on_page(struct backend_watch *w, const struct store_result *r,
		    int64_t now_ms)
{
	if (!w->listing) {
		w->listing = true;
		w->listing_end = r->end;
		backend_list_replace_begin(&w->list, r->end.era, now_ms);
		w->listing_copied = w->list.copied;
	}
	take_records(w, r, now_ms);
	if (r->more) {
		store_newest(&w->store, STORE_TOPIC_BACKENDS, r->last_key);
		return;
	}
	w->listing = false;
	backend_list_replace_end(&w->list, w->listing_end, w->tried_ms, now_ms);
}

static void finish(struct backend_watch *w)
{
	bool recovered = w->failures > 0;

	if (recovered)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=backends failures=%u", w->failures);
	w->failures = 0;
	w->answered_ms = w->tried_ms;
	w->gap = false;
	w->relist = false;
	w->read_done(w->priv, recovered);
}

static void on_done(void *priv, const struct store_result *r)
{
	struct backend_watch *w = priv;
	int64_t now_ms = clock_ms();

	/* Without it what is missing has its time, as ever. */
	if (w->reads_tail) {
		w->reads_tail = false;
		if (!r->err)
			take_removals(w, r, now_ms);
		finish(w);
		return;
	}
	if (r->err) {
		on_failure(w, r->err);
		return;
	}
	if (w->asked_all) {
		on_page(w, r, now_ms);
		if (w->listing || read_tail(w))
			return;
	} else {
		backend_list_read_begin(&w->list, now_ms);
		take_records(w, r, now_ms);
		backend_list_caught_up(&w->list, r->end, w->tried_ms, now_ms);
	}
	finish(w);
}

/*
 * backend_watch_is_current() tells whether the list is known as of the store's
 * present era.
 */
bool backend_watch_is_current(const struct backend_watch *w)
{
	return w->list.pos.era == w->store.store->era;
}

static void read_now(struct backend_watch *w, int64_t now_ms)
{
	w->tried_ms = now_ms;
	w->asked_all =
		!w->list.loaded || w->relist || !backend_watch_is_current(w);
	if (!w->asked_all)
		store_read(&w->store, STORE_TOPIC_BACKENDS, w->list.pos, 0);
	else
		store_newest(&w->store, STORE_TOPIC_BACKENDS, LSTR(""));
}

/*
 * backend_watch_tick() reads when it is due; without `may_list` a list that
 * isn't known is left to a peer. Call it every 0.1 s or so.
 */
void backend_watch_tick(struct backend_watch *w, bool may_list, unsigned rank,
			bool many, int64_t now_ms)
{
	/* After a rise of the era those behind the first wait to be fed. */
	int64_t due =
		backend_read_due(rank, many, MAX(w->list.fresh_ms, w->era_ms),
				 w->tried_ms, w->failures);
	bool anew = !w->list.loaded || w->gap || w->relist ||
		    (rank == 0 && !backend_watch_is_current(w));

	backend_list_settle(&w->list, now_ms);
	if (w->store.call != STORE_NO_CALL || !(may_list || w->list.loaded))
		return;
	if (anew && w->failures == 0)
		due = 0;
	/* Somebody has read the store since it failed here. */
	if (w->gap && w->gap_ms > w->tried_ms)
		due = 0;
	if (now_ms >= due)
		read_now(w, now_ms);
}

/* backend_watch_feed() takes in what a peer has read. */
void backend_watch_feed(struct backend_watch *w, const struct backend_feed *f,
			int64_t now_ms)
{
	/* One that still lives in an earlier era has nothing to tell. */
	if (f->to.era < w->store.store->era)
		return;
	/* An instance that is still starting reads or is introduced anyway. */
	if (backend_list_feed(&w->list, f, now_ms) || !w->list.loaded)
		return;
	w->gap = true;
	w->gap_ms = now_ms;
}

/*
 * backend_watch_new_era() drops a call of the earlier one. Not from within a
 * call's outcome.
 */
void backend_watch_new_era(struct backend_watch *w, int64_t now_ms)
{
	w->era_ms = now_ms;
	w->failures = 0;
	if (!store_call_is_old(&w->store))
		return;
	store_cancel(&w->store);
	w->listing = false;
	w->reads_tail = false;
}

/* backend_watch_start() begins with a whole listing. */
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
