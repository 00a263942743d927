#include "core/hedge.h"

/* A second send needs this much of the usual time to make the target. */
static const double HEDGE_LATENCY_FACTOR = 1.4;

/*
 * Of answers that come at all 99 in 100 come within this much of the usual
 * time. Sooner a second send is most often one too many.
 */
static const double MIN_DELAY_FACTOR = 2;

/*
 * Where servers tell no load a start at a slow moment can't be seen, only that
 * no answer comes: one that takes this much longer than usual is most often one
 * of these. With the shares above a second send comes too late for them.
 */
static const double UNREPORTED_MIN_DELAY_FACTOR = 1.15;
static const double UNREPORTED_LATENCY_FACTOR = 1.3;

/*
 * hedge_delay_ms() returns how long after the first send the second is due:
 * as late as the second can still be answered on time, but not before the
 * first had twice its usual time. `told`: servers tell their load, so that the
 * first was chosen for being quick.
 */
int64_t hedge_delay_ms(double work_ms, uint32_t target_ms, int64_t spent_ms,
		       bool told)
{
	double left = (double)target_ms - (double)spent_ms;
	double latest = left - HEDGE_LATENCY_FACTOR * work_ms;
	double earliest = MIN_DELAY_FACTOR * work_ms;
	double untold = left - UNREPORTED_LATENCY_FACTOR * work_ms;

	if (!told && untold >= UNREPORTED_MIN_DELAY_FACTOR * work_ms)
		return (int64_t)untold;
	return (int64_t)(latest > earliest ? latest : earliest);
}

/* A server that has taken this many times as long may never answer. */
static const double RESCUE_DELAY_FACTOR = 2.5;

/*
 * rescue_delay_ms() returns how long after a send a request that is late
 * anyway goes to another server: without it one that was taken and is never
 * answered would end with its timeout. estimate_ms is what was expected of
 * the first server when it was chosen, so that a slow one isn't given up
 * shortly before it answers. Not before the target has passed.
 */
int64_t rescue_delay_ms(double estimate_ms, uint32_t target_ms)
{
	double ms = RESCUE_DELAY_FACTOR * estimate_ms;

	return (int64_t)(ms > target_ms ? ms : target_ms);
}
