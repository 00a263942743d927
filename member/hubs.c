#include <string.h>

#include "member/hubs.h"

enum {
	BEAT_MS = 500,
	LOST_BEAT_MS = 5 * 1000, /* to those that are taken as gone */
	/*
	 * Up to here all tell all; beyond, the square of their number costs
	 * more than hubs do.
	 */
	MESH_MAX = 20,
	ROLL_MS = 450,
	/* Two rolls were lost or the hub is: tell all. */
	ROLL_SILENT_MS = 1200,
	/*
	 * A peer that said that it leaves, and is called ready this much
	 * later, has started anew.
	 */
	LEAVING_OLD_MS = 1000,
};

/* roll_init() makes an empty one that covers all ids. */
void roll_init(struct roll *r)
{
	r->lo = 0;
	r->hi = UINT32_MAX;
	r->entries = g_array_new(FALSE, FALSE, sizeof(struct roll_entry));
}

/* roll_clear() frees what it holds. */
void roll_clear(struct roll *r)
{
	if (r->entries)
		g_array_unref(r->entries);
	memset(r, 0, sizeof(*r));
}

static const struct roll_entry *entry_at(const struct roll *r, guint i)
{
	return &g_array_index(r->entries, struct roll_entry, i);
}

/*
 * roll_part() copies at most `most` entries from `begin` on into an empty
 * roll, which covers the ids up to the next part's. Returns where that begins.
 */
guint roll_part(const struct roll *r, guint begin, guint most,
		struct roll *part)
{
	guint left = r->entries->len - begin;
	guint n = left < most ? left : most;

	part->lo = begin ? entry_at(r, begin)->id : r->lo;
	part->hi = n < left ? entry_at(r, begin + n)->id - 1 : r->hi;
	if (n)
		g_array_append_vals(part->entries, entry_at(r, begin), n);
	return begin + n;
}

/* hubs_serve() tells whether the system is so large that it has hubs. */
bool hubs_serve(const struct peer_table *t)
{
	return t->peers->len >= MESH_MAX;
}

/* hubs_mark() finds the hubs: the first live ones by name. */
void hubs_mark(struct peer_table *t, int64_t now_ms)
{
	bool self_counted = t->self.leaving;
	unsigned n = 0;

	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (!self_counted && strcmp(t->self.name, p->info.name) < 0) {
			self_counted = true;
			n++;
		}
		p->hub = n < HUBS && !p->info.leaving && peer_alive(p, now_ms);
		n += p->hub;
	}
}

/* hubs_roll_due() tells whether this instance is to send the roll now. */
bool hubs_roll_due(const struct peer_table *t, int64_t sent_ms, int64_t now_ms)
{
	return hubs_serve(t) && !t->self.leaving &&
	       now_ms - sent_ms >= ROLL_MS && peers_rank(t, now_ms) == 0;
}

/* Mixes one entry's bits, so that sums of entries differ. */
static uint32_t entry_hash(struct roll_entry e)
{
	uint64_t x = ((uint64_t)e.id << 1 | e.ready) * 0x9e3779b97f4a7c15;

	return e.id ? (uint32_t)(x >> 32) : 0;
}

/* roll_digest() is the same for the same entries, in whatever order. */
uint32_t roll_digest(const struct roll *r)
{
	uint32_t sum = 0;

	for (guint i = 0; i < r->entries->len; i++)
		sum += entry_hash(*entry_at(r, i));
	return sum;
}

static int compare_ids(gconstpointer a, gconstpointer b)
{
	const struct roll_entry *x = a, *y = b;

	return x->id < y->id ? -1 : x->id > y->id;
}

/* hubs_write_roll() lists those that live and stay, this instance too. */
void hubs_write_roll(const struct peer_table *t, struct roll *r, int64_t now_ms)
{
	struct roll_entry e = {peer_id(t->self.name), t->self.ready};

	g_array_append_val(r->entries, e);
	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (!peer_alive(p, now_ms) || p->info.leaving)
			continue;
		e = (struct roll_entry){p->id, p->info.ready};
		g_array_append_val(r->entries, e);
	}
	g_array_sort(r->entries, compare_ids);
}

/* hubs_find() finds a peer by its id, or NULL. */
struct peer *hubs_find(const struct peer_table *t, uint32_t id)
{
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

static void take_entry(struct peer *p, const struct roll_entry *e,
		       int64_t now_ms)
{
	p->told = true;
	p->told_ms = now_ms;
	p->believed = true;
	p->told_ready = e->ready;
	p->info.ready = e->ready;
	if (now_ms - p->heard_ms > LEAVING_OLD_MS)
		p->info.leaving = false;
}

/*
 * hubs_take_digest() takes in that the roll has not changed. Returns false
 * when what is known here isn't that roll; then it is to be asked for.
 */
bool hubs_take_digest(struct peer_table *t, uint32_t digest, int64_t now_ms)
{
	uint32_t sum = entry_hash(t->self_told);

	for (guint i = 0; i < t->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->told)
			sum += entry_hash(
				(struct roll_entry){p->id, p->told_ready});
	}
	if (sum != digest)
		return false;
	t->roll_ms = now_ms;
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->told)
			p->told_ms = now_ms;
	}
	return true;
}

/*
 * hubs_take_roll() takes in a part of a roll; the ids of those that aren't
 * known here are appended to `unknown`.
 */
void hubs_take_roll(struct peer_table *t, const struct roll *r, GArray *unknown,
		    int64_t now_ms)
{
	uint32_t self = peer_id(t->self.name);

	t->roll_ms = now_ms;
	if (self >= r->lo && self <= r->hi)
		t->self_told.id = 0;
	for (guint i = 0; i < t->peers->len; i++) {
		struct peer *p = g_ptr_array_index(t->peers, i);

		if (p->id >= r->lo && p->id <= r->hi)
			p->told = false;
	}
	for (guint i = 0; i < r->entries->len; i++) {
		const struct roll_entry *e = entry_at(r, i);
		struct peer *p = hubs_find(t, e->id);

		if (p)
			take_entry(p, e, now_ms);
		else if (e->id == self)
			t->self_told = *e;
		else
			g_array_append_val(unknown, e->id);
	}
}

/*
 * hubs_beat_due() tells whether a heartbeat to p is due. Everyone is told
 * once that this instance is there, whoever else tells of it.
 */
bool hubs_beat_due(const struct peer_table *t, const struct peer *p,
		   int64_t now_ms)
{
	bool rolled = t->roll_ms && now_ms - t->roll_ms < ROLL_SILENT_MS;
	bool lost = now_ms - peer_seen_ms(p) > PEER_LOST_MS;

	if (p->sent_ms && rolled && hubs_serve(t) && !p->hub)
		return false;
	return now_ms - p->sent_ms >= (lost ? LOST_BEAT_MS : BEAT_MS);
}
