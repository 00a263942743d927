/*
 * What the servers of a service take when all of them name a limit. Then their
 * limits are the service's capacity, and it is known how long a request has to
 * wait: nothing need be learned from latency.
 */
#ifndef MP_CORE_LIMIT_ROOM_H
#define MP_CORE_LIMIT_ROOM_H

#include "core/backend.h"

/* What this instance may send to them. */
struct limit_capacity {
	bool all_limited;   /* every server that takes work names a limit */
	unsigned available; /* requests, at once */
	double tokens;	    /* the same with what is earned in part */
	double rate_s;	    /* requests a second from then on */
	int64_t next_ms;    /* until one more is earned; -1: never */
};

struct limit_capacity limit_capacity(const struct service *s, int64_t now_ms);
double limit_capacity_wait_ms(const struct limit_capacity *room,
			      unsigned before);

#endif
