/*
 * Capacity of a service all of whose servers announce a limit or are cold. What
 * they take is then the service's capacity, and the wait of a request is known
 * without learning from latency.
 */
#ifndef MP_CORE_LIMIT_CAPACITY_H
#define MP_CORE_LIMIT_CAPACITY_H

#include "core/backend.h"

/* What this instance may send to the service's servers. */
struct limit_capacity {
	bool all_limited;   /* every available server takes a bounded rate */
	bool may_borrow;    /* peers may give up sends to some of them */
	unsigned available; /* requests that may be sent at once */
	double tokens;	    /* the same, with fractions of tokens */
	double rate_s;	    /* refill, requests per second */
	int64_t next_ms;    /* until the next token; -1: never */
};

struct limit_capacity limit_capacity(const struct service *s, int64_t now_ms);
double limit_capacity_wait_ms(const struct limit_capacity *c, unsigned ahead);

#endif
