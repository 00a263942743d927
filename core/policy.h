/*
 * How a backend server is chosen where load isn't asked for: tables of a
 * function and its context, so that a policy is added without touching the
 * placement. "load" is the default: servers are asked just before.
 */
#ifndef MP_CORE_POLICY_H
#define MP_CORE_POLICY_H

#include "core/backend.h"

struct place_policy {
	const char *name;
	bool probes_load; /* servers that tell their load are asked for it */
	/* Returns the index of one of n > 0 servers. */
	unsigned (*pick)(void *priv, struct backend *const *servers, unsigned n,
			 GRand *rand);
	void *priv;
};

extern const struct place_policy place_policies[];
const struct place_policy *place_policy_find(const char *name);

#endif
