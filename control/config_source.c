#include "common/event.h"
#include "control/config_source.h"

/* Logs why a record, or an entry in it, can't be used. */
static void log_findings(const struct store_record *rec,
			 const struct findings *f, enum mp_event ev)
{
	for (guint i = 0; i < f->list->len; i++) {
		const struct finding *p = g_ptr_array_index(f->list, i);

		mp_event(ev, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT ": %s: %s",
			 rec->pos.offset, p->key ? p->key : "-", p->message);
	}
}

/*
 * Logs a version older than the current one. A restored store may hold one;
 * without a restore the record is invalid.
 */
static void log_older(const struct config_current *current, uint64_t version,
		      const struct store_record *rec)
{
	if (current->listed && rec->pos.era > current->pos.era)
		mp_event(EV_CONFIG_KEPT, G_LOG_LEVEL_MESSAGE,
			 "version=%" G_GUINT64_FORMAT
			 " store_has=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT,
			 current->version, version, rec->pos.offset,
			 rec->pos.era);
	else
		mp_event(EV_CONFIG_INVALID_RECORD, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT
			 " holds version %" G_GUINT64_FORMAT
			 ", older than %" G_GUINT64_FORMAT,
			 rec->pos.offset, version, current->version);
}

/*
 * Returns whether a record has other content under the current version number.
 */
static bool replaces(const struct config_current *current,
		     const struct store_record *rec)
{
	return store_position_cmp(rec->pos, current->pos) >= 0 &&
	       !lstr_eq(rec->value, current->record);
}

/* Decodes a record; returns NULL if it is invalid or not newer. */
static struct config *decode_newer(const struct config_source *s,
				   const struct store_record *rec,
				   const struct config_current *current,
				   struct findings *f)
{
	struct config *c = s->decode(s->priv, rec->value, f);

	if (!c) {
		log_findings(rec, f, EV_CONFIG_INVALID_RECORD);
		return NULL;
	}
	if (c->version > current->version)
		return c;
	if (c->version < current->version) {
		log_older(current, c->version, rec);
	} else if (replaces(current, rec)) {
		mp_event(EV_CONFIG_REPLACED, G_LOG_LEVEL_WARNING,
			 "version=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT,
			 c->version, rec->pos.offset, rec->pos.era);
		return c;
	}
	config_unref(c);
	return NULL;
}

/*
 * config_source_decode_newer() decodes a record. Returns NULL if it is invalid
 * or not newer; entries of it that can't be used are logged. Of two records
 * with the same version number the later one counts: it was confirmed last, and
 * it is the one that instances read that start later.
 */
struct config *config_source_decode_newer(const struct config_source *s,
					  const struct store_record *rec,
					  const struct config_current *current)
{
	struct findings f;
	struct config *c;

	findings_init(&f);
	c = decode_newer(s, rec, current, &f);
	if (c)
		log_findings(rec, &f, EV_CONFIG_INVALID_ENTRY);
	findings_clear(&f);
	return c;
}
