#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"

/* Longest route timeout taken as meant, in ms: ten minutes. */
enum { TIMEOUT_MAX_MS = 600 * 1000 };

static guint host_hash(gconstpointer p)
{
	const struct lstr *s = p;
	guint h = 5381;

	for (size_t i = 0; i < s->len; i++)
		h = h * 33 + (guint)g_ascii_tolower(s->ptr[i]);
	return h;
}

static gboolean host_equal(gconstpointer a, gconstpointer b)
{
	const struct lstr *x = a, *y = b;

	return x->len == y->len && !g_ascii_strncasecmp(x->ptr, y->ptr, x->len);
}

static void unref_array(gpointer p)
{
	g_ptr_array_unref(p);
}

/* config_new() makes an empty version with one reference. */
struct config *config_new(void)
{
	struct config *c = g_new0(struct config, 1);

	c->refs = 1;
	c->by_host =
		g_hash_table_new_full(host_hash, host_equal, NULL, unref_array);
	return c;
}

/* config_service() finds a service by name, or NULL. */
const struct service_config *config_service(const struct config *c,
					    struct lstr name)
{
	for (size_t i = 0; i < c->nservices; i++) {
		if (lstr_eq(c->services[i].name, name))
			return &c->services[i];
	}
	return NULL;
}

static void check_parts(const struct config *c, const struct route *r,
			const char *key, struct findings *f)
{
	unsigned sum = 0;

	for (size_t i = 0; i < r->nsplits; i++) {
		sum += r->splits[i].weight;
		if (!config_service(c, r->splits[i].service))
			findings_add(f, "config", 0, key,
				     "goes to an unknown service '%.*s'",
				     (int)r->splits[i].service.len,
				     r->splits[i].service.ptr);
	}
	if (sum == 0)
		findings_add(f, "config", 0, key, "goes to no service");
}

static void check_route(const struct config *c, const struct route *r,
			struct findings *f)
{
	char key[80];
	struct lstr p = r->path_prefix;

	g_snprintf(key, sizeof(key), "routes.%.*s", (int)r->name.len,
		   r->name.ptr);
	check_parts(c, r, key, f);
	if (r->max_attempts == 0)
		findings_add(f, "config", 0, key, "allows no attempt");
	if (r->timeout_ms == 0 || r->timeout_ms > TIMEOUT_MAX_MS)
		findings_add(f, "config", 0, key,
			     "timeout %u ms is not in "
			     "1..%d",
			     r->timeout_ms, TIMEOUT_MAX_MS);
	if (p.len == 0 || p.ptr[0] != '/' || p.ptr[p.len - 1] != '/')
		findings_add(f, "config", 0, key,
			     "path prefix does not begin and end with '/'");
}

/* Indexes the routes of one host; a second route at a place is a finding. */
static void index_route(struct config *c, struct route *r, struct findings *f)
{
	GPtrArray *list = g_hash_table_lookup(c->by_host, &r->host);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(c->by_host, &r->host, list);
	}
	for (guint i = 0; i < list->len; i++) {
		const struct route *o = g_ptr_array_index(list, i);

		if (lstr_eq(o->path_prefix, r->path_prefix))
			findings_add(f, "config", 0, "routes",
				     "'%.*s' and '%.*s' stand at one place",
				     (int)o->name.len, o->name.ptr,
				     (int)r->name.len, r->name.ptr);
	}
	g_ptr_array_add(list, r);
}

/*
 * config_finalize() checks a version whose fields are filled and builds its
 * index. Every problem becomes a finding; a version with any is not to be
 * used. Returns 0 or -EINVAL.
 */
int config_finalize(struct config *c, struct findings *f)
{
	guint before = f->list->len;

	for (size_t i = 0; i < c->nroutes; i++) {
		check_route(c, &c->routes[i], f);
		index_route(c, &c->routes[i], f);
	}
	return f->list->len == before ? 0 : -EINVAL;
}

/*
 * config_drains() tells whether the operators drain a backend server, by its
 * id or by the id without the part after the last dash, which tells one
 * start of a server from the next.
 */
bool config_drains(const struct config *c, const char *backend)
{
	const char *dash = strrchr(backend, '-');
	size_t n = strlen(backend);
	size_t stem = dash ? (size_t)(dash - backend) : n;

	for (size_t i = 0; i < c->ndrained; i++) {
		struct lstr d = c->drained[i];

		if (lstr_eq(d, (struct lstr){backend, n}) ||
		    lstr_eq(d, (struct lstr){backend, stem}))
			return true;
	}
	return false;
}

/* Cuts a port off a host as callers send it. */
static struct lstr without_port(struct lstr host)
{
	const char *colon = memchr(host.ptr, ':', host.len);

	return colon ? (struct lstr){host.ptr, (size_t)(colon - host.ptr)}
		     : host;
}

/*
 * config_match() selects the route of a request: among the host's routes the
 * one whose prefix is the longest that begins the path. The query does not
 * take part. Returns NULL when none does.
 */
const struct route *config_match(const struct config *c, struct lstr host,
				 struct lstr path)
{
	struct lstr h = without_port(host);
	const GPtrArray *list = g_hash_table_lookup(c->by_host, &h);
	const char *query = memchr(path.ptr, '?', path.len);
	size_t len = query ? (size_t)(query - path.ptr) : path.len;
	const struct route *best = NULL;

	for (guint i = 0; list && i < list->len; i++) {
		const struct route *r = g_ptr_array_index(list, i);
		struct lstr p = r->path_prefix;

		if (p.len > len || memcmp(p.ptr, path.ptr, p.len))
			continue;
		if (!best || p.len > best->path_prefix.len)
			best = r;
	}
	return best;
}

/*
 * route_pick() chooses the part of a route's traffic that a request belongs
 * to, by weight, from 32 random bits. The request stays in this part also
 * when the part is short of room, so that the weights hold.
 */
struct lstr route_pick(const struct route *r, uint32_t random)
{
	uint64_t sum = 0, at;

	for (size_t i = 0; i < r->nsplits; i++)
		sum += r->splits[i].weight;
	at = ((uint64_t)random * sum) >> 32;
	for (size_t i = 0; i < r->nsplits; i++) {
		if (at < r->splits[i].weight)
			return r->splits[i].service;
		at -= r->splits[i].weight;
	}
	return r->splits[0].service;
}

/* config_ref() takes one more reference. */
struct config *config_ref(struct config *c)
{
	c->refs++;
	return c;
}

/* config_unref() gives a reference back; NULL is fine. */
void config_unref(struct config *c)
{
	if (!c || --c->refs)
		return;
	g_hash_table_unref(c->by_host);
	arena_free(&c->arena);
	g_free(c);
}
