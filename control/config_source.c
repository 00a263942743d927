#include "common/event.h"
#include "control/config_source.h"

static void log_findings(const struct store_record *rec,
			 const struct findings *f)
{
	for (guint i = 0; i < f->list->len; i++) {
		const struct finding *p = g_ptr_array_index(f->list, i);

		mp_event(EV_CONFIG_INVALID_RECORD, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT ": %s: %s",
			 rec->pos.offset, p->key ? p->key : "-", p->message);
	}
}

/* A copy of the store may hold an older version; calm records don't. */
static void log_older(const struct config_held *held, uint64_t version,
		      const struct store_record *rec)
{
	if (held->listed && rec->pos.era > held->pos.era)
		mp_event(EV_CONFIG_KEPT, G_LOG_LEVEL_MESSAGE,
			 "version=%" G_GUINT64_FORMAT
			 " store_has=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT,
			 held->version, version, rec->pos.offset, rec->pos.era);
	else
		mp_event(EV_CONFIG_INVALID_RECORD, G_LOG_LEVEL_WARNING,
			 "record %" G_GUINT64_FORMAT
			 " holds version %" G_GUINT64_FORMAT
			 ", older than %" G_GUINT64_FORMAT,
			 rec->pos.offset, version, held->version);
}

/* Whether a record has other content under the number that is in force. */
static bool replaces(const struct config_held *held,
		     const struct store_record *rec)
{
	return store_position_cmp(rec->pos, held->pos) >= 0 &&
	       !lstr_eq(rec->value, held->record);
}

/*
 * config_source_newer() decodes a record; NULL when it is unfit or says nothing
 * newer. Of two records with one number the one that stands later counts: it was
 * confirmed last, and it is the one that instances will find that start later.
 */
struct config *config_source_newer(const struct config_source *s,
				   const struct store_record *rec,
				   const struct config_held *held)
{
	struct findings f;
	struct config *c;

	findings_init(&f);
	c = s->decode(s->priv, rec->value, &f);
	log_findings(rec, &f);
	findings_clear(&f);
	if (!c || c->version > held->version)
		return c;
	if (c->version < held->version) {
		log_older(held, c->version, rec);
	} else if (replaces(held, rec)) {
		mp_event(EV_CONFIG_REPLACED, G_LOG_LEVEL_WARNING,
			 "version=%" G_GUINT64_FORMAT
			 " offset=%" G_GUINT64_FORMAT " era=%" G_GUINT64_FORMAT,
			 c->version, rec->pos.offset, rec->pos.era);
		return c;
	}
	config_unref(c);
	return NULL;
}
