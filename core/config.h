/*
 * One version of the configuration, immutable once built and shared by
 * reference count among the requests that were admitted under it. All
 * counts are held by the traffic thread; the control thread only builds.
 */
#ifndef MP_CORE_CONFIG_H
#define MP_CORE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/arena.h"
#include "misc/findings.h"

/* Part of a route's traffic that goes to one service. */
struct route_split {
	struct lstr service;
	unsigned weight;
};

struct route {
	struct lstr name;
	struct lstr host;	 /* compared without letter case or port */
	struct lstr path_prefix; /* begins and ends with a slash */
	bool idempotent;	 /* may run more than once */
	unsigned max_attempts;	 /* backend servers a request may be sent to */
	unsigned priority;	 /* 0 is the most important */
	uint32_t timeout_ms;	 /* longest time to a final answer */
	uint32_t target_ms;	 /* answers within it are on time */
	struct route_split *splits;
	size_t nsplits;
};

struct place_policy;

struct service_config {
	struct lstr name;
	const struct place_policy *policy; /* NULL: the default */
	struct lstr health_path;
	unsigned max_connections; /* a backend server takes from all callers */
};

struct config_limits {
	uint32_t head_max, body_max; /* bytes */
	uint32_t head_timeout_ms, idle_timeout_ms;
};

struct config {
	struct arena arena;
	unsigned refs;
	uint64_t version;
	struct route *routes;
	size_t nroutes;
	struct service_config *services;
	size_t nservices;
	struct config_limits limits;
	struct lstr *drained; /* names of servers that get no new work */
	size_t ndrained;
	GHashTable *by_host; /* struct lstr * -> GPtrArray of struct route * */
};

struct config *config_new(void);
int config_finalize(struct config *c, struct findings *f);
const struct route *config_match(const struct config *c, struct lstr host,
				 struct lstr path);
const struct service_config *config_service(const struct config *c,
					    struct lstr name);
bool config_drains(const struct config *c, const char *backend);
struct lstr route_pick(const struct route *r, uint32_t random);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);

#endif
