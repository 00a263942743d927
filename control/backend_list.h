/*
 * The platform's list of backend servers, complete up to a known position of
 * the store's log. Records come from this instance's own reads or from a peer
 * that read them, and are put in order by their positions. The store may be
 * restored from a backup, which begins a new era. An entry of the backup then
 * counts only if it is newer than what is known here, and servers that the
 * backup lacks get some time to write their entries again. Pure logic without
 * I/O.
 */
#ifndef MP_CONTROL_BACKEND_LIST_H
#define MP_CONTROL_BACKEND_LIST_H

#include "control/list_cover.h"
#include "control/removed_servers.h"
#include "member/gossip.h"

struct backend_list {
	int heartbeat_ms;    /* interval at which servers write their entries */
	GHashTable *entries; /* by id, struct list_entry * */
	GHashTable *unconfirmed; /* by id, see ENTRY_UNCONFIRMED */
	struct removed_servers removed;
	struct store_position pos; /* records before it are applied */
	bool loaded;		   /* a full listing was read at least once */
	int64_t fresh_ms;	   /* time as of which the list is complete */
	struct list_cover cover;   /* for how long it has had no gap */
	int64_t restored_ms; /* a restored store was first seen; 0: never */
	int64_t due_ms; /* earliest due time of a deferred change; 0: none */
	bool restored;	/* changes being applied may come from a backup */
	bool listing;	/* a full listing is being applied */
	struct store_position
		listing_end; /* end position of the last full listing */
	GArray *recent;	     /* struct backend_change, for the peers */
	struct store_position recent_from; /* where `recent` begins */
	GArray *recent_ms;		   /* when each of them was applied */
	void (*changed)(void *priv, const struct backend_change *c);
	void *priv;
};

void backend_list_init(struct backend_list *l,
		       void (*changed)(void *priv,
				       const struct backend_change *c),
		       void *priv);
void backend_list_apply_record(struct backend_list *l,
			       const struct backend_change *c, int64_t now_ms);
void backend_list_advance(struct backend_list *l, struct store_position end,
			  int64_t as_of_ms, int64_t now_ms);
bool backend_list_apply_feed(struct backend_list *l,
			     const struct backend_feed *f, int64_t now_ms);
void backend_list_read_begin(struct backend_list *l, int64_t now_ms);
void backend_list_replace_begin(struct backend_list *l, uint64_t era,
				int64_t now_ms);
void backend_list_keep_unlisted(struct backend_list *l);
void backend_list_replace_end(struct backend_list *l, struct store_position end,
			      int64_t as_of_ms, int64_t now_ms);
bool backend_list_has_deferred(const struct backend_list *l);
void backend_list_remove_deferred(struct backend_list *l,
				  const struct backend_change *c,
				  int64_t now_ms);
void backend_list_apply_deferred(struct backend_list *l, int64_t now_ms);
void backend_list_build_feed(struct backend_list *l, struct backend_feed *f,
			     int64_t now_ms);
bool backend_feed_covers(const struct backend_feed *f,
			 struct store_position known);
void backend_list_export(const struct backend_list *l, GArray *changes);
void backend_list_import(struct backend_list *l, const GArray *changes,
			 struct store_position end, int64_t as_of_ms,
			 int64_t now_ms);
int64_t backend_list_next_read_ms(unsigned rank, bool large, int64_t fresh_ms,
				  int64_t tried_ms, unsigned failures);

#endif
