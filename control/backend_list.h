/*
 * The platform's list of backend servers, kept up to a known offset of its
 * log. Records come from this instance's own reads or from a peer that read
 * them; the offsets make both fit together. Decisions on values only.
 */
#ifndef MP_CONTROL_BACKEND_LIST_H
#define MP_CONTROL_BACKEND_LIST_H

#include "member/gossip.h"

struct backend_list {
	GHashTable *entries;  /* id -> struct listed * */
	GHashTable *ended;    /* id -> struct ended *, those off it of late */
	uint64_t offset;      /* records before it are taken in */
	bool loaded;	      /* a whole listing was read once */
	int64_t fresh_ms;     /* the list is complete as of then */
	int64_t settle_until; /* removals are held back until then */
	GArray *recent;	      /* struct backend_change, for the peers */
	uint64_t recent_from; /* the first offset that `recent` covers */
	GArray *recent_ms;    /* when each of them was taken in */
	void (*changed)(void *priv, const struct backend_change *c);
	void *priv;
};

void backend_list_init(struct backend_list *l,
		       void (*changed)(void *priv,
				       const struct backend_change *c),
		       void *priv);
void backend_list_record(struct backend_list *l, const struct backend_change *c,
			 int64_t now_ms);
void backend_list_caught_up(struct backend_list *l, uint64_t end,
			    int64_t as_of_ms, int64_t now_ms);
bool backend_list_feed(struct backend_list *l, const struct backend_feed *f,
		       int64_t now_ms);
void backend_list_read_begin(struct backend_list *l, int64_t now_ms);
void backend_list_replace_begin(struct backend_list *l, int64_t now_ms);
void backend_list_replace_end(struct backend_list *l, uint64_t end,
			      int64_t as_of_ms, int64_t now_ms);
void backend_list_settle(struct backend_list *l, int64_t now_ms);
void backend_list_outline(struct backend_list *l, struct backend_feed *f,
			  int64_t now_ms);
void backend_list_export(const struct backend_list *l, GArray *changes);
void backend_list_import(struct backend_list *l, const GArray *changes,
			 uint64_t end, int64_t as_of_ms, int64_t now_ms);
int64_t backend_read_due(unsigned rank, bool many, int64_t fresh_ms,
			 int64_t tried_ms, unsigned failures);

#endif
