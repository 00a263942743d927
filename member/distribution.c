#include <string.h>

#include "member/distribution.h"
#include "member/hubs.h"

enum {
	RELAYS = 2, /* of a data centre */
	/* The relays know an instance that has joined by then. */
	NEW_MS = 3000,
};

/* Live peers of one data centre; the first ones by name are its relays. */
struct data_centre {
	const char *name;
	struct peer *relays[RELAYS];
	unsigned nrelays, peers;
};

static struct data_centre *find_dc(GArray *dcs, const char *name)
{
	struct data_centre dc = {.name = name};

	for (guint i = 0; i < dcs->len; i++) {
		struct data_centre *d =
			&g_array_index(dcs, struct data_centre, i);

		if (!strcmp(d->name, name))
			return d;
	}
	g_array_append_val(dcs, dc);
	return &g_array_index(dcs, struct data_centre, dcs->len - 1);
}

/* Returns whether a peer may be unknown to the relays of its data centre. */
static bool is_new(const struct peer *p, int64_t now_ms)
{
	return now_ms - p->returned_ms < NEW_MS;
}

/* Groups the live peers of other data centres. */
static GArray *group(const struct peer_table *t, int64_t now_ms)
{
	GArray *dcs = g_array_new(FALSE, FALSE, sizeof(struct data_centre));

	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);
		struct data_centre *dc;

		if (!peer_alive(p, now_ms) || !strcmp(p->info.dc, t->self.dc))
			continue;
		dc = find_dc(dcs, p->info.dc);
		dc->peers++;
		if (dc->nrelays < RELAYS && !p->info.leaving &&
		    !is_new(p, now_ms))
			dc->relays[dc->nrelays++] = p;
	}
	return dcs;
}

/*
 * distribution_plan() determines who gets the message with the number `turn`.
 * With new_direct, peers that have just joined get it directly, as relays may
 * not know them; all peers of a data centre without relays do in any case.
 */
void distribution_plan(const struct peer_table *t, unsigned turn,
		       bool new_direct, int64_t now_ms,
		       struct distribution *out)
{
	GArray *dcs = group(t, now_ms);

	out->direct = g_ptr_array_new();
	out->relays = g_ptr_array_new();
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);
		bool own = !strcmp(p->info.dc, t->self.dc);

		if (!peer_alive(p, now_ms))
			continue;
		if (own || (new_direct && is_new(p, now_ms)) ||
		    !hubs_enabled(t) || !find_dc(dcs, p->info.dc)->nrelays)
			g_ptr_array_add(out->direct, p);
	}
	for (guint i = 0; i < dcs->len && hubs_enabled(t); i++) {
		struct data_centre *dc =
			&g_array_index(dcs, struct data_centre, i);

		if (dc->nrelays)
			g_ptr_array_add(out->relays,
					dc->relays[turn % dc->nrelays]);
	}
	g_array_unref(dcs);
}

/* distribution_clear() frees a plan. */
void distribution_clear(struct distribution *d)
{
	g_ptr_array_unref(d->direct);
	g_ptr_array_unref(d->relays);
}

/*
 * distribution_forwards_to() returns whether this instance, a relay, forwards a
 * message of the instance `origin` to p.
 */
bool distribution_forwards_to(const struct peer_table *t, const struct peer *p,
			      const char *origin, int64_t now_ms)
{
	return peer_alive(p, now_ms) && !strcmp(p->info.dc, t->self.dc) &&
	       strcmp(p->info.name, origin);
}
