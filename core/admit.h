/*
 * Who gets a server when there are too few: requests that can still be
 * answered on time go first, and to servers on which they are; those that
 * are late whatever happens take what the others can't use.
 *
 * It answers the load of a service that gets more requests than its servers
 * can run (servers that left, a burst, work that slowed down). There half of
 * the servers' time went to requests that were late already, while others
 * became late as they waited.
 */
#ifndef MP_CORE_ADMIT_H
#define MP_CORE_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

struct admit_request {
	double target_ms;    /* on time up to here */
	double spent_ms;     /* since the caller's first attempt */
	double median_ms;    /* work time at a server as most are now */
	double p75_ms;	     /* a quarter of the class take longer */
	double waited_ms;    /* of spent_ms, while looking for a server here */
	bool capacity_short; /* the service's servers are full, many of them */
};

/* How a server stands for a request. */
struct admit_server {
	double work_ms; /* expected for this request */
	double rtt_ms;	/* there and back */
	bool has_capacity;
	bool has_headroom; /* room for one more besides */
};

bool admit_can_be_on_time(const struct admit_request *r);
double admit_max_wait_ms(const struct admit_request *r);
bool admit_accepts(const struct admit_request *r, const struct admit_server *s,
		   bool pressed);
bool admit_accepts_rescue(const struct admit_server *s, bool pressed);
bool admit_accepts_hedge(const struct admit_request *r,
			 const struct admit_server *s, bool pressed);

#endif
