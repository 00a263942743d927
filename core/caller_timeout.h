/*
 * Estimates how much of its timeout a caller has spent on earlier attempts. A
 * request carries the caller's remaining time, not its whole timeout, so the
 * timeout is estimated from the remaining times of other requests of the class.
 */
#ifndef MP_CORE_CALLER_TIMEOUT_H
#define MP_CORE_CALLER_TIMEOUT_H

#include <stdbool.h>
#include <stdint.h>

enum { CALLER_TIMEOUT_SAMPLES = 32, SPREAD_SAMPLES = 32 };

/* The timeout of the callers of one class of requests. */
struct caller_timeout {
	/* Remaining times of recent requests. */
	uint32_t samples[CALLER_TIMEOUT_SAMPLES];
	unsigned n;	     /* samples so far */
	uint32_t timeout_ms; /* 0: unknown */
};

/* How much callers' timeouts vary, over all classes. */
struct caller_timeout_spread {
	/* By how much recent remaining times fall short of the timeout, as a
	 * share of it. */
	double samples[SPREAD_SAMPLES];
	unsigned n;   /* samples so far */
	double share; /* estimated maximum of such shares; 0: unknown */
};

void caller_timeout_record(struct caller_timeout *t, uint32_t left_ms);
void caller_timeout_spread_record(struct caller_timeout_spread *s,
				  const struct caller_timeout *t,
				  uint32_t left_ms, bool first_only);
double caller_timeout_spent_ms(const struct caller_timeout *t,
			       const struct caller_timeout_spread *s,
			       uint32_t left_ms);

#endif
