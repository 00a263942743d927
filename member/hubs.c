#include <string.h>

#include "member/hubs.h"

enum {
	HEARTBEAT_INTERVAL_MS = 500,
	LOST_HEARTBEAT_INTERVAL_MS = 5 * 1000, /* to peers presumed gone */
	/*
	 * With fewer peers than this all send to all. With more, traffic that
	 * grows with the square of their number costs more than hubs do.
	 */
	MESH_MAX = 20,
	ROSTER_INTERVAL_MS = 450,
	/*
	 * Two rosters in a row are missing, or the hub is down: send heartbeats
	 * to the contacts, of which one takes over.
	 */
	ROSTER_TIMEOUT_MS = 1200,
	/*
	 * The contacts have not sent a roster either: send heartbeats to all.
	 * The next hub takes over once the first one has been silent for 1.7 s.
	 */
	CONTACTS_TIMEOUT_MS = 3000,
	/*
	 * Number of contacts, the first peers by name that aren't presumed
	 * gone. If all send heartbeats to all, links are full in a deployment
	 * of hundreds of instances.
	 */
	CONTACT_COUNT = 16,
	/*
	 * If a roster lists a peer as alive this long after the peer announced
	 * that it leaves, it has restarted.
	 */
	LEAVING_EXPIRY_MS = 1000,
};

/* Initializes an empty roster that covers all ids. */
void roster_init(struct roster *r)
{
	r->lo = 0;
	r->hi = UINT32_MAX;
	r->entries = g_array_new(FALSE, FALSE, sizeof(struct roster_entry));
}

/* Frees the entries. */
void roster_clear(struct roster *r)
{
	if (r->entries)
		g_array_unref(r->entries);
	memset(r, 0, sizeof(*r));
}

static const struct roster_entry *entry_at(const struct roster *r, guint i)
{
	return &g_array_index(r->entries, struct roster_entry, i);
}

/*
 * Copies at most `max` entries, starting at `begin`, into the empty roster
 * `part`, which then covers the ids up to the first one of the next part.
 * Returns the index at which that begins.
 */
guint roster_part(const struct roster *r, guint begin, guint max,
		  struct roster *part)
{
	guint left = r->entries->len - begin;
	guint n = left < max ? left : max;

	part->lo = begin ? entry_at(r, begin)->id : r->lo;
	part->hi = n < left ? entry_at(r, begin + n)->id - 1 : r->hi;
	if (n)
		g_array_append_vals(part->entries, entry_at(r, begin), n);
	return begin + n;
}

/* Returns whether the deployment is large enough to use hubs. */
bool hubs_enabled(const struct peer_table *t)
{
	return t->peers->len >= MESH_MAX;
}

/*
 * Marks the peers that are hubs, the first live instances by name, and those
 * that are contacts.
 */
void hubs_assign(struct peer_table *t, int64_t now_ms)
{
	bool self_counted = t->self.leaving;
	unsigned n = 0, contacts = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (!self_counted && strcmp(t->self.name, p->info.name) < 0) {
			self_counted = true;
			n++;
		}
		p->hub = n < HUB_COUNT && !p->info.leaving &&
			 peer_alive(p, now_ms);
		n += p->hub;
		p->contact = contacts < CONTACT_COUNT &&
			     now_ms - peer_last_seen_ms(p) <= PEER_LOST_MS;
		contacts += p->contact;
	}
}

/* Returns the first hub, or NULL if there is none but this instance. */
const struct peer_info *hubs_first(const struct peer_table *t, int64_t now_ms)
{
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->hub && peer_alive(p, now_ms))
			return &p->info;
	}
	return NULL;
}

/* Returns whether this instance must send the roster now. */
bool hubs_roster_due(const struct peer_table *t, int64_t sent_ms,
		     int64_t now_ms)
{
	return t->joined_ms && hubs_enabled(t) && !t->self.leaving &&
	       now_ms - sent_ms >= ROSTER_INTERVAL_MS &&
	       peers_rank(t, now_ms) == 0;
}

/* Hashes an entry, so that the sums of different sets of entries differ. */
static uint32_t entry_hash(struct roster_entry e)
{
	uint64_t bits =
		(uint64_t)e.id << 2 | (uint64_t)e.ready << 1 | e.relayed;
	uint64_t x = bits * 0x9e3779b97f4a7c15;

	return e.id ? (uint32_t)(x >> 32) : 0;
}

/* Returns a digest that does not depend on the order of the entries. */
uint32_t roster_digest(const struct roster *r)
{
	uint32_t sum = 0;

	for (guint i = 0; i < r->entries->len; i++)
		sum += entry_hash(*entry_at(r, i));
	return sum;
}

static int compare_ids(gconstpointer a, gconstpointer b)
{
	const struct roster_entry *x = a, *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

/* Lists the live instances that are not leaving, this one included. */
void hubs_build_roster(const struct peer_table *t, struct roster *r,
		       int64_t now_ms)
{
	struct roster_entry e = {peer_id(t->self.name), t->self.ready, false};

	g_array_append_val(r->entries, e);
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (!peer_alive(p, now_ms) || p->info.leaving)
			continue;
		e = (struct roster_entry){p->id, p->info.ready,
					  !peer_is_heard(p, now_ms)};
		g_array_append_val(r->entries, e);
	}
	g_array_sort(r->entries, compare_ids);
}

/* Returns the peer with this id, or NULL. */
struct peer *hubs_find_peer(const struct peer_table *t, uint32_t id)
{
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

/*
 * Applies a roster entry to the peer that it names. What the hub knows by others
 * only is no sign of life: otherwise an instance that is gone would stay alive
 * for as long as hubs take over from each other.
 */
static void apply_entry(struct peer *p, const struct roster_entry *e,
			int64_t now_ms)
{
	p->in_roster = true;
	if (!e->relayed) {
		p->roster_ms = now_ms;
		p->logged_alive = true;
	}
	p->roster_ready = e->ready;
	p->roster_relayed = e->relayed;
	p->info.ready = e->ready;
	if (now_ms - p->heartbeat_ms > LEAVING_EXPIRY_MS)
		p->info.leaving = false;
}

/*
 * Handles a digest, which confirms that the roster has not changed. Returns
 * false if it differs from the roster known here; the caller must then request
 * the full one.
 */
bool hubs_apply_digest(struct peer_table *t, uint32_t digest, int64_t now_ms)
{
	uint32_t sum = entry_hash(t->self_in_roster);

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->in_roster)
			sum += entry_hash((struct roster_entry){
				p->id, p->roster_ready, p->roster_relayed});
	}
	if (sum != digest)
		return false;
	t->roster_received_ms = now_ms;
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->in_roster && !p->roster_relayed)
			p->roster_ms = now_ms;
	}
	return true;
}

/*
 * Applies a part of a roster. The ids of instances that are unknown here are
 * appended to `unknown`.
 */
void hubs_apply_roster(struct peer_table *t, const struct roster *r,
		       GArray *unknown, int64_t now_ms)
{
	uint32_t self = peer_id(t->self.name);

	t->roster_received_ms = now_ms;
	if (self >= r->lo && self <= r->hi)
		t->self_in_roster.id = 0;
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->id >= r->lo && p->id <= r->hi)
			p->in_roster = false;
	}
	for (guint i = 0; i < r->entries->len; i++) {
		const struct roster_entry *e = entry_at(r, i);
		struct peer *p = hubs_find_peer(t, e->id);

		if (p)
			apply_entry(p, e, now_ms);
		else if (e->id == self)
			t->self_in_roster = *e;
		else
			g_array_append_val(unknown, e->id);
	}
}

/*
 * Returns whether rosters arrive, so that a hub distributes what others read.
 */
bool hubs_roster_is_current(const struct peer_table *t, int64_t now_ms)
{
	return t->roster_received_ms &&
	       now_ms - t->roster_received_ms < ROSTER_TIMEOUT_MS;
}

/*
 * Returns whether this instance should get rosters and has got none for long.
 */
bool hubs_roster_is_missing(const struct peer_table *t, int64_t now_ms)
{
	return t->joined_ms && hubs_enabled(t) && peers_rank(t, now_ms) > 0 &&
	       now_ms - MAX(t->roster_received_ms, t->joined_ms) >=
		       CONTACTS_TIMEOUT_MS;
}

/*
 * Returns whether p gets heartbeats in a large deployment. An instance that has
 * read the members from the store doesn't know which of them are alive.
 */
static bool is_recipient(const struct peer_table *t, const struct peer *p,
			 int64_t now_ms)
{
	int64_t silent_ms = now_ms - MAX(t->roster_received_ms, t->joined_ms);

	if (p->hub)
		return true;
	if (!p->sent_ms && t->joined_by_store && p->contact)
		return true;
	if (hubs_roster_is_current(t, now_ms))
		return false;
	return p->contact || silent_ms >= CONTACTS_TIMEOUT_MS;
}

/* Returns whether a heartbeat to p is due. */
bool hubs_heartbeat_due(const struct peer_table *t, const struct peer *p,
			int64_t now_ms)
{
	bool presumed_gone = now_ms - peer_last_seen_ms(p) > PEER_LOST_MS;

	if (hubs_enabled(t) && !is_recipient(t, p, now_ms))
		return false;
	return now_ms - p->sent_ms >= (presumed_gone
					       ? LOST_HEARTBEAT_INTERVAL_MS
					       : HEARTBEAT_INTERVAL_MS);
}
