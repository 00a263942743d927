#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/config_watch.h"
#include "misc/clock.h"

enum {
	/*
	 * A long poll costs one call and is answered when a version comes. One
	 * that the store lost is never answered, so that the instances which
	 * stand first ask in short spells; the others hear from them by their
	 * heartbeats that they missed something.
	 */
	WAIT_MS = 20 * 1000,
	WAIT_SHORT_MS = 2500,
	/*
	 * Pause after a version, so that a series of them costs a few calls;
	 * a version must be in force 2 s after its confirmation.
	 */
	PAUSE_MS = 300,
	RETRY_MS = 200, /* after a failure, doubled up to the longest */
	RETRY_MAX_MS = 800,
};

static void ask(struct config_watch *w);

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

/* Decodes one version; NULL when it is unfit or not newer. */
static struct config *usable(struct config_watch *w,
			     const struct store_record *rec)
{
	struct findings f;
	struct config *c;

	findings_init(&f);
	c = w->source.decode(w->source.priv, rec->value, &f);
	for (guint i = 0; i < f.list->len; i++) {
		const struct finding *p = g_ptr_array_index(f.list, i);

		mp_event(EV_CONFIG_BAD_RECORD, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT ": %s: %s", rec->offset,
			 p->key ? p->key : "-", p->message);
	}
	findings_clear(&f);
	if (!c)
		return NULL;
	if (c->version > w->version)
		return c;
	if (c->version < w->version)
		mp_event(EV_CONFIG_BAD_RECORD, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT
			 " holds version %" G_GUINT64_FORMAT
			 ", older than %" G_GUINT64_FORMAT,
			 rec->offset, c->version, w->version);
	config_unref(c);
	return NULL;
}

/* Takes over a usable version and keeps its record for peers. */
static void take(struct config_watch *w, struct config *c,
		 const struct store_record *rec)
{
	w->version = c->version;
	w->record.len = 0;
	buf_add_lstr(&w->record, rec->value);
	mp_event(EV_CONFIG_APPLIED, G_LOG_LEVEL_MESSAGE,
		 "version=%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
		 " routes=%zu services=%zu",
		 c->version, rec->offset, c->nroutes, c->nservices);
	w->changed(w->priv, c);
}

/* Takes the newest usable version of a batch of records. */
static void take_newest(struct config_watch *w, const struct store_result *r)
{
	for (size_t i = r->nrecords; i > 0; i--) {
		const struct store_record *rec = &r->records[i - 1];
		struct config *c;

		if (!lstr_eq(rec->key, lstr0(w->source.key)) ||
		    rec->value.len == 0)
			continue;
		c = usable(w, rec);
		if (!c)
			continue;
		take(w, c, rec);
		return;
	}
}

/* Nothing was written yet: the first version may be known all the same. */
static void take_absent(struct config_watch *w)
{
	struct store_record none = {.key = lstr0(w->source.key)};
	struct config *c = usable(w, &none);

	if (c)
		take(w, c, &none);
}

/*
 * config_watch_introduce() takes a peer's newest record, which stands before
 * `offset`; the store is read on from there.
 */
void config_watch_introduce(struct config_watch *w, struct lstr record,
			    uint64_t offset)
{
	struct store_record rec = {
		.offset = offset, .key = lstr0(w->source.key), .value = record};
	struct config *c;

	if (!record.len && !w->source.usable_when_absent)
		return;
	c = usable(w, &rec);
	if (!c)
		return;
	take(w, c, &rec);
	w->offset = offset;
	w->listed = true;
}

static void on_failure(struct config_watch *w, int err)
{
	unsigned shift = w->failures < 3 ? w->failures : 2;
	int wait = RETRY_MS << shift;

	if (w->failures++ == 0)
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "what=config err=%s version=%" G_GUINT64_FORMAT,
			 g_strerror(-err), w->version);
	if (err == -ERANGE)
		w->listed = false;
	ask_later(w, wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS);
}

static void on_done(void *priv, const struct store_result *r)
{
	struct config_watch *w = priv;

	if (r->err) {
		on_failure(w, r->err);
		return;
	}
	if (w->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=config failures=%u", w->failures);
	w->failures = 0;
	w->listed = true;
	take_newest(w, r);
	if (!w->version && w->source.usable_when_absent)
		take_absent(w);
	if (r->end_offset > w->offset)
		w->offset = r->end_offset;
	ask_later(w, r->nrecords ? PAUSE_MS : 0);
}

static void ask(struct config_watch *w)
{
	w->asked_ms = clock_ms();
	if (!w->listed)
		store_newest(&w->store, w->source.topic, LSTR(""));
	else
		store_read(&w->store, w->source.topic, w->offset,
			   w->short_waits ? WAIT_SHORT_MS : WAIT_MS);
}

/* config_watch_start() begins to follow; `changed` owns what it gets. */
void config_watch_start(struct config_watch *w, struct ev_loop *loop,
			const struct sockaddr_in *store,
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
	ask(w);
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
