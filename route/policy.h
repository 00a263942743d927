/*
 * Routing: a pool of workers per service and pluggable policies that pick
 * one. A policy is a table of callbacks with a priv context, so a new one
 * plugs in without touching the entry's core. Picks run on traffic threads
 * concurrently; every field they read is updated with atomic operations
 * by the control thread (membership) or by traffic threads (load).
 */
#ifndef MP_ROUTE_POLICY_H
#define MP_ROUTE_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum worker_state {
	WORKER_ABSENT = 0, /* not on the membership list */
	WORKER_LIVE = 1,
	WORKER_LEAVING = 2,
};

struct route_worker {
	char name[48];
	char addr[32];
	char dc[32];
	unsigned state;	      /* enum worker_state, atomic */
	unsigned drained;     /* set by configuration, atomic */
	unsigned outstanding; /* calls from this entry in flight, atomic */
	unsigned reported;    /* busy slots the worker last reported */
	uint64_t picks;	      /* atomic */
};

enum { ROUTE_POOL_MAX = 256 };

struct route_pool {
	struct route_worker workers[ROUTE_POOL_MAX];
	unsigned count;	  /* published after a slot is filled, atomic */
	unsigned rr_next; /* atomic */
};

struct route_policy {
	const char *name;
	/* Returns the index of a worker, or -ENOENT when none is eligible. */
	int (*pick)(void *priv, struct route_pool *pool, GRand *rnd);
	void *priv;
};

extern const struct route_policy route_policies[];
const struct route_policy *route_policy_find(const char *name);
bool route_eligible(struct route_worker *w);
int route_pool_add(struct route_pool *pool, const char *name, const char *addr,
		   const char *dc);
int route_pool_find(struct route_pool *pool, const char *name);

#endif
