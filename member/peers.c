#include <string.h>

#include "core/limit_share.h"
#include "member/peers.h"

enum {
	/*
	 * Added to the grace period, after which a stopping instance has
	 * exited.
	 */
	STOP_MARGIN_MS = 1000,
};

/* Returns the short id of an instance, for the roster. */
uint32_t peer_id(const char *name)
{
	return g_str_hash(name);
}

/* Initializes a table that contains only this instance. */
void peers_init(struct peer_table *t, const struct peer_info *self)
{
	memset(t, 0, sizeof(*t));
	t->self = *self;
	t->peers = g_ptr_array_new();
}

/*
 * Finds a peer by name, or adds it. Returns NULL for this instance's own name.
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

/* Returns the peer with this name, or NULL. */
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
 * Handles a heartbeat. Returns whether the peer is new, has restarted or was
 * presumed lost; it must then be sent a heartbeat at once, so that it need not
 * wait for the next one to learn of this instance.
 */
bool peers_note_heartbeat(struct peer_table *t, const struct peer_info *info,
			  int64_t now_ms)
{
	struct peer *p = peers_add(t, info, now_ms);

	if (!p)
		return false;
	bool needs_reply =
		!peer_alive(p, now_ms) || p->info.boot_id != info->boot_id;

	if (needs_reply)
		p->returned_ms = now_ms;
	p->info = *info;
	p->heartbeat_ms = now_ms;
	p->logged_alive = true;
	return needs_reply;
}

/* Returns whether heartbeats of a peer arrive here. */
bool peer_is_heard(const struct peer *p, int64_t now_ms)
{
	return p->heartbeat_ms && now_ms - p->heartbeat_ms < PEER_ALIVE_MS;
}

/*
 * Returns whether heartbeats of a peer arrive, here or at the hub that sent the
 * last roster.
 */
bool peer_alive(const struct peer *p, int64_t now_ms)
{
	if (peer_is_heard(p, now_ms))
		return true;
	return p->in_roster && now_ms - p->roster_ms < PEER_ALIVE_MS;
}

/* Returns when a peer last gave a sign of life, here or to a hub; 0: never. */
int64_t peer_last_sign_ms(const struct peer *p)
{
	return MAX(p->heartbeat_ms, p->roster_ms);
}

/* Returns the same, or when the peer became known if it gave none. */
int64_t peer_last_seen_ms(const struct peer *p)
{
	int64_t sign_ms = peer_last_sign_ms(p);

	return sign_ms ? sign_ms : p->added_ms;
}

/*
 * Returns a peer whose heartbeats have stopped, each one once until they
 * resume; NULL if there is none.
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

/* Returns whether p is alive, not leaving, and precedes this instance by name. */
static bool precedes(const struct peer_table *t, const struct peer *p,
		     int64_t now_ms)
{
	return peer_alive(p, now_ms) && !p->info.leaving &&
	       strcmp(p->info.name, t->self.name) < 0;
}

/*
 * Returns how many live instances precede this one by name. The first one reads
 * the list of backend servers for all; if it falls silent, the next ones take
 * over in turn.
 */
unsigned peers_rank(const struct peer_table *t, int64_t now_ms)
{
	unsigned rank = 0;

	for (guint i = 0; i < t->peers->len; i++)
		rank += precedes(t, g_ptr_array_index(t->peers, i), now_ms);
	return rank;
}

/* Returns how many of them are in this data centre. */
unsigned peers_dc_rank(const struct peer_table *t, int64_t now_ms)
{
	unsigned rank = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		rank += precedes(t, p, now_ms) &&
			!strcmp(p->info.dc, t->self.dc);
	}
	return rank;
}

/*
 * Returns the latest era in which any peer found the deployment's records
 * complete.
 */
uint64_t peers_records_era(const struct peer_table *t)
{
	uint64_t era = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		era = MAX(era, p->info.records_era);
	}
	return era;
}

/* Counts the instances that may be serving, this one included. */
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

/* Whether a peer may still be sending to servers, as far as is known here. */
static bool may_send(const struct peer *p, uint32_t stop_ms, int64_t now_ms)
{
	int64_t silent = now_ms - peer_last_seen_ms(p);

	if (p->info.leaving && silent >= (int64_t)stop_ms + STOP_MARGIN_MS)
		return false;
	return silent < PEER_PARTITION_MAX_MS;
}

/*
 * Lists all instances that may be sending to servers, this one first. Unlike in
 * peers_count(), silent instances still count: the share of a limit that one
 * holds must not be given to another while it may be in use. An instance that
 * announced that it leaves has exited at the latest `stop_ms` later. Returns an
 * array of struct limit_instance; unref it after use.
 */
GArray *peers_limit_participants(const struct peer_table *t, uint32_t stop_ms,
				 int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct limit_instance));
	struct limit_instance s = {peer_id(t->self.name), 1};

	g_array_append_val(out, s);
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (!may_send(p, stop_ms, now_ms))
			continue;
		s = (struct limit_instance){p->id, peer_alive(p, now_ms)};
		g_array_append_val(out, s);
	}
	return out;
}

/* Returns whether a peer is alive, can serve, and isn't leaving. */
static bool can_serve(const struct peer *p, int64_t now_ms)
{
	return p->info.ready && !p->info.leaving && peer_alive(p, now_ms);
}

/* Counts the live peers. */
unsigned peers_count_alive(const struct peer_table *t, int64_t now_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < t->peers->len; i++)
		n += peer_alive(g_ptr_array_index(t->peers, i), now_ms);
	return n;
}

/* Counts the live peers that can serve. */
unsigned peers_count_ready(const struct peer_table *t, int64_t now_ms)
{
	unsigned n = 0;

	for (guint i = 0; i < t->peers->len; i++)
		n += can_serve(g_ptr_array_index(t->peers, i), now_ms);
	return n;
}

/* Describes a peer to another instance. */
struct peer_report peer_describe(const struct peer *p, int64_t now_ms)
{
	struct peer_report r = {p->info, AGE_UNKNOWN};

	if (peer_alive(p, now_ms))
		r.sign_age_ms = (uint32_t)(now_ms - peer_last_sign_ms(p));
	return r;
}

/*
 * Describes all peers, for an instance that joins; it counts those that aren't
 * alive as members too. Returns an array of struct peer_report; unref it after
 * use.
 */
GArray *peers_reports(const struct peer_table *t, int64_t now_ms)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct peer_report));
	struct peer_report r = {t->self, 0};

	g_array_append_val(out, r);
	for (guint i = 0; i < t->peers->len; i++) {
		r = peer_describe(g_ptr_array_index(t->peers, i), now_ms);
		g_array_append_val(out, r);
	}
	return out;
}

/*
 * Handles a peer's report. The sign of life counts from when it was given:
 * otherwise an instance that is gone would stay alive for as long as others
 * join and are told of it.
 */
void peers_note_report(struct peer_table *t, const struct peer_report *report,
		       int64_t now_ms)
{
	struct peer *p = peers_add(t, &report->info, now_ms);
	int64_t sign_ms = now_ms - report->sign_age_ms;

	if (!p || peer_alive(p, now_ms) ||
	    report->sign_age_ms >= PEER_ALIVE_MS ||
	    sign_ms <= peer_last_sign_ms(p))
		return;
	p->info = report->info;
	p->in_roster = true;
	p->roster_ready = report->info.ready;
	p->roster_ms = sign_ms;
	p->logged_alive = true;
}

/*
 * Lists up to `max` live peers that can serve, for an instance in `dc` to fetch
 * its state from. Peers of that data centre come first, since traffic between
 * data centres is slower and costs more. `turn` rotates among several. Returns
 * their number.
 */
unsigned peers_list_sources(const struct peer_table *t, const char *dc,
			    unsigned turn, int64_t now_ms, unsigned max,
			    const struct peer_info **out)
{
	GPtrArray *near = g_ptr_array_new(), *far = g_ptr_array_new();
	unsigned n = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (can_serve(p, now_ms))
			g_ptr_array_add(strcmp(p->info.dc, dc) ? far : near,
					&p->info);
	}
	for (guint i = 0; i < near->len && n < max; i++)
		out[n++] = g_ptr_array_index(near, (turn + i) % near->len);
	for (guint i = 0; i < far->len && n < max; i++)
		out[n++] = g_ptr_array_index(far, (turn + i) % far->len);
	g_ptr_array_unref(near);
	g_ptr_array_unref(far);
	return n;
}

/*
 * Picks a live peer that can serve, to fetch state from; see
 * peers_list_sources(). Returns NULL if there is none.
 */
const struct peer_info *peers_pick_source(const struct peer_table *t,
					  unsigned turn, int64_t now_ms)
{
	const struct peer_info *chosen = NULL;

	peers_list_sources(t, t->self.dc, turn, now_ms, 1, &chosen);
	return chosen;
}
