/*
 * In-flight requests of the other instances (peers) at backend servers, as the
 * peers report them. For services whose servers don't report their load, the
 * sum over all instances is the only known load.
 */
#ifndef MP_CORE_PEER_LOAD_H
#define MP_CORE_PEER_LOAD_H

#include "core/backend.h"

enum {
	PEER_LOAD_MAX = 128,
	/*
	 * Reports of more instances than this would cost each of them more
	 * time than its requests: they only go to those in the same data
	 * centre.
	 */
	PEER_LOAD_GLOBAL_MAX = 20,
};

/* In-flight requests of one instance at one server. */
struct peer_load_item {
	uint32_t backend; /* peer_load_hash() of its id */
	uint32_t count;
};

/* In-flight requests of one instance at servers that don't report load. */
struct peer_load {
	uint32_t peer; /* peer_id() of the instance */
	unsigned n;
	struct peer_load_item items[PEER_LOAD_MAX];
};

struct peer_loads {
	GHashTable *by_peer; /* peer id -> struct applied * */
};

bool peer_loads_are_local(unsigned instances);
uint32_t peer_load_hash(const char *backend_id);
void peer_loads_init(struct peer_loads *p);
void peer_loads_collect(struct backend_set *set, struct peer_load *out);
void peer_loads_apply(struct peer_loads *p, struct backend_set *set,
		      const struct peer_load *load, int64_t now_ms);
void peer_loads_expire(struct peer_loads *p, struct backend_set *set,
		       int64_t now_ms);

#endif
