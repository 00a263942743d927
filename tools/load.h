/*
 * Load generator: makes calls over the call interface, then compares the
 * responses that callers got with the requests that the simulated backend
 * servers recorded as run.
 */
#ifndef MP_TOOLS_LOAD_H
#define MP_TOOLS_LOAD_H

#include <ev.h>

#include "misc/hist.h"
#include "tools/tools.h"

/* Counters and latencies of the calls to one service. */
struct service_load {
	const struct service_opts *opts;
	struct hist hist;
	uint64_t calls, done, not_run, unknown, refused, foreign;
	uint64_t cut; /* sent, connection closed without a response */
	GHashTable *reported_not_run; /* idempotency keys */
	int weight;		      /* worker slots */
};

struct call;

/* State of one run of the load generator. */
struct load {
	const struct deploy *deploy;
	const struct load_args *args;
	struct ev_loop *loop;
	struct service_load *services;
	unsigned nservices;
	int total_weight;
	char **entries; /* addresses from the entry list */
	unsigned nentries;
	GRand *rand;
	struct call *calls;
	uint64_t seq, started;
	uint64_t run_id; /* makes ids of runs with the same seed differ */
	int64_t start_us, end_us;
	int in_flight;
};

void load_run(struct load *l);

#endif
