#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "control/evacuation_records.h"
#include "misc/text.h"

/* Returns the data centre that a record concerns; empty: none. */
static struct lstr data_centre(const struct store_record *rec,
			       const char *prefix)
{
	struct lstr head = lstr0(prefix);

	if (!lstr_starts_with(rec->key, head))
		return (struct lstr){NULL, 0};
	return (struct lstr){rec->key.ptr + head.len, rec->key.len - head.len};
}

/* Logs a record that names no data centre; the others stay in force. */
static void log_invalid(const struct store_record *rec, int err)
{
	char *key = text_escape(rec->key);

	mp_event(EV_CONFIG_INVALID_RECORD, G_LOG_LEVEL_WARNING,
		 "record %" G_GUINT64_FORMAT ": evacuation '%s': %s",
		 rec->pos.offset, key, g_strerror(-err));
	g_free(key);
}

/* Applies one record; its value is empty if the evacuation is taken back. */
static void apply_record(struct evacuations *e, const char *prefix,
			 const struct store_record *rec)
{
	struct lstr dc = data_centre(rec, prefix);
	int rc;

	if (!dc.ptr)
		return;
	if (!rec->value.len) {
		evacuations_remove(e, dc);
		return;
	}
	rc = evacuations_add(e, dc, rec->pos.era);
	if (rc < 0)
		log_invalid(rec, rc);
}

/*
 * Removes the data centres that a listing lacks. A store that was restored from
 * a backup may have lost an evacuation: one of an earlier era stays in force
 * until its record is deleted.
 */
static void drop_unlisted(struct evacuations *e, const struct store_result *r)
{
	struct evacuations kept = {.n = 0};

	for (unsigned i = 0; i < e->n; i++) {
		if (e->list[i].era < r->end.era)
			kept.list[kept.n++] = e->list[i];
	}
	*e = kept;
}

/*
 * evacuation_records_apply() applies the records of a read or, if `listing`, of
 * a listing of the topic. The set includes all records before `known`: what is
 * older changes nothing. Returns whether the set has changed.
 */
bool evacuation_records_apply(struct evacuations *e, const char *prefix,
			      const struct store_result *r, bool listing,
			      struct store_position known)
{
	struct evacuations before = *e;

	if (!prefix || store_position_cmp(r->end, known) < 0)
		return false;
	if (listing && !r->more && !r->incomplete)
		drop_unlisted(e, r);
	for (size_t i = 0; i < r->nrecords; i++) {
		const struct store_record *rec = &r->records[i];

		if (listing || store_position_cmp(rec->pos, known) >= 0)
			apply_record(e, prefix, rec);
	}
	return !evacuations_equal(&before, e);
}

/* Logs the data centres that only one of two sets contains. */
static void log_missing(const struct evacuations *in,
			const struct evacuations *other, enum mp_event ev,
			const char *by, struct store_position pos)
{
	for (unsigned i = 0; i < in->n; i++) {
		if (evacuations_contains(other, in->list[i].dc))
			continue;
		mp_event(ev, G_LOG_LEVEL_MESSAGE,
			 "dc=%s by=%s offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT,
			 in->list[i].dc, by, pos.offset, pos.era);
	}
}

/*
 * evacuations_log_changes() logs which data centres were evacuated and which
 * were taken back; `by` is the source, and all records before `pos` are known.
 */
void evacuations_log_changes(const struct evacuations *before,
			     const struct evacuations *after, const char *by,
			     struct store_position pos)
{
	log_missing(after, before, EV_DC_EVACUATED, by, pos);
	log_missing(before, after, EV_DC_RESTORED, by, pos);
}
