#include <string.h>

#include "core/backend.h"
#include "core/mechanisms.h"
#include "core/peer_load.h"
#include "core/policy.h"

/*
 * backend_set_init() initialises an empty set; on_gone is called on removals.
 */
void backend_set_init(struct backend_set *s,
		      void (*on_gone)(void *priv, struct backend *b,
				      bool ended),
		      void *priv)
{
	s->services = g_hash_table_new(g_str_hash, g_str_equal);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	server_states_init(&s->states);
	s->on_gone = on_gone;
	s->priv = priv;
}

/*
 * backend_set_service() returns the service of that name, created if needed:
 * either the configuration or the list may name it first.
 */
struct service *backend_set_service(struct backend_set *s, struct lstr name)
{
	char key[BACKEND_NAME_MAX];
	struct service *sv;

	g_snprintf(key, sizeof(key), "%.*s", (int)name.len, name.ptr);
	sv = g_hash_table_lookup(s->services, key);
	if (sv)
		return sv;
	sv = g_new0(struct service, 1);
	g_strlcpy(sv->name, key, sizeof(sv->name));
	sv->backends = g_ptr_array_new();
	sv->policy = place_policies;
	budget_init(&sv->budget, g_random_double());
	/* Without probes, load is known from the instances' requests only. */
	if (!mechanisms.ask)
		sv->load_support = LOAD_NOT_REPORTED;
	g_hash_table_insert(s->services, sv->name, sv);
	return sv;
}

/*
 * service_reports_load() returns false once the servers are known not to report
 * their load, or if they aren't probed for it.
 */
bool service_reports_load(const struct service *s)
{
	return s->load_support != LOAD_NOT_REPORTED;
}

/*
 * service_is_probed() returns whether servers are probed right before they are
 * sent a request: for the load that they report, or because only their
 * responses tell whether they are cold.
 */
bool service_is_probed(const struct service *s)
{
	return s->policy->probes_load &&
	       (service_reports_load(s) || slow_start_applies(&s->slow_start));
}

/* backend_ref() takes a reference. */
struct backend *backend_ref(struct backend *b)
{
	b->refs++;
	return b;
}

/* backend_unref() drops a reference and frees b with the last one. */
void backend_unref(struct backend *b)
{
	if (--b->refs)
		return;
	server_state_release(b->state);
	g_free(b);
}

/* Removes b from the set; its other users keep their references. */
static void remove_backend(struct backend_set *s, struct backend *b, bool ended)
{
	g_hash_table_remove(s->by_id, b->entry.id);
	g_ptr_array_remove_fast(b->service->backends, b);
	b->gone = true;
	b->process_ended = b->process_ended || ended;
	s->on_gone(s->priv, b, ended);
	backend_unref(b);
}

/*
 * backend_set_remove() removes a backend server that is no longer listed. Its
 * outstanding requests continue, since it may still be running.
 */
void backend_set_remove(struct backend_set *s, const char *id)
{
	struct backend *b = g_hash_table_lookup(s->by_id, id);

	if (b)
		remove_backend(s, b, false);
}

/*
 * backend_entry_is_older() returns whether entry a of a server is older than b:
 * it belongs to an earlier start, or has a lower sequence number within the
 * same start. Without a start time the sequence numbers can't be compared.
 */
bool backend_entry_is_older(const struct backend_entry *a,
			    const struct backend_entry *b)
{
	if (a->server_start_ms != b->server_start_ms)
		return a->server_start_ms < b->server_start_ms;
	return a->server_start_ms && a->sequence < b->sequence;
}

/*
 * backend_entry_is_newer() returns whether entry a of a server is certainly
 * newer than b: it belongs to a later start, or has a higher sequence number
 * within the same start.
 */
bool backend_entry_is_newer(const struct backend_entry *a,
			    const struct backend_entry *b)
{
	if (a->server_start_ms != b->server_start_ms)
		return a->server_start_ms > b->server_start_ms;
	return a->sequence > b->sequence;
}

/*
 * backend_start_hash() identifies one start of a server. All instances compute
 * the same hash.
 */
uint32_t backend_start_hash(const struct backend_entry *e)
{
	guint64 start_ms = e->server_start_ms;

	return g_str_hash(e->id) ^ g_int64_hash(&start_ms);
}

/* backend_is_limited() returns whether b is known to have a limit. */
bool backend_is_limited(const struct backend *b)
{
	return b->state->limit && b->state->limit->advertised.limited;
}

/* backend_phase() returns the phase of b's slow start. */
enum slow_start_phase backend_phase(const struct backend *b, int64_t now_ms)
{
	if (!slow_start_applies(&b->service->slow_start))
		return SLOW_START_WARM;
	if (!b->state->slow_start)
		return SLOW_START_UNKNOWN;
	return slow_start_phase(b->state->slow_start,
				service_is_probed(b->service), now_ms);
}

/* Creates a listed backend server from its entry. */
static struct backend *add_backend(struct backend_set *s,
				   const struct backend_entry *e)
{
	struct backend *b = g_new0(struct backend, 1);

	b->refs = 1;
	b->entry = *e;
	b->start_hash = backend_start_hash(e);
	b->id_hash = peer_load_hash(e->id);
	b->state = server_state_get(&s->states, e->id, e->server_start_ms);
	b->service = backend_set_service(s, lstr0(e->service));
	b->dc_index = spill_index(&b->service->spill, e->dc);
	g_ptr_array_add(b->service->backends, b);
	g_hash_table_insert(s->by_id, b->entry.id, b);
	return b;
}

/*
 * backend_set_put() adds or updates an entry of the list; outdated ones are
 * ignored. A restarted server has lost its requests and all its state, so its
 * struct backend is replaced, with its counters, load, failures and
 * connections. So is that of a server whose service or address changed, but
 * that one may still be running.
 */
void backend_set_put(struct backend_set *s, const struct backend_entry *e,
		     int64_t now_ms)
{
	struct backend *b = g_hash_table_lookup(s->by_id, e->id);

	if (b && backend_entry_is_older(e, &b->entry))
		return;
	if (b && (e->server_start_ms != b->entry.server_start_ms ||
		  strcmp(b->entry.service, e->service) ||
		  memcmp(&b->entry.addr, &e->addr, sizeof(e->addr)))) {
		bool restarted = e->server_start_ms != b->entry.server_start_ms;

		b->state->superseded = restarted;
		remove_backend(s, b, restarted);
		b = NULL;
	}
	if (!b)
		b = add_backend(s, e);
	b->entry.draining = e->draining;
	b->entry.slots = e->slots;
	b->entry.sequence = e->sequence;
	b->warm_up_until_ms = e->warm_up_ms ? now_ms + e->warm_up_ms : 0;
}
