/*
 * Requests that the other instances have at backend servers, as they say. For
 * services whose servers tell no load this is all that is known of it: the
 * instances' requests together are what the servers have.
 */
#ifndef MP_CORE_PEER_LOAD_H
#define MP_CORE_PEER_LOAD_H

#include "core/backend.h"

enum { PEER_LOAD_MAX = 128 };

/* Requests of one instance at one server; ids are sent as their hash. */
struct peer_load_item {
	uint32_t backend; /* peer_load_hash() of its id */
	uint32_t count;
};

/* All that one instance has out, at servers that tell no load. */
struct peer_load {
	uint32_t peer; /* peer_id() of the instance */
	unsigned n;
	struct peer_load_item items[PEER_LOAD_MAX];
};

struct peer_loads {
	GHashTable *by_peer; /* its id -> what was applied */
};

uint32_t peer_load_hash(const char *backend_id);
void peer_loads_init(struct peer_loads *p);
void peer_loads_collect(struct backend_set *set, struct peer_load *out);
void peer_loads_apply(struct peer_loads *p, struct backend_set *set,
		      const struct peer_load *load, int64_t now_ms);
void peer_loads_expire(struct peer_loads *p, struct backend_set *set,
		       int64_t now_ms);

#endif
