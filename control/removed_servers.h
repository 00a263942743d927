/*
 * The last known entries of servers that were removed from the list. Older
 * entries of them may still arrive, or be in the backup from which the store
 * was restored.
 */
#ifndef MP_CONTROL_REMOVED_SERVERS_H
#define MP_CONTROL_REMOVED_SERVERS_H

#include "core/backend.h"
#include "platform/store_position.h"

struct removed_servers {
	GHashTable *by_id; /* id -> struct removed_server * */
};

/* What an entry means for a server that is off the list. */
enum entry_status {
	ENTRY_NEW,	   /* the server is back, or was never removed */
	ENTRY_STALE,	   /* older than the removal: ignored */
	ENTRY_UNCONFIRMED, /* from a backup: the server may be gone, or back */
};

void removed_servers_init(struct removed_servers *s);
void removed_servers_add(struct removed_servers *s,
			 const struct backend_entry *e,
			 struct store_position pos, int64_t now_ms);
unsigned removed_servers_count(const struct removed_servers *s,
			       const char *service, int64_t since_ms);
enum entry_status removed_servers_classify(const struct removed_servers *s,
					   const struct backend_entry *e,
					   struct store_position pos,
					   int64_t now_ms);

#endif
