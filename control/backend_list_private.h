/* What the parts of control/backend_list share. */
#ifndef MP_CONTROL_BACKEND_LIST_PRIVATE_H
#define MP_CONTROL_BACKEND_LIST_PRIVATE_H

#include "control/backend_list.h"

enum {
	/*
	 * Entries that lapsed while the store was away come back within two
	 * seconds of its return; one still missing then is gone.
	 */
	BACKEND_GRACE_MS = 2200,
};

struct list_entry {
	struct backend_entry entry;
	struct store_position pos; /* of its newest record */
	bool deferred;		   /* its removal is held back */
	int64_t due_ms;		   /* until then; or the doubt ends then */
	/*
	 * What is known of it is from an earlier era: the present log may say
	 * less, and to peers that missed it its next record is news.
	 */
	bool from_old_era;
	bool seen; /* in the listing that is being read */
};

void backend_list_publish(struct backend_list *l,
			  const struct backend_change *c, int64_t now_ms);
void backend_list_grace_if_stale(struct backend_list *l, int64_t now_ms);
void backend_list_begin_restored(struct backend_list *l, int64_t now_ms);
void backend_list_add(struct backend_list *l, const struct backend_change *c,
		      int64_t now_ms);
bool backend_list_defer_removal(struct backend_list *l, struct list_entry *e,
				int64_t now_ms);
void backend_list_defer_missing(struct backend_list *l, struct list_entry *e,
				int64_t now_ms);
void backend_list_add_unconfirmed(struct backend_list *l, struct list_entry *d,
				  int64_t now_ms);

#endif
