/*
 * The entry instance's core: the state one control thread owns (the folded
 * configuration, the member lists, the heartbeat, snapshots) and the state
 * traffic threads share with it (per-service worker pools, the chosen
 * policy, counters and histograms), which they read with atomic loads.
 */
#ifndef MP_ENTRY_CORE_H
#define MP_ENTRY_CORE_H

#include <pthread.h>
#include <stdint.h>

#include "backend/client.h"
#include "conf/fold.h"
#include "entry/dedup.h"
#include "misc/hist.h"
#include "options/deploy.h"
#include "platform/client.h"
#include "route/policy.h"

struct entry_counters {
	uint64_t calls, done, not_run, unknown, retries, no_worker, foreign;
	uint64_t rejected;   /* refused before routing: bad call, not ready */
	uint64_t duplicates; /* protected calls answered from the first */
};

struct entry_service {
	const struct service_opts *opts;
	struct route_pool pool;
	const struct route_policy *policy; /* atomic pointer */
	struct entry_counters count;
	struct hist total; /* call time at the entry, us */
	struct hist added; /* of which the entry's own part, us */
	unsigned seen_gen[ROUTE_POOL_MAX]; /* control thread only */
};

struct entry_cost {
	uint64_t cpu_us;   /* control thread's CPU time */
	uint64_t bytes_in; /* from the platform, for control */
	uint64_t bytes_out;
	uint64_t requests;
};

struct entry {
	const struct deploy *deploy;
	const struct entry_opts *me;
	struct entry_service *services;
	unsigned n_services;
	struct backend backend;
	struct dedup dedup;	/* protected calls' keys */
	int64_t live_version;	/* atomic; -1 until the config is known */
	unsigned stopping;	/* atomic */
	unsigned in_flight;	/* atomic */
	uint64_t next_req;	/* atomic */
	struct entry_cost cost; /* atomic fields */

	pthread_mutex_t entries_lock;
	char *entries_json; /* the live entry list for callers */

	/* Owned by the control thread. */
	pthread_t control;
	struct plat_client pc;
	struct conf_state conf;
	bool platform_down;
	int64_t snapshot_seen_ms;
	char lowest_entry[48];
	char workers_etag[PLAT_ETAG_LEN];
	char entries_etag[PLAT_ETAG_LEN];
	unsigned gen;
};

int entry_init(struct entry *e, const struct deploy *d,
	       const struct entry_opts *me);
int entry_start_control(struct entry *e);
void entry_free(struct entry *e);
struct entry_service *entry_service(struct entry *e, const char *name);
void entry_leave(struct entry *e);

#endif
