/*
 * How a version of the configuration reaches the instances of a large
 * deployment without each of them calling the store. Load: a version that one
 * instance's link can't send to all others in time. A few instances of each
 * data centre fetch it from the one that reports it, the others from these; the
 * store is read if that takes too long.
 */
#ifndef MP_CORE_CONFIG_SPREAD_H
#define MP_CORE_CONFIG_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

/* Instances of a data centre that fetch a version from its reporter. */
enum { CONFIG_FORWARDERS = 3 };

enum config_spread_step {
	SPREAD_WAIT,
	SPREAD_FROM_REPORTER,
	SPREAD_FROM_FORWARDER,
	SPREAD_FROM_STORE,
};

struct config_spread {
	int64_t since_ms; /* a newer version is reported; 0: none */
	int64_t next_ms;  /* of the next attempt */
};

enum config_spread_step config_spread_next(struct config_spread *s,
					   unsigned dc_rank, double random,
					   int64_t now_ms);
bool config_spread_replaces_call(int64_t behind_ms, int64_t now_ms);
void config_spread_end(struct config_spread *s);

#endif
