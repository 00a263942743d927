/*
 * One version of the configuration: immutable once built, and reference-counted
 * by the requests that were admitted under it. The control thread builds a
 * version; only the traffic thread takes and drops references.
 */
#ifndef MP_CORE_CONFIG_H
#define MP_CORE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/arena.h"
#include "core/workspace.h"
#include "misc/findings.h"

/* Weight of one service in a route's traffic. */
struct route_split {
	struct lstr service;
	unsigned weight;
};

struct route {
	struct lstr name;
	struct lstr host;	 /* compared without case or port */
	struct lstr path_prefix; /* begins and ends with a slash */
	bool idempotent;	 /* may be executed more than once */
	bool upload;		 /* large bodies; never idempotent */
	bool auth_exempt;	 /* served without a workspace's key */
	bool unusable;		 /* exists, but can't be read */
	unsigned max_attempts;	 /* servers a request may be sent to */
	unsigned priority;	 /* 0 is the highest */
	uint32_t timeout_ms;	 /* for the final answer */
	uint32_t target_ms;	 /* latency target */
	struct route_split *splits;
	size_t nsplits;
};

struct place_policy;

struct service_config {
	struct lstr name;
	const struct place_policy *policy; /* NULL: default */
	struct lstr health_path;
	unsigned max_connections; /* per backend server, from all clients */
	uint32_t slow_start_ms;	  /* how long a server is cold after a start */
	double slow_start_per_s;  /* requests to a cold server; 0: no bound */
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
	bool routes_incomplete; /* where some route applies is unknown */
	struct service_config *services;
	size_t nservices;
	struct config_limits limits;
	struct workspaces workspaces;
	struct lstr *drained; /* backend servers without new requests */
	size_t ndrained;
	GHashTable *by_host; /* struct lstr * -> GPtrArray of struct route * */
};

struct config *config_new(void);
int config_finalize(struct config *c, struct findings *f);
const struct route *config_match(const struct config *c, struct lstr host,
				 struct lstr path);
const struct service_config *config_service(const struct config *c,
					    struct lstr name);
bool config_has_usable_route(const struct config *c);
bool config_drains(const struct config *c, const char *backend);
struct lstr route_pick(const struct route *r, uint32_t random);
struct config *config_ref(struct config *c);
void config_unref(struct config *c);

#endif
