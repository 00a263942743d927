/*
 * Access: whether a caller's request may run, and what the caller is told if it
 * may not. Load: requests with keys that were added, dropped or moved a moment
 * ago, at instances that have not heard of it yet or are cut off; responses 401
 * and 404 are final for callers, so only an instance that knows the current
 * configuration may give them.
 */
#ifndef MP_CORE_ACCESS_H
#define MP_CORE_ACCESS_H

#include "core/config.h"

enum access_status {
	ACCESS_GRANTED,
	ACCESS_NO_ROUTE,    /* final: no route matches */
	ACCESS_UNKNOWN_KEY, /* final: no valid key of a workspace */
	/* Final for no one: the configuration is old, missing or incomplete. */
	ACCESS_UNCERTAIN,
};

struct access_query {
	struct lstr host, path;
	struct lstr key; /* empty: none presented */
	bool key_repeated;
};

struct access {
	enum access_status status;
	const char *reason;	   /* for logs */
	bool by_key;		   /* a route matched; the key was refused */
	const struct route *route; /* if granted */
	const struct workspace *workspace; /* if granted; NULL: none */
};

struct access access_decide(const struct config *c,
			    const struct access_query *q,
			    int64_t config_age_ms);

#endif
