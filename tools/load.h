/*
 * The load and experiment tool: makes calls on the own interface, then
 * compares what callers were told with what the servers say they ran.
 */
#ifndef MP_TOOLS_LOAD_H
#define MP_TOOLS_LOAD_H

#include <ev.h>

#include "misc/hist.h"
#include "tools/tools.h"

struct service_load {
	const struct service_opts *opts;
	struct hist hist;
	uint64_t calls, done, not_run, unknown, refused, foreign;
	uint64_t cut; /* sent, then the connection ended without an answer */
	GHashTable *reported_not_run; /* keys, for the check */
	int weight;
};

struct call;

struct load {
	const struct deploy *deploy;
	const struct load_args *args;
	struct ev_loop *loop;
	struct service_load *services;
	unsigned nservices;
	int total_weight;
	char **entries; /* addresses that the entry list gave */
	unsigned nentries;
	GRand *rand;
	struct call *calls;
	uint64_t seq, started;
	uint64_t run_id; /* keeps ids of two runs with one seed apart */
	int64_t start_us, end_us;
	int in_flight;
};

void load_run(struct load *l);

#endif
