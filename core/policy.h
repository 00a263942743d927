/*
 * Policies that pick a backend server without probing for load. Each is a
 * function with a context in a table, so that adding one doesn't touch the
 * placement code. With "load", the default, servers that report their load are
 * probed just before a send instead.
 */
#ifndef MP_CORE_POLICY_H
#define MP_CORE_POLICY_H

#include "core/backend.h"

struct place_policy {
	const char *name;
	bool probes_load; /* probe the servers that report their load */
	/* Returns the index of one of n > 0 servers. */
	unsigned (*pick)(void *priv, struct backend *const *servers, unsigned n,
			 GRand *rand);
	void *priv;
};

extern const struct place_policy place_policies[];
const struct place_policy *place_policy_find(const char *name);

#endif
