#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "conf/build.h"
#include "core/policy.h"

enum {
	/* Nearly all calls meet the target; a typical one takes a third. */
	TARGET_WORK_FACTOR = 20,
	TARGET_MIN_MS = 100,
	ATTEMPTS = 3, /* backend servers that a call may be sent to */
};

/* Health and load probe of the stand-in backend servers. */
static const struct lstr health_path = {"/health", 7};

/* Reads the positive integer WHAT.SERVICE, or returns its default. */
static uint32_t read_service_uint(const struct conf_values *v, const char *what,
				  const char *service, uint32_t fallback,
				  struct findings *f)
{
	char *key = g_strdup_printf("%s.%s", what, service);
	const char *s = conf_get(v, key);
	char *end;
	unsigned long n = s ? strtoul(s, &end, 10) : fallback;

	if (s && (*s == '\0' || *end || n == 0 || n > UINT32_MAX)) {
		findings_add(f, "config", 0, key,
			     "'%s' is not a positive integer", s);
		n = fallback;
	}
	g_free(key);
	return (uint32_t)n;
}

/* Returns the policy set for a service, for all services or by default. */
static const struct place_policy *service_policy(const struct deploy *d,
						 const struct conf_values *v,
						 const char *service,
						 struct findings *f)
{
	char *key = g_strdup_printf("policy.%s", service);
	const char *name = conf_get(v, key);
	const struct place_policy *p;

	if (!name)
		name = conf_get(v, "policy");
	if (!name)
		name = d->entry.policy;
	p = place_policy_find(name);
	if (!p)
		findings_add(f, "config", 0, key, "unknown policy '%s'", name);
	g_free(key);
	return p;
}

/* Fills in service i and its route. */
static void build_service(struct config *c, const struct deploy *d,
			  const struct conf_values *v, size_t i,
			  struct findings *f)
{
	const struct service_opts *o = d->services->pdata[i];
	struct service_config *s = &c->services[i];
	struct route *r = &c->routes[i];
	uint32_t target = (uint32_t)o->work_ms * TARGET_WORK_FACTOR;

	s->name = arena_lstr(&c->arena, lstr0(o->name));
	s->health_path = health_path;
	s->max_connections = (unsigned)o->connections;
	s->policy = service_policy(d, v, o->name, f);
	r->name = s->name;
	r->host = LSTR(CONF_NATIVE_HOST);
	r->path_prefix = lstr0(
		arena_printf(&c->arena, CONF_NATIVE_PREFIX "%s/", o->name));
	r->idempotent = !o->protected_action;
	r->max_attempts =
		read_service_uint(v, "attempts", o->name, ATTEMPTS, f);
	r->timeout_ms = read_service_uint(v, "timeout_ms", o->name,
					  (uint32_t)d->entry.deadline_ms, f);
	r->target_ms = read_service_uint(
		v, "target_ms", o->name,
		target > TARGET_MIN_MS ? target : TARGET_MIN_MS, f);
	r->nsplits = 1;
	r->splits = arena_alloc(&c->arena, sizeof(*r->splits));
	r->splits[0] = (struct route_split){s->name, 1};
}

/* Lists the backend servers with drain.SERVER = true. */
static void build_drained(struct config *c, const struct conf_values *v)
{
	GHashTableIter it;
	gpointer k, x;

	c->drained = arena_alloc(&c->arena, (g_hash_table_size(v->values) + 1) *
						    sizeof(*c->drained));
	g_hash_table_iter_init(&it, v->values);
	while (g_hash_table_iter_next(&it, &k, &x)) {
		if (g_str_has_prefix(k, "drain.") && !strcmp(x, "true"))
			c->drained[c->ndrained++] = arena_lstr(
				&c->arena, lstr0((char *)k + strlen("drain.")));
	}
}

/* conf_build() returns a configuration, or NULL after adding findings. */
struct config *conf_build(const struct deploy *d, const struct conf_values *v,
			  struct findings *f)
{
	struct config *c = config_new();
	guint before = f->list->len;

	/* Values version 0, without any patch, is a usable configuration. */
	c->version = v->version + 1;
	c->nservices = c->nroutes = d->services->len;
	c->services =
		arena_alloc(&c->arena, c->nservices * sizeof(*c->services));
	c->routes = arena_alloc(&c->arena, c->nroutes * sizeof(*c->routes));
	for (guint i = 0; i < d->services->len; i++)
		build_service(c, d, v, i, f);
	build_drained(c, v);
	config_finalize(c, f);
	if (f->list->len == before)
		return c;
	config_unref(c);
	return NULL;
}

/* conf_decode() is conf_build() from a stored record; empty: no patches. */
struct config *conf_decode(void *deploy, struct lstr record, struct findings *f)
{
	struct conf_values v;
	struct config *c = NULL;

	conf_init(&v);
	if (record.len && conf_read(record, &v))
		findings_add(f, "config", 0, NULL, "malformed record");
	else
		c = conf_build(deploy, &v, f);
	conf_clear(&v);
	return c;
}
