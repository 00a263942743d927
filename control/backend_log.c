#include "common/event.h"
#include "control/backend_list_private.h"
#include "control/backend_log.h"

/* backend_log_change() logs that a server was added, changed or removed. */
void backend_log_change(const struct backend_change *ch)
{
	if (ch->removed)
		mp_event(EV_MEMBER_REMOVED, G_LOG_LEVEL_MESSAGE,
			 "backend=%s offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT,
			 ch->entry.id, ch->pos.offset, ch->pos.era);
	else
		mp_event(ch->entry.draining ? EV_MEMBER_LEAVING
					    : EV_MEMBER_JOINED,
			 G_LOG_LEVEL_MESSAGE,
			 "backend=%s service=%s dc=%s offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT,
			 ch->entry.id, ch->entry.service, ch->entry.dc,
			 ch->pos.offset, ch->pos.era);
}

/*
 * backend_log_list() logs the first list as a whole: one line for each server
 * would be too much when a large deployment starts. The digest is the same for
 * the same ids, states and starts in any order.
 */
void backend_log_list(const struct backend_list *l)
{
	unsigned draining = 0;
	uint32_t digest = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->entries);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct backend_entry *e =
			&((const struct list_entry *)v)->entry;

		draining += e->draining;
		digest += g_str_hash(e->id) ^ (uint32_t)e->server_start_ms ^
			  (uint32_t)e->draining;
	}
	mp_event(EV_LIST_LOADED, G_LOG_LEVEL_MESSAGE,
		 "servers=%u draining=%u offset=%" G_GUINT64_FORMAT
		 " era=%" G_GUINT64_FORMAT " digest=%08x",
		 g_hash_table_size(l->entries), draining, l->pos.offset,
		 l->pos.era, digest);
}
