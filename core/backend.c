#include <string.h>

#include "core/backend.h"
#include "core/mechanisms.h"
#include "core/policy.h"

/* backend_set_init() makes an empty set; on_gone hears of removals. */
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
 * backend_set_service() finds a service by name and makes it when it is new:
 * the configuration and the list may name it in either order.
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
	/* Nobody asks: what is known are the requests of all instances. */
	if (!mechanisms.ask)
		sv->load_support = LOAD_NOT_REPORTED;
	g_hash_table_insert(s->services, sv->name, sv);
	return sv;
}

/* service_reports_load() tells whether the servers report their load, or may. */
bool service_reports_load(const struct service *s)
{
	return s->load_support != LOAD_NOT_REPORTED;
}

/* backend_ref() takes one more reference. */
struct backend *backend_ref(struct backend *b)
{
	b->refs++;
	return b;
}

/* backend_unref() gives a reference back. */
void backend_unref(struct backend *b)
{
	if (--b->refs)
		return;
	server_state_release(b->state);
	g_free(b);
}

static void take_off(struct backend_set *s, struct backend *b, bool ended)
{
	g_hash_table_remove(s->by_id, b->entry.id);
	g_ptr_array_remove_fast(b->service->backends, b);
	b->gone = true;
	b->process_ended = b->process_ended || ended;
	s->on_gone(s->priv, b, ended);
	backend_unref(b);
}

/*
 * backend_set_remove() takes a backend server off that the list no longer
 * names. Requests that it has are not touched: it may serve on for a while.
 */
void backend_set_remove(struct backend_set *s, const char *id)
{
	struct backend *b = g_hash_table_lookup(s->by_id, id);

	if (b)
		take_off(s, b, false);
}

/*
 * backend_entry_is_older() tells whether a says less than b of the same
 * server: it comes from an earlier start, or is an earlier word of the same.
 * Of servers that don't tell their start the order of words isn't known.
 */
bool backend_entry_is_older(const struct backend_entry *a,
			    const struct backend_entry *b)
{
	if (a->server_start_ms != b->server_start_ms)
		return a->server_start_ms < b->server_start_ms;
	return a->server_start_ms && a->sequence < b->sequence;
}

/*
 * backend_entry_is_newer() tells whether a surely says more than b of the same
 * server: it comes from a later start, or is a later word of the same.
 */
bool backend_entry_is_newer(const struct backend_entry *a,
			    const struct backend_entry *b)
{
	if (a->server_start_ms != b->server_start_ms)
		return a->server_start_ms > b->server_start_ms;
	return a->sequence > b->sequence;
}

/* backend_start_hash() tells starts of servers apart, on all instances alike. */
uint32_t backend_start_hash(const struct backend_entry *e)
{
	guint64 born = e->server_start_ms;

	return g_str_hash(e->id) ^ g_int64_hash(&born);
}

/* backend_is_limited() tells whether b names a limit, as far as is known. */
bool backend_is_limited(const struct backend *b)
{
	return b->state->limit && b->state->limit->advertised.named;
}

static struct backend *add_backend(struct backend_set *s,
				   const struct backend_entry *e)
{
	struct backend *b = g_new0(struct backend, 1);

	b->refs = 1;
	b->entry = *e;
	b->start_hash = backend_start_hash(e);
	b->state = server_state_get(&s->states, e->id, e->server_start_ms);
	b->service = backend_set_service(s, lstr0(e->service));
	g_ptr_array_add(b->service->backends, b);
	g_hash_table_insert(s->by_id, b->entry.id, b);
	return b;
}

/*
 * backend_set_put() takes in an entry of the list, new or changed. A server
 * that started again under its id holds and knows nothing of before: the
 * earlier one is taken off, with its counts, load, failures and connections,
 * and what it had is lost. The same goes for one whose service or address
 * changed.
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
		bool again = e->server_start_ms != b->entry.server_start_ms;

		b->state->superseded = again;
		take_off(s, b, again);
		b = NULL;
	}
	if (!b)
		b = add_backend(s, e);
	b->entry.draining = e->draining;
	b->entry.slots = e->slots;
	b->entry.sequence = e->sequence;
	b->warm_up_until_ms = e->warm_up_ms ? now_ms + e->warm_up_ms : 0;
}
