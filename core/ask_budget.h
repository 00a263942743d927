/*
 * How many questions for load one instance may ask the backend servers. All
 * instances together keep to a rate a server, also on the busiest moments: a
 * token bucket on each instance holds its part.
 */
#ifndef MP_CORE_ASK_BUDGET_H
#define MP_CORE_ASK_BUDGET_H

#include <stdint.h>

struct probe_rate {
	double per_server_s; /* questions a server and second, of all */
	unsigned instances;  /* that share them */
};

struct probe_budget {
	double tokens;	    /* below zero: first questions went ahead of time */
	int64_t updated_ms; /* tokens are right as of then */
	int64_t started_ms;
};

void probe_budget_init(struct probe_budget *b, int64_t now_ms);

unsigned probe_budget_take(struct probe_budget *b, const struct probe_rate *r,
			   unsigned servers, unsigned want, unsigned least,
			   int64_t now_ms);

#endif
