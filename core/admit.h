/*
 * Admission control for a service with too little capacity. Requests that can
 * still meet their target are placed first, on servers that will meet it;
 * requests that will miss it get the capacity that the others can't use.
 *
 * Without it, a service with more requests than its servers can run (lost
 * servers, a burst, slower work) spends half of the servers' time on requests
 * that have already missed their target, while others miss theirs waiting.
 */
#ifndef MP_CORE_ADMIT_H
#define MP_CORE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

struct admit_request {
	double target_ms; /* latency target, from the caller's first attempt */
	double spent_ms;  /* since the caller's first attempt */
	double median_ms; /* service time at the servers' typical speed */
	double p75_ms;	  /* 75th percentile of it */
	double waited_ms; /* part of spent_ms, queued here for a server */
	double wait_cut;  /* share of the wait that a shortage takes away */
	bool capacity_short; /* many servers of the service are full */
};

/* A candidate server, as seen by one request. */
struct admit_server {
	double work_ms; /* expected service time of this request */
	double rtt_ms;
	bool has_capacity;
	bool has_headroom; /* for one request beyond this one */
};

bool admit_can_be_on_time(const struct admit_request *r);
double admit_max_wait_ms(const struct admit_request *r);
bool admit_accepts(const struct admit_request *r, const struct admit_server *s,
		   bool contended);
bool admit_accepts_rescue(const struct admit_server *s, bool contended);
bool admit_accepts_hedge(const struct admit_request *r,
			 const struct admit_server *s, bool contended);

#endif
