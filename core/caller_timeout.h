/*
 * How much of its time a caller has used up before it came here. Callers name
 * the time that they still wait, not the time that they had, so that is
 * worked out from what the others of the class name.
 */
#ifndef MP_CORE_CALLER_TIMEOUT_H
#define MP_CORE_CALLER_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

enum { CALLER_TIMEOUT_SAMPLES = 32, SPREAD_SAMPLES = 32 };

/* The time that callers of a class give a request. */
struct caller_timeout {
	uint32_t samples
		[CALLER_TIMEOUT_SAMPLES]; /* what the last requests named */
	unsigned n;
	uint32_t timeout_ms; /* 0: not known yet */
};

/* By how much callers' first attempts differ, of all classes together. */
struct caller_timeout_spread {
	double samples
		[SPREAD_SAMPLES]; /* shares of the limit that were missing */
	unsigned n;
	double share;
};

void caller_timeout_record(struct caller_timeout *p, uint32_t left_ms);
void caller_timeout_spread_record(struct caller_timeout_spread *s,
				  const struct caller_timeout *p,
				  uint32_t left_ms, bool calm);
double caller_timeout_spent_ms(const struct caller_timeout *p,
			       const struct caller_timeout_spread *s,
			       uint32_t left_ms);

#endif
