/*
 * Part of a service's retry budget that is kept for more urgent requests. When
 * servers that are well turn away half of what they are sent, far more retries
 * are wanted than the budget allows. Without a reserve it goes to whoever comes
 * first, mostly the least urgent requests, and the most urgent ones are refused
 * as often as they.
 *
 * Below the reserve only requests of the more urgent priorities that wanted a
 * retry lately may use the budget, so they get theirs as soon as they need it
 * and the others what is left over. Where all requests have one priority, or
 * the more urgent ones want no retries, nothing is reserved.
 */
#ifndef MP_CORE_RETRY_RESERVE_H
#define MP_CORE_RETRY_RESERVE_H

#include <stdint.h>

enum { RETRY_PRIORITIES_MAX = 4 }; /* more urgent ones replace others */

/* A route's priority that wanted a retry, the most urgent lowest. */
struct retry_want {
	unsigned priority;
	int64_t at_ms; /* the last time; 0: unused */
};

struct retry_wants {
	struct retry_want last[RETRY_PRIORITIES_MAX];
};

void retry_wants_record(struct retry_wants *w, unsigned priority,
			int64_t now_ms);
double retry_reserve(const struct retry_wants *w, unsigned priority,
		     double allowance, int64_t now_ms);

#endif
