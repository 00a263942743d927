/*
 * The platform's list of backend servers, kept up to a known place of its log.
 * Records come from this instance's own reads or from a peer that read them; their
 * places make both fit together. The store may come back from a copy, in a new era:
 * what the copy says of a server counts only as far as it is newer than what is known
 * here, and what it lacks has some time to be written again. Decisions on values only.
 */
#ifndef MP_CONTROL_BACKEND_LIST_H
#define MP_CONTROL_BACKEND_LIST_H

#include "control/ended_servers.h"
#include "member/gossip.h"

struct backend_list {
	int heartbeat_ms;    /* servers write their entries so often */
	GHashTable *entries; /* id -> struct listed * */
	GHashTable
		*unconfirmed; /* id -> struct listed *, see ENTRY_UNCONFIRMED */
	struct ended_servers ended;
	struct store_position pos; /* records before it are taken in */
	bool loaded;		   /* a whole listing was read once */
	int64_t fresh_ms;	   /* the list is complete as of then */
	int64_t grace_until_ms;	   /* removals are held back until then */
	int64_t restored_ms; /* the store's copy was first seen then; 0: never */
	int64_t due_ms;	     /* the first that is held back is due; 0: none */
	bool restored; /* what is taken in may come from a copy of the store */
	struct store_position listing_end; /* the end of its last listing */
	GArray *recent; /* struct backend_change, for the peers */
	struct store_position
		recent_from; /* where what `recent` covers begins */
	GArray *recent_ms;   /* when each of them was taken in */
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
void backend_list_replace_end(struct backend_list *l, struct store_position end,
			      int64_t as_of_ms, int64_t now_ms);
bool backend_list_has_deferred(const struct backend_list *l);
void backend_list_remove_deferred(struct backend_list *l,
				  const struct backend_change *c,
				  int64_t now_ms);
void backend_list_apply_deferred(struct backend_list *l, int64_t now_ms);
void backend_list_build_feed(struct backend_list *l, struct backend_feed *f,
			     int64_t now_ms);
void backend_list_export(const struct backend_list *l, GArray *changes);
void backend_list_import(struct backend_list *l, const GArray *changes,
			 struct store_position end, int64_t as_of_ms,
			 int64_t now_ms);
int64_t backend_list_next_read_ms(unsigned rank, bool many, int64_t fresh_ms,
				  int64_t tried_ms, unsigned failures);

#endif
