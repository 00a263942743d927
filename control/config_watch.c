#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/config_watch_private.h"
#include "misc/clock.h"

enum {
	ANSWER_MARGIN_MS = 500, /* after the wait; answers come no later */
	/*
	 * The first instances poll, and report to the others about four times
	 * a second. An instance that receives no report for this long polls
	 * too.
	 */
	SILENCE_MS = 1000,
	/*
	 * In a large system the instances behind the hubs wait longer, so that
	 * not all poll at once; a version must be in force 2 s after its
	 * confirmation.
	 */
	SILENCE_BEHIND_HUBS_MS = 1500,
	RETRY_MS = 200, /* after the first failure; doubles up to the maximum */
	RETRY_MAX_MS = 800,
	/*
	 * The hubs retry often and report when the store is back; an instance
	 * that receives no report must have a version in force within 5 s.
	 */
	RETRY_BEHIND_HUBS_MS = 2800,
};

static void send_read(struct config_watch *w);

/*
 * Returns a hash by which peers compare the configuration's record and the
 * evacuations.
 */
uint32_t config_watch_digest(struct lstr record, const struct evacuations *e)
{
	GBytes *bytes = g_bytes_new_static(record.ptr, record.len);
	uint32_t digest = g_bytes_hash(bytes) ^ evacuations_hash(e);

	g_bytes_unref(bytes);
	return digest;
}

static void on_retry(struct ev_loop *loop, ev_timer *t, int revents)
{
	send_read(t->data);
}

static void schedule_read(struct config_watch *w, int ms)
{
	ev_timer_stop(w->loop, &w->retry);
	ev_timer_set(&w->retry, ms / 1000.0, 0);
	ev_timer_start(w->loop, &w->retry);
}

/*
 * Decodes a record if it is newer than the current version. `known`: position
 * up to which records were applied when the record was requested.
 */
struct config *config_watch_decode_newer(struct config_watch *w,
					 const struct store_record *rec,
					 struct store_position known)
{
	struct config_current current = {
		.version = w->version,
		.record = buf_lstr(&w->record),
		.pos = known,
		.listed = w->listed,
	};

	return config_source_decode_newer(&w->source, rec, &current);
}

/* Applies a version and keeps its record for peers. */
void config_watch_apply(struct config_watch *w, struct config *c,
			const struct store_record *rec, const char *by)
{
	w->version = c->version;
	w->record.len = 0;
	buf_add_lstr(&w->record, rec->value);
	w->digest = config_watch_digest(rec->value, &w->evacuations);
	mp_event(EV_CONFIG_APPLIED, G_LOG_LEVEL_MESSAGE,
		 "version=%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT " by=%s routes=%zu services=%zu",
		 c->version, rec->pos.offset, rec->pos.era, by, c->nroutes,
		 c->nservices);
	w->changed(w->priv, c);
}

/* Puts a set of evacuated data centres into force. */
void config_watch_set_evacuations(struct config_watch *w,
				  const struct evacuations *e, const char *by,
				  struct store_position pos)
{
	struct evacuations before = w->evacuations;

	w->evacuations = *e;
	w->digest = config_watch_digest(buf_lstr(&w->record), e);
	if (evacuations_equal(&before, e))
		return;
	evacuations_log_changes(&before, e, by, pos);
	if (w->evacuated)
		w->evacuated(w->priv, e);
}

/*
 * Applies the newest valid version of a batch of records. `known`: position up
 * to which records were applied before the batch.
 */
static void apply_newest(struct config_watch *w, const struct store_result *r,
			 struct store_position known)
{
	for (size_t i = r->nrecords; i > 0; i--) {
		const struct store_record *rec = &r->records[i - 1];
		struct config *c;

		if (!lstr_eq(rec->key, lstr0(w->source.key)) ||
		    rec->value.len == 0)
			continue;
		c = config_watch_decode_newer(w, rec, known);
		if (!c)
			continue;
		config_watch_apply(w, c, rec, "store");
		return;
	}
}

/* Applies the default version, which is used while nothing is written. */
static void apply_absent(struct config_watch *w)
{
	struct store_record none = {.key = lstr0(w->source.key)};
	struct config *c = config_watch_decode_newer(w, &none, w->pos);

	if (c)
		config_watch_apply(w, c, &none, "settings");
}

/*
 * Requests a full listing: the store no longer has the position to read from.
 */
static void request_listing(struct config_watch *w)
{
	mp_event(EV_STORE_RELIST, G_LOG_LEVEL_MESSAGE,
		 "what=config offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT " known_era=%" G_GUINT64_FORMAT,
		 w->pos.offset, w->pos.era, w->store.store->era);
	/*
	 * Repeated at once, then with delays in case the store rejects every
	 * read.
	 */
	schedule_read(w, w->relist ? RETRY_MS : 0);
	w->relist = true;
}

/* Handles a failed call and schedules a retry. */
static void on_failure(struct config_watch *w, int err)
{
	unsigned shift = w->failures < 5 ? w->failures : 4;
	int wait_ms = RETRY_MS << shift;
	int longest_ms = w->behind_hubs ? RETRY_BEHIND_HUBS_MS : RETRY_MAX_MS;
	bool spread = w->spread_ms > 0 && w->listed;

	if (w->failures++ == 0)
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=config err=%s version=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT,
			 g_strerror(-err), w->version, w->pos.offset);
	/* The next read is due once no peer has reported for long enough. */
	if (spread) {
		w->attempt_ms = clock_boot_ms();
		w->spread_ms = 0;
	} else {
		schedule_read(w, wait_ms < longest_ms ? wait_ms : longest_ms);
	}
}

/* Handles a failed call, depending on its error. */
static void on_error(struct config_watch *w, int err)
{
	if (err == -ERANGE)
		request_listing(w);
	else if (err == -ECANCELED)
		schedule_read(w, RETRY_MS);
	else
		on_failure(w, err);
}

/* Applies the records of a read or of a whole listing. */
static void apply_result(struct config_watch *w, const struct store_result *r)
{
	struct store_position known = w->pos;
	struct evacuations evacuations = w->evacuations;

	if (w->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=config failures=%u", w->failures);
	w->failures = 0;
	w->listed = true;
	w->fresh_ms = clock_boot_ms();
	/*
	 * Set before the version is applied, since `changed` reports it to
	 * peers with this position. With the previous position they saw nothing
	 * new, and got the version with the next heartbeat, half a second
	 * later.
	 */
	if (store_position_cmp(r->end, w->pos) > 0)
		w->pos = r->end;
	w->relist = false;
	/* A version is reported to peers with the digest of both. */
	evacuation_records_apply(&evacuations, w->source.evacuation_prefix, r,
				 w->listing, known);
	config_watch_set_evacuations(w, &evacuations, "store", r->end);
	apply_newest(w, r, known);
	if (!w->version && w->source.usable_when_absent)
		apply_absent(w);
	if (w->polls || store_position_cmp(w->peer_pos, w->pos) > 0)
		schedule_read(
			w, r->nrecords ? config_poll_pause_ms(g_random_double())
				       : 0);
}

/*
 * Adds a page of a listing and requests the next one, or applies all. A listing
 * that ends before the configuration has failed: none may be in force, or an
 * older one.
 */
static void on_page(struct config_watch *w, const struct store_result *page)
{
	struct store_result all;

	if (!w->store.after.len)
		config_listing_begin(&w->pages, page->end);
	config_listing_add(&w->pages, &w->source, page);
	if (page->more) {
		w->call_sent_ms = clock_boot_ms();
		store_list(&w->store, w->source.topic, page->last_key);
		return;
	}
	if (page->incomplete &&
	    !config_listing_has_config(&w->pages, &w->source)) {
		on_failure(w, -EPROTO);
		return;
	}
	all = config_listing_result(&w->pages, page);
	apply_result(w, &all);
	config_listing_clear(&w->pages);
}

/* Handles the result of any call to the store. */
static void on_done(void *priv, const struct store_result *r)
{
	struct config_watch *w = priv;

	if (r->err)
		on_error(w, r->err);
	else if (w->listing)
		on_page(w, r);
	else
		apply_result(w, r);
}

/* A position of an earlier era is meaningless in the store's present log. */
bool config_watch_has_bookmark(const struct config_watch *w)
{
	return w->pos.era == w->store.store->era;
}

/* Sends a long poll, or a read of the newest record without a position. */
static void send_read(struct config_watch *w)
{
	w->call_sent_ms = clock_boot_ms();
	w->listing = !w->listed || w->relist || !config_watch_has_bookmark(w);
	if (w->listing)
		store_list(&w->store, w->source.topic, LSTR(""));
	else
		store_read(&w->store, w->source.topic, w->pos,
			   config_poll_wait_ms(g_random_double()));
}

/* Returns whether no call is pending and none is scheduled. */
bool config_watch_is_idle(const struct config_watch *w)
{
	return w->store.call == STORE_IDLE && !ev_is_active(&w->retry);
}

/*
 * config_watch_tick() polls when it is this instance's turn (`first`), or when
 * no peer has confirmed the newest version for a while. Without `may_poll` it
 * waits for a peer's version to be imported. Call it about every 0.1 s.
 */
void config_watch_tick(struct config_watch *w, bool may_poll, bool first,
		       int64_t now_ms)
{
	int silence_ms = w->behind_hubs ? SILENCE_BEHIND_HUBS_MS : SILENCE_MS;
	/*
	 * After a change of era, the polling instances get time to read first.
	 */
	int64_t confirmed_ms = MAX(w->peer_confirmed_ms, w->era_ms);

	if (w->listed) {
		confirmed_ms = MAX(confirmed_ms, w->attempt_ms);
		silence_ms += w->spread_ms;
	}
	w->polls = may_poll && (first || now_ms - confirmed_ms > silence_ms);
	if (w->polls && config_watch_is_idle(w))
		send_read(w);
}

/* config_watch_read() reads new records now, if no call is pending. */
void config_watch_read(struct config_watch *w)
{
	if (config_watch_is_idle(w))
		send_read(w);
}

/*
 * config_watch_age_ms() returns the age of the last confirmation that the
 * current version is the newest. A waiting poll counts as confirmed by the
 * store's last answer to any call, received at store_ms. Returns AGE_UNKNOWN if
 * nothing was confirmed in the store's present era.
 */
uint32_t config_watch_age_ms(const struct config_watch *w, int64_t store_ms,
			     int64_t now_ms)
{
	bool waits = w->store.call == STORE_READ && w->failures == 0 &&
		     now_ms - w->call_sent_ms <
			     CONFIG_POLL_WAIT_MAX_MS + ANSWER_MARGIN_MS;
	int64_t at = MAX(w->fresh_ms, w->peer_confirmed_ms);

	if (!config_watch_has_bookmark(w))
		return AGE_UNKNOWN;
	if (waits && store_ms > at)
		at = store_ms;
	return (uint32_t)MIN(now_ms - at, AGE_UNKNOWN - 1);
}

/* config_watch_progress() returns the position and version read so far. */
struct config_progress config_watch_progress(const struct config_watch *w,
					     int64_t store_ms, int64_t now_ms)
{
	return (struct config_progress){
		.pos = w->pos,
		.age_ms = config_watch_age_ms(w, store_ms, now_ms),
		.version = w->version,
		.digest = w->digest,
	};
}

/*
 * config_watch_new_era() invalidates the position and ages of the previous era
 * and cancels its pending call; the current version stays. Must not be called
 * from a store callback.
 */
void config_watch_new_era(struct config_watch *w, int64_t now_ms)
{
	w->era_ms = now_ms;
	w->fresh_ms = 0;
	w->peer_confirmed_ms = 0;
	if (store_call_is_stale(&w->store))
		store_cancel(&w->store);
	if (w->store.call == STORE_IDLE && w->polls)
		schedule_read(w, 0);
}

/*
 * config_watch_start() initializes the watch; `changed` owns the configuration
 * that it gets.
 */
void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct config_source *source,
			void (*changed)(void *priv, struct config *c),
			void *priv)
{
	memset(w, 0, sizeof(*w));
	w->loop = loop;
	w->source = *source;
	w->changed = changed;
	w->priv = priv;
	ev_init(&w->retry, on_retry);
	w->retry.data = w;
	store_open(&w->store, loop, store, on_done, w);
}

/*
 * config_watch_restart() repeats the read on a new connection: the pending poll
 * may never be answered.
 */
void config_watch_restart(struct config_watch *w)
{
	store_cancel(&w->store);
	schedule_read(w, 0);
}
