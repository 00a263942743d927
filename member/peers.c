#include <string.h>

#include "member/peers.h"

enum {
	/*
	 * Heartbeats go out twice a second, so that an instance that is gone
	 * leaves the callers' answers within two seconds.
	 */
	BEAT_MS = 500,
	ALIVE_MS = 1700,     /* three heartbeats and the way */
	LOST_MS = 10 * 1000, /* from here on it is tried seldom */
	LOST_BEAT_MS = 5 * 1000,
};

/* peers_init() makes a table that knows only this instance. */
void peers_init(struct peer_table *t, const struct peer_info *self)
{
	t->self = *self;
	t->peers = g_ptr_array_new();
}

/*
 * peers_add() finds a peer by name or takes it in. Returns NULL for this
 * instance's own name.
 */
struct peer *peers_add(struct peer_table *t, const struct peer_info *info,
		       int64_t now_ms)
{
	guint at = 0;
	struct peer *p;

	if (!strcmp(info->name, t->self.name))
		return NULL;
	for (; at < t->peers->len; at++) {
		p = g_ptr_array_index(t->peers, at);
		int cmp = strcmp(p->info.name, info->name);

		if (cmp == 0)
			return p;
		if (cmp > 0)
			break;
	}
	p = g_new0(struct peer, 1);
	p->info = *info;
	p->known_ms = now_ms;
	g_ptr_array_insert(t->peers, (gint)at, p);
	return p;
}

/*
 * peers_heard() takes in a heartbeat. Returns whether the peer is new, has
 * started anew or was thought lost: it is then answered at once, so that it
 * need not wait for the next heartbeat to know this instance.
 */
bool peers_heard(struct peer_table *t, const struct peer_info *info,
		 int64_t now_ms)
{
	struct peer *p = peers_add(t, info, now_ms);

	if (!p)
		return false;
	bool fresh = !peer_alive(p, now_ms) || p->info.boot != info->boot;

	p->info = *info;
	p->heard_ms = now_ms;
	return fresh;
}

/* peer_alive() tells whether a peer's heartbeats come. */
bool peer_alive(const struct peer *p, int64_t now_ms)
{
	return p->heard_ms && now_ms - p->heard_ms < ALIVE_MS;
}

/* peer_due() tells whether it is time for a heartbeat to p. */
bool peer_due(const struct peer *p, int64_t now_ms)
{
	int64_t seen = p->heard_ms ? p->heard_ms : p->known_ms;
	int64_t every = now_ms - seen > LOST_MS ? LOST_BEAT_MS : BEAT_MS;

	return now_ms - p->sent_ms >= every;
}

/*
 * peers_rank() counts the live instances that stand before this one. The
 * first reads the list of backend servers for all; the next take over in
 * turn when it falls silent.
 */
unsigned peers_rank(const struct peer_table *t, int64_t now_ms)
{
	unsigned rank = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (peer_alive(p, now_ms) && !p->info.leaving &&
		    strcmp(p->info.name, t->self.name) < 0)
			rank++;
	}
	return rank;
}

/* peers_count() counts the instances that may be serving, this one too. */
unsigned peers_count(const struct peer_table *t, int64_t now_ms)
{
	unsigned n = 1;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);
		int64_t seen = p->heard_ms ? p->heard_ms : p->known_ms;

		if (now_ms - seen < LOST_MS)
			n++;
	}
	return n;
}

static void fill_brief(struct peer_brief *b, const struct peer_info *p)
{
	memcpy(b->name, p->name, sizeof(b->name));
	memcpy(b->dc, p->dc, sizeof(b->dc));
	memcpy(b->callers, p->callers, sizeof(b->callers));
	memcpy(b->own, p->own, sizeof(b->own));
}

static size_t list_peers(const struct peer_table *t, int64_t now_ms,
			 bool alive_only, struct peer_brief *out, size_t max)
{
	size_t n = 0;

	if (!t->self.leaving)
		fill_brief(&out[n++], &t->self);
	for (guint i = 0; i < t->peers->len && n < max; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->info.leaving && peer_alive(p, now_ms))
			continue;
		if (!alive_only || peer_alive(p, now_ms))
			fill_brief(&out[n++], &p->info);
	}
	return n;
}

/*
 * peers_for_callers() lists where callers may connect: this instance and the
 * live others. An instance that hears none of the others it knows is more
 * likely cut off than the last one left, so it names them all.
 */
size_t peers_for_callers(const struct peer_table *t, int64_t now_ms,
			 struct peer_brief *out, size_t max)
{
	size_t n = list_peers(t, now_ms, true, out, max);

	if (n <= 1 && t->peers->len)
		n = list_peers(t, now_ms, false, out, max);
	return n;
}
