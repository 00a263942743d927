#include "core/retry_after.h"

/*
 * A crowd that was refused together must not return together, so returns
 * are spread evenly over a span as long as its beginning. The beginning, a
 * quarter of the target time, lets a caller still be served on time when
 * the room is short only for a moment.
 */
static const double FIRST_SHARE = 0.25;
static const double SPREAD_SHARE = 0.25;

/* Above a third of the time left callers would not wait as told. */
static const double LEFT_SHARE = 0.33;

/*
 * retry_after_s() returns seconds, from the target time of the route, the
 * time that the caller still has (0: unknown) and a random number in 0..1.
 */
double retry_after_s(uint32_t target_ms, int64_t left_ms, double random)
{
	double ms = target_ms * (FIRST_SHARE + SPREAD_SHARE * random);

	if (left_ms > 0 && ms > (double)left_ms * LEFT_SHARE)
		ms = (double)left_ms * LEFT_SHARE;
	return ms / 1000;
}
