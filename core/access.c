#include "core/access.h"

enum {
	/*
	 * Without updates for this long a route or key unknown here may exist
	 * by now.
	 */
	STALE_CONFIG_MS = 4000,
};

/* Returns a refusal that is final only if the configuration tells for sure. */
static struct access refuse(enum access_status status, bool is_certain,
			    int64_t config_age_ms, const char *reason)
{
	struct access a = {.status = status, .reason = reason};

	if (!is_certain || config_age_ms >= STALE_CONFIG_MS)
		a.status = ACCESS_UNCERTAIN;
	return a;
}

/* Checks the key of a request that a route matches. */
static struct access check_key(const struct workspaces *w,
			       const struct route *route,
			       const struct access_query *q,
			       int64_t config_age_ms)
{
	struct access granted = {
		.status = ACCESS_GRANTED, .reason = "-", .route = route};

	if (!w->required || route->auth_exempt)
		return granted;
	if (q->key_repeated)
		return refuse(ACCESS_UNKNOWN_KEY, true, config_age_ms,
			      "repeated");
	if (!q->key.len)
		return refuse(ACCESS_UNKNOWN_KEY, true, config_age_ms,
			      "missing");
	granted.workspace = workspaces_find(w, q->key);
	if (!granted.workspace && workspaces_key_is_shared(w, q->key))
		return refuse(ACCESS_UNKNOWN_KEY, false, config_age_ms,
			      "shared");
	if (!granted.workspace)
		return refuse(ACCESS_UNKNOWN_KEY, !w->incomplete, config_age_ms,
			      "unknown");
	if (granted.workspace->unusable)
		return refuse(ACCESS_UNKNOWN_KEY, false, config_age_ms,
			      "workspace unusable");
	return granted;
}

/*
 * access_decide() decides on a request by a configuration that was known to be
 * current config_age_ms ago; NULL: none is known yet.
 */
struct access access_decide(const struct config *c,
			    const struct access_query *q, int64_t config_age_ms)
{
	const struct route *route;
	struct access a;

	if (!c)
		return refuse(ACCESS_NO_ROUTE, false, config_age_ms,
			      "no configuration");
	route = config_match(c, q->host, q->path);
	if (!route)
		return refuse(ACCESS_NO_ROUTE, !c->routes_incomplete,
			      config_age_ms, "unknown");
	if (route->unusable)
		return refuse(ACCESS_NO_ROUTE, false, config_age_ms,
			      "route unusable");
	a = check_key(&c->workspaces, route, q, config_age_ms);
	a.by_key = a.status != ACCESS_GRANTED;
	return a;
}
