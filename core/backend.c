#include <string.h>

#include "core/backend.h"
#include "core/policy.h"

/* backend_set_init() makes an empty set; on_gone hears of removals. */
void backend_set_init(struct backend_set *s,
		      void (*on_gone)(void *priv, struct backend *b),
		      void *priv)
{
	s->services = g_hash_table_new(g_str_hash, g_str_equal);
	s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
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
	g_hash_table_insert(s->services, sv->name, sv);
	return sv;
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
	if (--b->refs == 0)
		g_free(b);
}

/*
 * backend_set_remove() takes a backend server off: its start has ended or
 * the list no longer names it. Requests that it has are not touched.
 */
void backend_set_remove(struct backend_set *s, const char *id)
{
	struct backend *b = g_hash_table_lookup(s->by_id, id);

	if (!b)
		return;
	g_hash_table_remove(s->by_id, id);
	g_ptr_array_remove_fast(b->service->backends, b);
	b->gone = true;
	s->on_gone(s->priv, b);
	backend_unref(b);
}

static struct backend *add_backend(struct backend_set *s,
				   const struct backend_entry *e)
{
	struct backend *b = g_new0(struct backend, 1);

	b->refs = 1;
	b->entry = *e;
	b->service = backend_set_service(s, lstr0(e->service));
	g_ptr_array_add(b->service->backends, b);
	g_hash_table_insert(s->by_id, b->entry.id, b);
	return b;
}

/*
 * backend_set_put() takes in an entry of the list, new or changed. An id is
 * one start of one backend server, so its address and service never change
 * under it; should they, the old one is taken off first.
 */
void backend_set_put(struct backend_set *s, const struct backend_entry *e,
		     int64_t now_ms)
{
	struct backend *b = g_hash_table_lookup(s->by_id, e->id);

	if (b && (strcmp(b->entry.service, e->service) ||
		  memcmp(&b->entry.addr, &e->addr, sizeof(e->addr)))) {
		backend_set_remove(s, e->id);
		b = NULL;
	}
	if (!b)
		b = add_backend(s, e);
	b->entry.draining = e->draining;
	b->entry.slots = e->slots;
	b->warm_until_ms = e->warm_up_ms ? now_ms + e->warm_up_ms : 0;
}
