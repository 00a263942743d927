#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/config_watch.h"
#include "misc/clock.h"

enum {
	/*
	 * A long poll costs one call and is answered when a version comes. One
	 * that the store lost is never answered, so each is short.
	 */
	WAIT_MS = 2500,
	/*
	 * A version that is written as a poll arrives may not wake it: it is
	 * told when the poll ends, too late for the 2 s that it has. Two
	 * instances poll, and waits that differ keep them from asking at the
	 * same moment, and so from both missing one.
	 */
	WAIT_LEAST_MS = 1750,
	WAIT_LATE_MS = 500, /* beyond it no answer will come */
	/*
	 * The first instances poll and the others hear from them, some four
	 * times a second; one that hears nothing for this long polls too.
	 */
	QUIET_MS = 1000,
	/*
	 * In a large system those behind the hubs leave it to these first, so
	 * that not all ask at once; a version must be in force 2 s after its
	 * confirmation.
	 */
	QUIET_PATIENT_MS = 1500,
	/*
	 * A poll from before a peer told of a record may have been lost, or
	 * its answer is on the way: 500 KB take 0.4 s on a link of 10 Mbit/s.
	 */
	ON_THE_WAY_MS = 700,
	/*
	 * Pause after a version, so that a series of them costs a few calls;
	 * a version must be in force 2 s after its confirmation.
	 */
	PAUSE_MS = 300,
	PAUSE_LEAST_MS = 200,
	RETRY_MS = 200, /* after a failure, doubled up to the longest */
	RETRY_MAX_MS = 800,
	/*
	 * When others look after the store: they tell when it is back, and
	 * one that hears nobody must have a version in force within 5 s.
	 */
	RETRY_PATIENT_MS = 2800,
};

static void ask(struct config_watch *w);

static uint32_t digest_of(struct lstr record)
{
	GBytes *bytes = g_bytes_new_static(record.ptr, record.len);
	uint32_t digest = g_bytes_hash(bytes);

	g_bytes_unref(bytes);
	return digest;
}

/* config_poll_wait_ms() says how long a poll waits; random lies in 0..1. */
int config_poll_wait_ms(double random)
{
	return WAIT_LEAST_MS + (int)((WAIT_MS - WAIT_LEAST_MS) * random);
}

/* config_poll_pause_ms() says how long after a version the next one begins. */
int config_poll_pause_ms(double random)
{
	return PAUSE_LEAST_MS + (int)((PAUSE_MS - PAUSE_LEAST_MS) * random);
}

static void on_retry(struct ev_loop *loop, ev_timer *t, int revents)
{
	ask(t->data);
}

static void ask_later(struct config_watch *w, int ms)
{
	ev_timer_stop(w->loop, &w->retry);
	ev_timer_set(&w->retry, ms / 1000.0, 0);
	ev_timer_start(w->loop, &w->retry);
}

static bool is_in_force(const struct config_watch *w, struct lstr record)
{
	return lstr_eq(record, buf_lstr(&w->record));
}

/* `before`: what was taken in before this record was asked for. */
static struct config *usable(struct config_watch *w,
			     const struct store_record *rec,
			     struct store_position before)
{
	struct config_held held = {
		.version = w->version,
		.record = buf_lstr(&w->record),
		.pos = before,
		.listed = w->listed,
	};

	return config_source_newer(&w->source, rec, &held);
}

/* Takes over a usable version and keeps its record for peers. */
static void take(struct config_watch *w, struct config *c,
		 const struct store_record *rec, const char *by)
{
	w->version = c->version;
	w->record.len = 0;
	buf_add_lstr(&w->record, rec->value);
	w->digest = digest_of(rec->value);
	mp_event(EV_CONFIG_APPLIED, G_LOG_LEVEL_MESSAGE,
		 "version=%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT " by=%s routes=%zu services=%zu",
		 c->version, rec->pos.offset, rec->pos.era, by, c->nroutes,
		 c->nservices);
	w->changed(w->priv, c);
}

/*
 * Takes the newest usable version of a batch of records. `before`: what was
 * taken in by then.
 */
static void take_newest(struct config_watch *w, const struct store_result *r,
			struct store_position before)
{
	for (size_t i = r->nrecords; i > 0; i--) {
		const struct store_record *rec = &r->records[i - 1];
		struct config *c;

		if (!lstr_eq(rec->key, lstr0(w->source.key)) ||
		    rec->value.len == 0)
			continue;
		c = usable(w, rec, before);
		if (!c)
			continue;
		take(w, c, rec, "store");
		return;
	}
}

/* Nothing was written yet: the first version may be known all the same. */
static void take_absent(struct config_watch *w)
{
	struct store_record none = {.key = lstr0(w->source.key)};
	struct config *c = usable(w, &none, w->pos);

	if (c)
		take(w, c, &none, "settings");
}

/*
 * config_watch_introduce() takes a peer's newest record, which stands before
 * `pos` and was the newest at told_ms; the store is read on from there.
 */
void config_watch_introduce(struct config_watch *w, struct lstr record,
			    struct store_position pos, int64_t told_ms)
{
	struct store_record rec = {
		.pos = pos, .key = lstr0(w->source.key), .value = record};
	struct config *c;

	if (!record.len && !w->source.usable_when_absent)
		return;
	c = usable(w, &rec, w->pos);
	if (!c)
		return;
	take(w, c, &rec, "peer");
	w->pos = pos;
	w->listed = true;
	w->told_ms = told_ms;
}

/* The store has nothing at the bookmark any more. */
static void list_anew(struct config_watch *w)
{
	mp_event(EV_STORE_RELIST, G_LOG_LEVEL_MESSAGE,
		 "what=config offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT " known_era=%" G_GUINT64_FORMAT,
		 w->pos.offset, w->pos.era, w->store.store->era);
	/* Once at once; a store that says so of each read is not asked at will. */
	ask_later(w, w->relist ? RETRY_MS : 0);
	w->relist = true;
}

static void on_failure(struct config_watch *w, int err)
{
	unsigned shift = w->failures < 5 ? w->failures : 4;
	int wait = RETRY_MS << shift;
	int longest = w->patient ? RETRY_PATIENT_MS : RETRY_MAX_MS;

	if (w->failures++ == 0)
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=config err=%s version=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT,
			 g_strerror(-err), w->version, w->pos.offset);
	ask_later(w, wait < longest ? wait : longest);
}

static void on_done(void *priv, const struct store_result *r)
{
	struct config_watch *w = priv;
	struct store_position before = w->pos;

	if (r->err == -ERANGE) {
		list_anew(w);
		return;
	}
	if (r->err == -ECANCELED) {
		ask_later(w, RETRY_MS);
		return;
	}
	if (r->err) {
		on_failure(w, r->err);
		return;
	}
	if (w->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=config failures=%u", w->failures);
	w->failures = 0;
	w->listed = true;
	w->fresh_ms = clock_ms();
	/*
	 * Before the version is taken over: it is told to the peers then, by
	 * this offset. By the one before they heard nothing new, and had it
	 * half a second later, with the next heartbeat.
	 */
	if (store_position_cmp(r->end, w->pos) > 0)
		w->pos = r->end;
	w->relist = false;
	take_newest(w, r, before);
	if (!w->version && w->source.usable_when_absent)
		take_absent(w);
	if (w->polls || store_position_cmp(w->told, w->pos) > 0)
		ask_later(w, r->nrecords
				     ? config_poll_pause_ms(g_random_double())
				     : 0);
}

/* A bookmark of an earlier era marks nothing in the store's present log. */
static bool is_bookmark_valid(const struct config_watch *w)
{
	return w->pos.era == w->store.store->era;
}

static void ask(struct config_watch *w)
{
	w->asked_ms = clock_ms();
	if (!w->listed || w->relist || !is_bookmark_valid(w))
		store_newest(&w->store, w->source.topic, LSTR(""));
	else
		store_read(&w->store, w->source.topic, w->pos,
			   config_poll_wait_ms(g_random_double()));
}

static bool is_idle(const struct config_watch *w)
{
	return w->store.call == STORE_NO_CALL && !ev_is_active(&w->retry);
}

/*
 * config_watch_tick() polls when it is this instance's turn (`first`), or
 * when no peer says that it knows the newest version. Without `may_ask` it
 * waits for a peer to introduce it. Call it every 0.1 s or so.
 */
void config_watch_tick(struct config_watch *w, bool may_ask, bool first,
		       int64_t now_ms)
{
	int quiet = w->patient ? QUIET_PATIENT_MS : QUIET_MS;
	/* After a rise of the era those that read the store have their turn. */
	int64_t heard_ms = MAX(w->told_ms, w->era_ms);

	w->polls = may_ask && (first || now_ms - heard_ms > quiet);
	if (w->polls && is_idle(w))
		ask(w);
}

/* config_watch_read() reads on now, if no call is under way. */
void config_watch_read(struct config_watch *w)
{
	if (is_idle(w))
		ask(w);
}

/* Takes over a peer's bookmark, if that marks anything in the present era. */
static void advance(struct config_watch *w, struct store_position pos,
		    int64_t told_ms)
{
	if (pos.era != w->store.store->era)
		return;
	if (store_position_cmp(pos, w->pos) > 0) {
		w->pos = pos;
		w->relist = false;
	}
	if (store_position_cmp(pos, w->pos) == 0 && told_ms > w->told_ms)
		w->told_ms = told_ms;
}

/*
 * config_watch_update() takes a peer's newest usable record, which is all that
 * matters of the records before `pos`. Returns 0, or -ESTALE when the peer
 * knows less than is known here, so that the store must be read.
 */
int config_watch_update(struct config_watch *w, struct lstr record,
			struct store_position pos, int64_t told_ms)
{
	struct store_record rec = {
		.pos = pos, .key = lstr0(w->source.key), .value = record};
	bool ahead = store_position_cmp(pos, w->pos) > 0;
	struct config *c = usable(w, &rec, w->pos);

	if (c) {
		take(w, c, &rec, "peer");
	} else if (!is_in_force(w, record)) {
		w->unfit_digest = digest_of(record);
		if (ahead && pos.era == w->pos.era)
			return -ESTALE;
	}
	advance(w, pos, told_ms);
	return 0;
}

/* A peer knows of records that this instance hasn't read: since when? */
static void note_behind(struct config_watch *w, struct store_position pos,
			int64_t now_ms)
{
	if (store_position_cmp(w->told, w->pos) <= 0 ||
	    store_position_cmp(w->behind_at, w->pos) != 0) {
		w->behind_ms = now_ms;
		w->behind_at = w->pos;
	}
	if (store_position_cmp(pos, w->told) > 0)
		w->told = pos;
}

/* Whether a peer's version counts more than the one that is in force. */
static bool is_newer(const struct config_watch *w, const struct config_mark *m)
{
	if (m->version != w->version)
		return m->version > w->version;
	return m->digest != w->digest && store_position_cmp(m->pos, w->pos) > 0;
}

/* A newer version is in the store, unless that has come back without it. */
static enum config_need fetch(struct config_watch *w,
			      const struct config_mark *m, int64_t now_ms)
{
	bool ahead = store_position_cmp(m->pos, w->pos) > 0;

	w->news = *m;
	if (ahead)
		note_behind(w, m->pos, now_ms);
	if (!w->listed)
		return CONFIG_KNOWN;
	if (!ahead || m->pos.era != w->pos.era || !is_bookmark_valid(w))
		return w->unfit_digest == m->digest ? CONFIG_KNOWN : CONFIG_ASK;
	/* A call from after that time brings it, however long it takes. */
	if (w->store.call != STORE_NO_CALL && w->asked_ms < w->behind_ms &&
	    now_ms - w->behind_ms > ON_THE_WAY_MS)
		config_watch_restart(w);
	/* Somebody could read it: the pause after a failure is over. */
	if (w->failures && ev_is_active(&w->retry))
		ev_timer_stop(w->loop, &w->retry);
	return is_idle(w) ? CONFIG_READ : CONFIG_KNOWN;
}

/*
 * config_watch_heard() takes in how far a peer knows the configuration. Returns
 * what is to be done about a version that is new here and that no call under
 * way will bring.
 */
enum config_need config_watch_heard(struct config_watch *w,
				    const struct config_mark *m, int64_t now_ms)
{
	if (is_newer(w, m))
		return fetch(w, m, now_ms);
	if (w->listed && w->version)
		advance(w, m->pos,
			m->age_ms == AGE_UNKNOWN ? 0 : now_ms - m->age_ms);
	return CONFIG_KNOWN;
}

/*
 * config_watch_age_ms() tells how old the knowledge of the newest version is.
 * While a poll waits it is as new as the last sign of the store, which came
 * at store_ms. AGE_UNKNOWN: nobody has confirmed it in the store's present era.
 */
uint32_t config_watch_age_ms(const struct config_watch *w, int64_t store_ms,
			     int64_t now_ms)
{
	bool waits = w->store.call == STORE_READ && w->failures == 0 &&
		     now_ms - w->asked_ms < WAIT_MS + WAIT_LATE_MS;
	int64_t at = MAX(w->fresh_ms, w->told_ms);

	if (!is_bookmark_valid(w))
		return AGE_UNKNOWN;
	if (waits && store_ms > at)
		at = store_ms;
	return (uint32_t)MIN(now_ms - at, AGE_UNKNOWN - 1);
}

/*
 * config_watch_is_behind() tells whether a peer has a version, fit to be used,
 * that counts more than the one in force here.
 */
bool config_watch_is_behind(const struct config_watch *w)
{
	return is_newer(w, &w->news) && w->news.digest != w->unfit_digest;
}

/* config_watch_mark() says how far this instance knows the configuration. */
struct config_mark config_watch_mark(const struct config_watch *w,
				     int64_t store_ms, int64_t now_ms)
{
	return (struct config_mark){
		.pos = w->pos,
		.age_ms = config_watch_age_ms(w, store_ms, now_ms),
		.version = w->version,
		.digest = w->digest,
	};
}

/*
 * config_watch_new_era() drops what belongs to the earlier one: bookmark, ages
 * and the call under way, but not the version. Not from within a call's outcome.
 */
void config_watch_new_era(struct config_watch *w, int64_t now_ms)
{
	w->era_ms = now_ms;
	w->fresh_ms = 0;
	w->told_ms = 0;
	if (store_call_is_old(&w->store))
		store_cancel(&w->store);
	if (w->store.call == STORE_NO_CALL && w->polls)
		ask_later(w, 0);
}

/* config_watch_start() begins to follow; `changed` owns what it gets. */
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
 * config_watch_restart() asks anew on another connection: the poll under way
 * may never be answered.
 */
void config_watch_restart(struct config_watch *w)
{
	store_cancel(&w->store);
	ask_later(w, 0);
}
