/* Delays between attempts that fail, with jitter. */
#ifndef MP_MISC_BACKOFF_H
#define MP_MISC_BACKOFF_H

#include <math.h>

/*
 * backoff_ms() returns the delay before the next attempt after `failures` ones
 * that failed: it doubles from first_ms up to max_ms. `random` in 0..1 picks a
 * point in its upper half, so that callers that failed together don't retry
 * together.
 */
static inline int backoff_ms(unsigned failures, int first_ms, int max_ms,
			     double random)
{
	int delay_ms = first_ms;

	while (failures-- > 1 && delay_ms < max_ms)
		delay_ms *= 2;
	if (delay_ms > max_ms)
		delay_ms = max_ms;
	return delay_ms / 2 + (int)(random * delay_ms / 2);
}

/*
 * backoff_spread() sets *spread_ms, the delay of an attempt that many callers
 * may make at the same time, to a random one, exponentially distributed with
 * this mean, if it isn't set yet; mean_ms 0: none. Their number times 1/mean_ms
 * is the rate of all attempts together. Reset it to 0 after each attempt.
 */
static inline void backoff_spread(int *spread_ms, double mean_ms, double random)
{
	if (mean_ms <= 0)
		*spread_ms = 0;
	else if (*spread_ms == 0)
		*spread_ms = 1 + (int)(-log(1 - random) * mean_ms);
}

#endif
