#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "core/config.h"

/* A longer route timeout is taken for a mistake. */
enum { TIMEOUT_MAX_MS = 600 * 1000 };

/* Hashes a host name without regard to case. */
static guint host_hash(gconstpointer p)
{
	const struct lstr *s = p;
	guint h = 5381;

	for (size_t i = 0; i < s->len; i++)
		h = h * 33 + (guint)g_ascii_tolower(s->ptr[i]);
	return h;
}

/* Compares host names without regard to case. */
static gboolean host_equal(gconstpointer a, gconstpointer b)
{
	const struct lstr *x = a, *y = b;

	return x->len == y->len && !g_ascii_strncasecmp(x->ptr, y->ptr, x->len);
}

/* Frees the route list of a host. */
static void free_route_list(gpointer p)
{
	g_ptr_array_unref(p);
}

/* Returns an empty version with one reference. */
struct config *config_new(void)
{
	struct config *c = g_new0(struct config, 1);

	c->refs = 1;
	c->by_host = g_hash_table_new_full(host_hash, host_equal, NULL,
					   free_route_list);
	return c;
}

/* Returns the service of that name, or NULL. */
const struct service_config *config_service(const struct config *c,
					    struct lstr name)
{
	for (size_t i = 0; i < c->nservices; i++) {
		if (lstr_eq(c->services[i].name, name))
			return &c->services[i];
	}
	return NULL;
}

/* Checks that a route has known services and a positive total weight. */
static void check_splits(const struct config *c, const struct route *r,
			 const char *key, struct findings *f)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < r->nsplits; i++) {
		sum += r->splits[i].weight;
		if (!config_service(c, r->splits[i].service))
			findings_add(f, "config", 0, key,
				     "has unknown service '%.*s'",
				     (int)r->splits[i].service.len,
				     r->splits[i].service.ptr);
	}
	if (sum == 0 || sum > UINT32_MAX)
		findings_add(
			f, "config", 0, key,
			"has no service with a positive weight, or too large "
			"ones");
}

/* Checks the fields of a route; one with findings is unusable. */
static void check_route(struct config *c, struct route *r, struct findings *f)
{
	char key[80];
	struct lstr p = r->path_prefix;
	guint before = f->list->len;

	g_snprintf(key, sizeof(key), "routes.%.*s", (int)r->name.len,
		   r->name.ptr);
	check_splits(c, r, key, f);
	if (!r->host.len) {
		findings_add(f, "config", 0, key, "has no host");
		c->routes_incomplete = true;
	}
	if (r->max_attempts == 0)
		findings_add(f, "config", 0, key,
			     "allows no attempts, at least 1 is needed");
	if (r->timeout_ms == 0 || r->timeout_ms > TIMEOUT_MAX_MS)
		findings_add(f, "config", 0, key,
			     "timeout is %u ms, must be 1..%d", r->timeout_ms,
			     TIMEOUT_MAX_MS);
	if (p.len == 0 || p.ptr[0] != '/' || p.ptr[p.len - 1] != '/') {
		findings_add(f, "config", 0, key,
			     "path prefix must begin and end with '/'");
		c->routes_incomplete = true;
	}
	if (f->list->len > before)
		r->unusable = true;
}

/*
 * Adds a route to the index of its host. Two routes with the same host and path
 * prefix are a finding; neither can be used, as either may be meant.
 */
static void index_route(struct config *c, struct route *r, struct findings *f)
{
	GPtrArray *list = g_hash_table_lookup(c->by_host, &r->host);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(c->by_host, &r->host, list);
	}
	for (guint i = 0; i < list->len; i++) {
		struct route *o = g_ptr_array_index(list, i);

		if (!lstr_eq(o->path_prefix, r->path_prefix))
			continue;
		findings_add(f, "config", 0, "routes",
			     "'%.*s' and '%.*s' have the same host and path "
			     "prefix",
			     (int)o->name.len, o->name.ptr, (int)r->name.len,
			     r->name.ptr);
		o->unusable = r->unusable = true;
	}
	g_ptr_array_add(list, r);
}

/*
 * Checks a version whose fields are set and builds its index. Each problem is
 * added to the findings, and the route that has it becomes unusable. Returns 0
 * or, if there are any, -EINVAL.
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
 * Returns whether the operators drain a backend server. They name it by its id,
 * or by the id up to the last dash, which is the same for all its starts.
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

/* Returns a Host header's value without the port. */
static struct lstr without_port(struct lstr host)
{
	const char *colon = memchr(host.ptr, ':', host.len);

	return colon ? (struct lstr){host.ptr, (size_t)(colon - host.ptr)}
		     : host;
}

/*
 * Returns the route of a request: of the host's routes the one with the longest
 * prefix of the path, which is compared without the query. NULL: no route.
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
 * Picks the service for a request by weight, from 32 random bits. The request
 * stays with this service even if it is out of capacity, so that traffic keeps
 * to the weights.
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

/* config_has_usable_route() returns whether any route can be used. */
bool config_has_usable_route(const struct config *c)
{
	for (size_t i = 0; i < c->nroutes; i++) {
		if (!c->routes[i].unusable)
			return true;
	}
	return false;
}

/* Takes a reference. */
struct config *config_ref(struct config *c)
{
	c->refs++;
	return c;
}

/* Drops a reference; the last one frees the version. NULL is ignored. */
void config_unref(struct config *c)
{
	if (!c || --c->refs)
		return;
	g_hash_table_unref(c->by_host);
	workspaces_clear(&c->workspaces);
	arena_free(&c->arena);
	g_free(c);
}
