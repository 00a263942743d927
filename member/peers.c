#include <string.h>

#include "core/limit_share.h"
#include "member/peers.h"

enum {
	/*
	 * Three heartbeats, which go out twice a second, and the way: an
	 * instance that is gone leaves the callers' answers within two
	 * seconds.
	 */
	ALIVE_TIMEOUT_MS = 1700,
	/* A peer that lives has answered the first heartbeat by then. */
	ANSWER_MS = 1000,
	/*
	 * One that fell silent may be cut off and serve on: regions are for an
	 * hour now and then.
	 */
	PARTITION_MAX_MS = 2 * 3600 * 1000,
	/* After its grace time a stopping instance has ended. */
	STOP_MARGIN_MS = 1000,
};

/* peer_id() shortens a name for the roster. */
uint32_t peer_id(const char *name)
{
	return g_str_hash(name);
}

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
	p->id = peer_id(info->name);
	p->added_ms = now_ms;
	g_ptr_array_insert(t->peers, (gint)at, p);
	return p;
}

/* peers_find() finds a peer by name, or NULL. */
struct peer *peers_find(const struct peer_table *t, const char *name)
{
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (!strcmp(p->info.name, name))
			return p;
	}
	return NULL;
}

/*
 * peers_note_heartbeat() takes in a heartbeat. Returns whether the peer is new, has
 * started anew or was thought lost: it is then answered at once, so that it
 * need not wait for the next heartbeat to know this instance.
 */
bool peers_note_heartbeat(struct peer_table *t, const struct peer_info *info,
			  int64_t now_ms)
{
	struct peer *p = peers_add(t, info, now_ms);

	if (!p)
		return false;
	bool fresh = !peer_alive(p, now_ms) || p->info.boot_id != info->boot_id;

	p->info = *info;
	p->heartbeat_ms = now_ms;
	p->logged_alive = true;
	return fresh;
}

/*
 * peer_alive() tells whether a peer's heartbeats come, here or at the hub
 * whose roster came last.
 */
bool peer_alive(const struct peer *p, int64_t now_ms)
{
	if (p->heartbeat_ms && now_ms - p->heartbeat_ms < ALIVE_TIMEOUT_MS)
		return true;
	return p->in_roster && now_ms - p->roster_ms < ALIVE_TIMEOUT_MS;
}

/* peer_last_seen_ms() tells when somebody last heard of a peer. */
int64_t peer_last_seen_ms(const struct peer *p)
{
	int64_t seen =
		p->heartbeat_ms > p->roster_ms ? p->heartbeat_ms : p->roster_ms;

	return seen ? seen : p->added_ms;
}

/*
 * peers_next_lost() finds a peer whose heartbeats have stopped since it was
 * last heard, each once; NULL when there is none.
 */
const struct peer *peers_next_lost(struct peer_table *t, int64_t now_ms)
{
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (!p->logged_alive || peer_alive(p, now_ms))
			continue;
		p->logged_alive = false;
		return p;
	}
	return NULL;
}

/* Counts the peers that stand before this instance and may serve. */
static unsigned count_before(const struct peer_table *t, int64_t now_ms,
			     bool expected_too)
{
	unsigned rank = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);
		bool expected = expected_too && !p->heartbeat_ms &&
				now_ms - p->added_ms < ANSWER_MS;
		bool alive = peer_alive(p, now_ms) && !p->info.leaving;

		if ((alive || expected) &&
		    strcmp(p->info.name, t->self.name) < 0)
			rank++;
	}
	return rank;
}

/*
 * peers_rank() counts the live instances that stand before this one. The
 * first reads the list of backend servers for all; the next take over in
 * turn when it falls silent.
 */
unsigned peers_rank(const struct peer_table *t, int64_t now_ms)
{
	return count_before(t, now_ms, false);
}

/*
 * peers_startup_rank() is peers_rank() for an instance that has just started:
 * peers that were not heard yet count while they may still answer.
 */
unsigned peers_startup_rank(const struct peer_table *t, int64_t now_ms)
{
	return count_before(t, now_ms, true);
}

/* peers_records_era() tells as of which era somebody found the system's records whole. */
uint64_t peers_records_era(const struct peer_table *t)
{
	uint64_t era = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		era = MAX(era, p->info.records_era);
	}
	return era;
}

/* peers_count() counts the instances that may be serving, this one too. */
unsigned peers_count(const struct peer_table *t, int64_t now_ms)
{
	unsigned n = 1;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);
		if (now_ms - peer_last_seen_ms(p) < PEER_LOST_MS)
			n++;
	}
	return n;
}

/* Whether a peer may still send to servers, as far as is known here. */
static bool may_send(const struct peer *p, uint32_t stop_ms, int64_t now_ms)
{
	int64_t silent = now_ms - peer_last_seen_ms(p);

	if (p->info.leaving && silent >= (int64_t)stop_ms + STOP_MARGIN_MS)
		return false;
	return silent < PARTITION_MAX_MS;
}

/*
 * peers_sharers() lists all instances that may be sending to servers, this one
 * first. One that merely fell silent counts on, unlike in peers_count(): what it
 * holds must not be given to another while it may be using it. `stop_ms`: so long
 * after it said that it leaves one has surely ended. Unref the array of struct
 * limit_sharer after use.
 */
GArray *peers_sharers(const struct peer_table *t, uint32_t stop_ms,
		      int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct limit_sharer));
	struct limit_sharer s = {peer_id(t->self.name), 1};

	g_array_append_val(out, s);
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (!may_send(p, stop_ms, now_ms))
			continue;
		s = (struct limit_sharer){p->id, peer_alive(p, now_ms)};
		g_array_append_val(out, s);
	}
	return out;
}

/* Whom to name: those that can serve, all that live, or all known. */
enum choice { CHOOSE_READY, CHOOSE_ALIVE, CHOOSE_KNOWN };

static bool suits(const struct peer *p, enum choice choice, int64_t now_ms)
{
	bool alive = peer_alive(p, now_ms);

	if (p->info.leaving && alive)
		return false;
	switch (choice) {
	case CHOOSE_READY:
		return alive && p->info.ready;
	case CHOOSE_ALIVE:
		return alive;
	case CHOOSE_KNOWN:
		break;
	}
	return true;
}

static void add_brief(GArray *out, const struct peer_info *p)
{
	struct peer_endpoint b;

	memcpy(b.name, p->name, sizeof(b.name));
	memcpy(b.dc, p->dc, sizeof(b.dc));
	memcpy(b.caller_addr, p->caller_addr, sizeof(b.caller_addr));
	memcpy(b.own_addr, p->own_addr, sizeof(b.own_addr));
	g_array_append_val(out, b);
}

/* Lists those that suit; returns how many they are. */
static guint list_peers(const struct peer_table *t, int64_t now_ms,
			enum choice choice, GArray *out)
{
	g_array_set_size(out, 0);
	if (!t->self.leaving && (t->self.ready || choice != CHOOSE_READY))
		add_brief(out, &t->self);
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (suits(p, choice, now_ms))
			add_brief(out, &p->info);
	}
	return out->len;
}

/*
 * peers_for_callers() lists where callers may connect: the live instances
 * that can serve, or those that live when none can (they say when to come
 * back). An instance that hears none of the others it knows is more likely
 * cut off than the last one left, so it names them all. The result is an array
 * of struct peer_endpoint; unref it after use.
 */
GArray *peers_for_callers(const struct peer_table *t, int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, TRUE, sizeof(struct peer_endpoint));
	guint alive = list_peers(t, now_ms, CHOOSE_ALIVE, out);

	if (alive <= 1 && t->peers->len)
		list_peers(t, now_ms, CHOOSE_KNOWN, out);
	else if (list_peers(t, now_ms, CHOOSE_READY, out) == 0)
		list_peers(t, now_ms, CHOOSE_ALIVE, out);
	return out;
}

/* peers_count_ready() counts the live peers that can serve. */
unsigned peers_count_ready(const struct peer_table *t, int64_t now_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < t->peers->len; i++)
		n += suits(g_ptr_array_index(t->peers, i), CHOOSE_READY,
			   now_ms);
	return n;
}

/*
 * peers_pick_source() finds a live peer that can serve, to ask it for what it
 * knows: of the own data centre if there is one, as what crosses data centres
 * is slower and dearer. `turn` chooses among several; NULL: there is none.
 */
const struct peer *peers_pick_source(const struct peer_table *t, unsigned turn,
				     int64_t now_ms)
{
	GPtrArray *near = g_ptr_array_new(), *far = g_ptr_array_new();
	const struct peer *chosen = NULL;

	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (suits(p, CHOOSE_READY, now_ms))
			g_ptr_array_add(
				strcmp(p->info.dc, t->self.dc) ? far : near, p);
	}
	if (near->len)
		chosen = g_ptr_array_index(near, turn % near->len);
	else if (far->len)
		chosen = g_ptr_array_index(far, turn % far->len);
	g_ptr_array_unref(near);
	g_ptr_array_unref(far);
	return chosen;
}
