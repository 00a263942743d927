/* Helpers for tests that observe the changes of lists of backend servers. */
#ifndef MP_TESTS_BACKEND_LISTS_H
#define MP_TESTS_BACKEND_LISTS_H

#include "control/backend_list.h"

struct seen {
	GHashTable *ids; /* id -> "ready" or "draining" */
};

static inline void on_change(void *priv, const struct backend_change *c)
{
	struct seen *s = priv;

	if (c->removed)
		g_hash_table_remove(s->ids, c->entry.id);
	else
		g_hash_table_replace(s->ids, g_strdup(c->entry.id),
				     c->entry.draining ? "draining" : "ready");
}

static inline void init(struct backend_list *l, struct seen *s)
{
	s->ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	backend_list_init(l, on_change, s);
}

static inline struct store_position at(uint64_t offset)
{
	return (struct store_position){1, offset};
}

static inline struct backend_change change(uint64_t offset, const char *id,
					   const char *what)
{
	struct backend_change c = {.pos = at(offset)};

	g_strlcpy(c.entry.id, id, sizeof(c.entry.id));
	g_strlcpy(c.entry.service, "harta", sizeof(c.entry.service));
	c.removed = !strcmp(what, "gone");
	c.entry.draining = !strcmp(what, "draining");
	return c;
}

static inline void record(struct backend_list *l, uint64_t offset,
			  const char *id, const char *what, int64_t now)
{
	struct backend_change c = change(offset, id, what);

	backend_list_apply_record(l, &c, now);
}

static inline void read_empty_listing(struct backend_list *l, uint64_t end,
				      int64_t now)
{
	backend_list_replace_begin(l, 1, now);
	backend_list_replace_end(l, at(end), now, now);
}

static inline const char *state_of(const struct seen *s, const char *id)
{
	const char *what = g_hash_table_lookup(s->ids, id);

	return what ? what : "gone";
}

static inline void send_feed(struct backend_list *from, struct backend_list *to,
			     bool expect, int64_t now)
{
	struct backend_feed f;

	backend_list_build_feed(from, &f, now);
	assert_int_equal(backend_list_apply_feed(to, &f, now), expect);
}

static inline struct store_position in_era(uint64_t era, uint64_t offset)
{
	return (struct store_position){era, offset};
}

#endif
