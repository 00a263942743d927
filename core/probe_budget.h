/*
 * Rate limit of the load probes that one instance sends to backend servers. A
 * token bucket on each instance holds its part of a rate per server that all
 * instances together keep to, also during load peaks.
 */
#ifndef MP_CORE_PROBE_BUDGET_H
#define MP_CORE_PROBE_BUDGET_H

#include <stdint.h>

struct probe_rate {
	double per_server_s; /* probes per server and second, all instances */
	unsigned instances;  /* instances that share the rate */
};

struct probe_budget {
	double tokens;	    /* negative: first probes were sent on credit */
	int64_t updated_ms; /* time up to which tokens were added */
	int64_t started_ms;
};

void probe_budget_init(struct probe_budget *b, int64_t now_ms);

unsigned probe_budget_take(struct probe_budget *b, const struct probe_rate *r,
			   unsigned servers, unsigned want, unsigned least,
			   int64_t now_ms);

#endif
