#include <inttypes.h>
#include <string.h>

#include "stand/backup.h"
#include "stand/log.h"

/* backup_init() prepares a store without backup in its first era. */
void backup_init(struct backup *b)
{
	*b = (struct backup){.era = 1, .era_header = "ok"};
}

/* Returns a deep copy of all topics. */
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

/* backup_save() copies all topics; it replaces an earlier backup. */
void backup_save(struct backup *b, GHashTable *topics)
{
	b->copy = copy_topics(topics);
}

/*
 * backup_restore() starts the next era. Returns a copy of the backup, or empty
 * topics if there is none.
 */
GHashTable *backup_restore(struct backup *b)
{
	b->era += 1 + b->era_skip;
	b->era_skip = 0;
	return b->copy ? copy_topics(b->copy)
		       : g_hash_table_new(g_str_hash, g_str_equal);
}

/* backup_set() sets the parameters that the query has. */
void backup_set(struct backup *b, const struct query *q)
{
	const char *header = query_text(q, "era_named");

	b->era_skip = (unsigned)query_int(q, "era_skip", (int64_t)b->era_skip);
	if (header)
		g_strlcpy(b->era_header, header, sizeof(b->era_header));
}

/* backup_write_era() writes the Store-Era header of a response of this era. */
void backup_write_era(const struct backup *b, uint64_t era, struct buf *headers)
{
	if (!strcmp(b->era_header, "odd"))
		buf_printf(headers, "Store-Era: the next one\r\n");
	else if (!strcmp(b->era_header, "huge"))
		buf_printf(headers, "Store-Era: 18446744073709551615\r\n");
	else if (strcmp(b->era_header, "none"))
		buf_printf(headers, "Store-Era: %" PRIu64 "\r\n", era);
}
