#include <arpa/inet.h>
#include <string.h>

#include "member/tunnel_peers.h"

enum {
	/* A peer that didn't reach a service isn't asked again for this long. */
	AVOID_MS = 1000,
	AVOID_DOUBLINGS_MAX = 3, /* limit of the doubling with each failure */
	/* A peer that worked within this time counts as proven. */
	PROVEN_MS = 10 * 1000,
};

/* What is known of a peer's tunnels to a service. */
struct tunnel_record {
	unsigned failures; /* in a row */
	int64_t avoid_until_ms;
	int64_t worked_ms; /* 0: not since the last failure */
};

/* tunnel_peers_init() initializes an empty table for the named instance. */
void tunnel_peers_init(struct tunnel_peers *t, const char *self, const char *dc,
		       int port_offset)
{
	memset(t, 0, sizeof(*t));
	t->list = g_ptr_array_new();
	t->port_offset = port_offset;
	g_strlcpy(t->self, self, sizeof(t->self));
	g_strlcpy(t->dc, dc, sizeof(t->dc));
}

/* tunnel_peer_ref() counts a connection through the peer. */
void tunnel_peer_ref(struct tunnel_peer *p)
{
	p->refs++;
}

/* tunnel_peer_unref() ends one; frees a peer that is no longer listed. */
void tunnel_peer_unref(struct tunnel_peer *p)
{
	if (--p->refs)
		return;
	g_hash_table_unref(p->records);
	g_free(p);
}

/* Returns the peer of that name, or NULL. */
static struct tunnel_peer *find(const struct tunnel_peers *t, const char *name)
{
	for (guint i = 0; i < t->list->len; i++) {
		struct tunnel_peer *p = g_ptr_array_index(t->list, i);

		if (!strcmp(p->name, name))
			return p;
	}
	return NULL;
}

/* Adds a peer, or updates the address of a known one. */
static void list_peer(struct tunnel_peers *t, const struct peer_endpoint *e)
{
	struct tunnel_peer *p = find(t, e->name);

	if (!p) {
		p = g_new0(struct tunnel_peer, 1);
		p->refs = 1;
		p->records = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_strlcpy(p->name, e->name, sizeof(p->name));
		g_ptr_array_add(t->list, p);
	}
	g_strlcpy(p->dc, e->dc, sizeof(p->dc));
	p->addr = e->peer_addr;
	p->addr.sin_port =
		htons((uint16_t)(ntohs(p->addr.sin_port) + t->port_offset));
	p->listed = true;
}

/*
 * tunnel_peers_update() takes over the instances that callers are given, an
 * array of struct peer_endpoint. Peers that aren't among them are removed; open
 * connections keep a reference.
 */
void tunnel_peers_update(struct tunnel_peers *t, const GArray *named)
{
	for (guint i = 0; i < t->list->len; i++)
		((struct tunnel_peer *)t->list->pdata[i])->listed = false;
	for (guint i = 0; named && i < named->len; i++) {
		const struct peer_endpoint *e =
			&g_array_index(named, struct peer_endpoint, i);

		if (strcmp(e->name, t->self))
			list_peer(t, e);
	}
	for (guint i = t->list->len; i > 0; i--) {
		struct tunnel_peer *p = g_ptr_array_index(t->list, i - 1);

		if (p->listed)
			continue;
		g_ptr_array_remove_index_fast(t->list, i - 1);
		tunnel_peer_unref(p);
	}
}

/* Returns what is known of the peer's tunnels to the service; never NULL. */
static struct tunnel_record *record_of(struct tunnel_peer *p,
				       const void *service)
{
	struct tunnel_record *r = g_hash_table_lookup(p->records, service);

	if (r)
		return r;
	r = g_new0(struct tunnel_record, 1);
	g_hash_table_insert(p->records, (void *)service, r);
	return r;
}

/* The peers that may be asked for a tunnel. */
struct candidates {
	GPtrArray *near, *far; /* of the own data centre, of others */
	bool near_failed, near_proven;
};

static void list_candidates(const struct tunnel_peers *t, const void *service,
			    int64_t now_ms, struct candidates *c)
{
	*c = (struct candidates){g_ptr_array_new(), g_ptr_array_new(), 0, 0};
	for (guint i = 0; i < t->list->len; i++) {
		struct tunnel_peer *p = g_ptr_array_index(t->list, i);
		const struct tunnel_record *r = record_of(p, service);
		bool near = !strcmp(p->dc, t->dc);
		bool avoided = now_ms < r->avoid_until_ms;

		if (!avoided)
			g_ptr_array_add(near ? c->near : c->far, p);
		c->near_failed = c->near_failed || (near && avoided);
		c->near_proven =
			c->near_proven || (near && r->worked_ms &&
					   now_ms - r->worked_ms < PROVEN_MS);
	}
}

/*
 * Returns whether to ask a peer of the own data centre. Its links may be down
 * as a whole: until one has worked, every other tunnel goes elsewhere, and all
 * do when one has failed.
 */
static bool is_near_turn(struct tunnel_peers *t, const struct candidates *c,
			 enum tunnel_scope scope)
{
	if (scope == TUNNEL_FAR || c->near_failed)
		return false;
	return c->near_proven || t->turn++ % 2 == 0;
}

/*
 * tunnel_peers_pick() returns the peer for a new tunnel to a server of the
 * service, or NULL if none is left. `service` is an opaque key. Of two random
 * ones the one with fewer connections is chosen, so that no peer gets most of
 * them.
 */
struct tunnel_peer *tunnel_peers_pick(struct tunnel_peers *t,
				      const void *service,
				      enum tunnel_scope scope, GRand *rand,
				      int64_t now_ms)
{
	struct tunnel_peer *chosen = NULL;
	struct candidates c;
	GPtrArray *from;

	list_candidates(t, service, now_ms, &c);
	from = is_near_turn(t, &c, scope) ? c.near : c.far;
	if (!from->len)
		from = from == c.near ? c.far : c.near;
	for (int i = 0; i < 2 && from->len; i++) {
		struct tunnel_peer *p = g_ptr_array_index(
			from,
			(guint)g_rand_int_range(rand, 0, (gint32)from->len));

		if (!chosen || p->refs < chosen->refs)
			chosen = p;
	}
	g_ptr_array_unref(c.near);
	g_ptr_array_unref(c.far);
	return chosen;
}

/* tunnel_peer_failed() avoids a peer that didn't reach the service. */
void tunnel_peer_failed(struct tunnel_peer *p, const void *service,
			int64_t now_ms)
{
	struct tunnel_record *r = record_of(p, service);

	r->avoid_until_ms =
		now_ms + (AVOID_MS << MIN(r->failures, AVOID_DOUBLINGS_MAX));
	r->failures++;
	r->worked_ms = 0;
}

/* tunnel_peer_worked() handles an answer through the peer. */
void tunnel_peer_worked(struct tunnel_peer *p, const void *service,
			int64_t now_ms)
{
	*record_of(p, service) = (struct tunnel_record){.worked_ms = now_ms};
}
