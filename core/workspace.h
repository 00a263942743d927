/*
 * Workspaces: the tenants of a deployment. A workspace is identified by the keys
 * that its callers present and may have a quota. Part of a configuration
 * version, immutable once built.
 *
 * Only digests of keys are kept, so that no dump or log can show a key.
 */
#ifndef MP_CORE_WORKSPACE_H
#define MP_CORE_WORKSPACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

struct workspace {
	struct lstr name;
	uint32_t id; /* hash of the name, the same on all instances */
	bool has_priority;
	unsigned priority; /* 0 is the highest; before the route's */
	double rate_s;	   /* quota, requests per second; 0: no quota */
	double burst;	   /* requests that the quota allows at once */
	unsigned nkeys;
	bool unusable; /* its quota can't be read */
};

struct workspaces {
	bool required;	 /* callers must present a key */
	bool incomplete; /* some keys can't be read */
	struct workspace *list;
	size_t n;
	GHashTable *by_key; /* digest of a key -> struct workspace * */
};

void workspaces_init(struct workspaces *w, struct workspace *list, size_t n);
bool workspaces_add_key(struct workspaces *w, struct workspace *owner,
			struct lstr key);
const struct workspace *workspaces_find(const struct workspaces *w,
					struct lstr key);
bool workspaces_key_is_shared(const struct workspaces *w, struct lstr key);
void workspaces_clear(struct workspaces *w);
uint32_t workspace_id(struct lstr name);

#endif
