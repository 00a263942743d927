#include "core/hedge.h"

/* Time to allow for a hedge to complete, as a multiple of the median. */
static const double HEDGE_LATENCY_FACTOR = 1.4;

/*
 * 99% of the answers that arrive at all do so within this multiple of the
 * median. Most hedges sent before that would be unnecessary.
 */
static const double MIN_DELAY_FACTOR = 2;

/*
 * The same for servers that don't report their load. There a slow server isn't
 * known when the request is sent, only later by the missing answer: most
 * requests that exceed the median by this factor are on a slow server. The
 * factors above would hedge them too late.
 */
static const double UNREPORTED_MIN_DELAY_FACTOR = 1.15;
static const double UNREPORTED_LATENCY_FACTOR = 1.3;

/*
 * hedge_delay_ms() returns how long after the first send the hedge is due: at
 * the last moment at which it can still meet the target, but not before the
 * first send has taken twice its expected time, work_ms. `load_reported`: the
 * servers report their load, so the first was known to be fast when it was
 * chosen.
 */
int64_t hedge_delay_ms(double work_ms, uint32_t target_ms, int64_t spent_ms,
		       bool load_reported)
{
	double left = (double)target_ms - (double)spent_ms;
	double latest = left - HEDGE_LATENCY_FACTOR * work_ms;
	double earliest = MIN_DELAY_FACTOR * work_ms;
	double unreported = left - UNREPORTED_LATENCY_FACTOR * work_ms;

	if (!load_reported &&
	    unreported >= UNREPORTED_MIN_DELAY_FACTOR * work_ms)
		return (int64_t)unreported;
	return (int64_t)(latest > earliest ? latest : earliest);
}

/* A server that takes this multiple of the estimate may never answer. */
static const double RESCUE_DELAY_FACTOR = 2.5;

/*
 * rescue_delay_ms() returns how long after a send a request that is already
 * late goes to another server; without that, a request that its server accepted
 * and never answers would only end with its timeout. It is at least the target.
 * estimate_ms is the service time expected of the first server when it was
 * chosen, so that a slow one isn't abandoned shortly before it answers.
 */
int64_t rescue_delay_ms(double estimate_ms, uint32_t target_ms)
{
	double ms = RESCUE_DELAY_FACTOR * estimate_ms;

	return (int64_t)(ms > target_ms ? ms : target_ms);
}
