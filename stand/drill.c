#include <inttypes.h>
#include <string.h>

#include "stand/drill.h"
#include "stand/log.h"

/* drill_init() prepares a store in its first era. */
void drill_init(struct drill *d)
{
	*d = (struct drill){.era = 1, .named = "ok"};
}

static GHashTable *copy_topics(GHashTable *topics)
{
	GHashTable *copy = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	gpointer name, part;

	g_hash_table_iter_init(&it, topics);
	while (g_hash_table_iter_next(&it, &name, &part))
		g_hash_table_insert(copy, g_strdup(name), log_part_copy(part));
	return copy;
}

/* drill_copy() keeps a copy of all topics in the place of an earlier one. */
void drill_copy(struct drill *d, GHashTable *topics)
{
	d->copy = copy_topics(topics);
}

/* drill_restore() begins the next era; returns the topics to go on with. */
GHashTable *drill_restore(struct drill *d)
{
	d->era += 1 + d->skip;
	d->skip = 0;
	return d->copy ? copy_topics(d->copy)
		       : g_hash_table_new(g_str_hash, g_str_equal);
}

/* drill_set() takes over what a query names and leaves the rest. */
void drill_set(struct drill *d, const struct query *q)
{
	const char *named = query_text(q, "era_named");

	d->skip = (unsigned)query_int(q, "era_skip", (int64_t)d->skip);
	if (named)
		g_strlcpy(d->named, named, sizeof(d->named));
}

/* drill_write_era() writes the header of an answer that was made in an era. */
void drill_write_era(const struct drill *d, uint64_t era, struct buf *headers)
{
	if (!strcmp(d->named, "odd"))
		buf_printf(headers, "Store-Era: the next one\r\n");
	else if (!strcmp(d->named, "huge"))
		buf_printf(headers, "Store-Era: 18446744073709551615\r\n");
	else if (strcmp(d->named, "none"))
		buf_printf(headers, "Store-Era: %" PRIu64 "\r\n", era);
}
