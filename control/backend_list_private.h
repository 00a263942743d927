/* Declarations shared by the sources of control/backend_list. */
#ifndef MP_CONTROL_BACKEND_LIST_PRIVATE_H
#define MP_CONTROL_BACKEND_LIST_PRIVATE_H

#include "control/backend_list.h"

struct list_entry {
	struct backend_entry entry;
	struct store_position pos; /* of its newest record */
	/* It was on the list without a break from this position on. */
	struct store_position since;
	bool deferred;	/* its removal is deferred */
	bool after_gap; /* because of a gap of the list, see list_cover.h */
	int64_t due_ms; /* end of the deferral, or of the unconfirmed state */
	/*
	 * The entry was read in an earlier era. The present log may hold older
	 * content, and the next record may be new to peers that missed this
	 * one.
	 */
	bool from_old_era;
	bool seen; /* contained in the listing being read */
};

void backend_list_publish(struct backend_list *l,
			  const struct backend_change *c, int64_t now_ms);
void backend_list_note_gap(struct backend_list *l, const char *cause,
			   int64_t as_of_ms);
void backend_list_resettle(struct backend_list *l, int64_t now_ms);
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
