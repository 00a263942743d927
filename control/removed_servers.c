#include <string.h>

#include "control/removed_servers.h"

enum {
	/* Writes whose answer was lost are done some seconds later. */
	STALE_WRITE_MS = 10 * 1000,
	/*
	 * A backup is some seconds old; servers removed before it aren't in it.
	 */
	BACKUP_AGE_MAX_MS = 60 * 1000,
	/*
	 * Beyond this number, entries older than BACKUP_AGE_MAX_MS are dropped.
	 */
	REMOVED_MAX = 1024,
};

struct removed_server {
	struct backend_entry entry; /* last known */
	struct store_position pos;  /* of its removal */
	int64_t at_ms;
};

/* removed_servers_init() initializes an empty table. */
void removed_servers_init(struct removed_servers *s)
{
	s->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/* Returns whether no backup can contain the server any more. */
static gboolean is_expired(gpointer key, gpointer value, gpointer now_ms)
{
	const struct removed_server *x = value;

	return *(const int64_t *)now_ms - x->at_ms >= BACKUP_AGE_MAX_MS;
}

/* removed_servers_add() remembers the last entry of a removed server. */
void removed_servers_add(struct removed_servers *s,
			 const struct backend_entry *e,
			 struct store_position pos, int64_t now_ms)
{
	struct removed_server *x = g_new0(struct removed_server, 1);

	if (g_hash_table_size(s->by_id) >= REMOVED_MAX)
		g_hash_table_foreach_remove(s->by_id, is_expired, &now_ms);
	x->entry = *e;
	x->pos = pos;
	x->at_ms = now_ms;
	g_hash_table_replace(s->by_id, x->entry.id, x);
}

/*
 * removed_servers_count() counts the servers of a service removed since
 * since_ms.
 */
unsigned removed_servers_count(const struct removed_servers *s,
			       const char *service, int64_t since_ms)
{
	GHashTableIter it;
	unsigned n = 0;
	gpointer v;

	g_hash_table_iter_init(&it, s->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct removed_server *x = v;

		n += x->at_ms >= since_ms && !strcmp(x->entry.service, service);
	}
	return n;
}

/*
 * removed_servers_classify() classifies the entry of a server that is off the
 * list. An entry of a later era than the removal may come from a backup.
 */
enum entry_status removed_servers_classify(const struct removed_servers *s,
					   const struct backend_entry *e,
					   struct store_position pos,
					   int64_t now_ms)
{
	const struct removed_server *x = g_hash_table_lookup(s->by_id, e->id);
	int64_t ago_ms = x ? now_ms - x->at_ms : 0;

	if (!x)
		return ENTRY_NEW;
	if (pos.era > x->pos.era && ago_ms < BACKUP_AGE_MAX_MS &&
	    !backend_entry_is_newer(e, &x->entry))
		return ENTRY_UNCONFIRMED;
	if (ago_ms < STALE_WRITE_MS && backend_entry_is_older(e, &x->entry))
		return ENTRY_STALE;
	return ENTRY_NEW;
}
