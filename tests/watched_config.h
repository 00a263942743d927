/*
 * Fixture: an instance that follows the configuration. No store runs, and calls
 * get no answers.
 */
#ifndef MP_TESTS_WATCHED_CONFIG_H
#define MP_TESTS_WATCHED_CONFIG_H

#include "control/config_watch.h"

static unsigned applied;
static struct store_endpoint store;

/* The report of a peer that knew the records before `offset` age_ms ago. */
static inline struct config_progress progress(uint64_t version, uint64_t offset,
					      uint32_t age_ms)
{
	return (struct config_progress){.pos = {store.era, offset},
					.age_ms = age_ms,
					.version = version,
					.digest = (uint32_t)version};
}

static inline enum config_action
receive_progress(struct config_watch *w, uint64_t version, uint64_t offset,
		 uint32_t age_ms, int64_t now_ms)
{
	struct config_progress m = progress(version, offset, age_ms);

	return config_watch_on_progress(w, &m, now_ms);
}

static inline struct store_position at(uint64_t offset)
{
	return (struct store_position){store.era, offset};
}

static inline void on_changed(void *priv, struct config *c)
{
	applied++;
	config_unref(c);
}

/* Decodes a record, which is the version number as text. */
static inline struct config *decode(void *priv, struct lstr value,
				    struct findings *f)
{
	struct config *c = config_new();

	c->version = (uint64_t)g_ascii_strtoull(value.ptr, NULL, 10);
	return c;
}

/*
 * Initializes an instance that has read the records before `offset` and whose
 * current version is `record`.
 */
static inline void init(struct config_watch *w, const char *record,
			uint64_t offset)
{
	memset(w, 0, sizeof(*w));
	w->source = (struct config_source){.key = "config", .decode = decode};
	w->changed = on_changed;
	w->store.store = &store;
	w->listed = true;
	w->pos = (struct store_position){0, offset};
	w->version = (uint64_t)g_ascii_strtoull(record, NULL, 10);
	w->digest = (uint32_t)w->version;
	buf_add_lstr(&w->record, lstr0(record));
	applied = 0;
}

/* Applies the record of a peer that knows of no evacuations. */
static inline int apply_peer(struct config_watch *w, struct lstr record,
			     struct store_position pos, int64_t confirmed_ms)
{
	static const struct evacuations none;

	return config_watch_apply_peer(w, record, &none, pos, confirmed_ms);
}

#endif
