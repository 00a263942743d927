#include <string.h>

#include "core/peer_load.h"

/*
 * How long a report counts. Instances repeat theirs while they have requests in
 * flight, so a lost datagram or instance has no effect beyond this time.
 */
enum { REPORT_TTL_MS = 1200 };

/* The report of one peer that the servers' counts include. */
struct applied {
	struct peer_load load;
	int64_t at_ms;
};

/*
 * peer_loads_are_local() returns whether reports only come from instances in
 * the own data centre.
 */
bool peer_loads_are_local(unsigned instances)
{
	return instances > PEER_LOAD_GLOBAL_MAX;
}

/* peer_load_hash() hashes a server's id; equal on all instances. */
uint32_t peer_load_hash(const char *backend_id)
{
	return g_str_hash(backend_id);
}

/* peer_loads_init() initialises an empty table. */
void peer_loads_init(struct peer_loads *p)
{
	p->by_peer =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
}

/* peer_loads_collect() fills `out` with this instance's report to its peers. */
void peer_loads_collect(struct backend_set *set, struct peer_load *out)
{
	GHashTableIter it;
	gpointer v;

	out->n = 0;
	g_hash_table_iter_init(&it, set->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v) &&
	       out->n < PEER_LOAD_MAX) {
		const struct backend *b = v;

		if (!b->in_flight || service_reports_load(b->service))
			continue;
		out->items[out->n++] = (struct peer_load_item){
			peer_load_hash(b->entry.id), b->in_flight};
	}
}

/* Adds (sign 1) or subtracts (-1) a report to or from the servers' counts. */
static void add_counts(struct backend_set *set, const struct peer_load *load,
		       int sign)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, set->by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		for (unsigned i = 0; i < load->n; i++) {
			if (load->items[i].backend == b->id_hash)
				b->peers_in_flight +=
					sign * (int)load->items[i].count;
		}
		if (b->peers_in_flight < 0)
			b->peers_in_flight = 0;
	}
}

/* peer_loads_apply() replaces the previous report of a peer. */
void peer_loads_apply(struct peer_loads *p, struct backend_set *set,
		      const struct peer_load *load, int64_t now_ms)
{
	struct applied *a = g_hash_table_lookup(p->by_peer, &load->peer);

	if (a) {
		add_counts(set, &a->load, -1);
	} else {
		a = g_new0(struct applied, 1);
		a->load.peer = load->peer;
		g_hash_table_insert(p->by_peer, &a->load.peer, a);
	}
	a->load.n = load->n;
	memcpy(a->load.items, load->items, load->n * sizeof(*load->items));
	a->at_ms = now_ms;
	add_counts(set, &a->load, 1);
}

/* peer_loads_expire() drops reports that have expired. */
void peer_loads_expire(struct peer_loads *p, struct backend_set *set,
		       int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, p->by_peer);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct applied *a = v;

		if (now_ms - a->at_ms < REPORT_TTL_MS)
			continue;
		add_counts(set, &a->load, -1);
		g_hash_table_iter_remove(&it);
	}
}
