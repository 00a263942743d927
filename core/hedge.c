#include "core/hedge.h"

/* A second send needs this much of the usual time to make the target. */
static const double SECOND_SHARE = 1.4;

/*
 * Of answers that come at all 99 in 100 come within this much of the usual
 * time. With 1.5 a second send was most often one too many: 5 of 1,000 worth on
 * busy days of three deployments, and a tenth of all new connections.
 */
static const double FIRST_SHARE = 2;

/*
 * hedge_delay_ms() returns how long after the first send the second is due:
 * as late as the second can still be answered on time, but not before the
 * first had twice its usual time.
 */
int64_t hedge_delay_ms(double work_ms, uint32_t target_ms, int64_t spent_ms)
{
	double latest =
		(double)target_ms - (double)spent_ms - SECOND_SHARE * work_ms;
	double earliest = FIRST_SHARE * work_ms;

	return (int64_t)(latest > earliest ? latest : earliest);
}

/* A server that has taken this many times as long may never answer. */
static const double RESCUE_FACTOR = 2.5;

/*
 * rescue_delay_ms() returns how long after a send a request that is late
 * anyway goes to another server: without it one that was taken and is never
 * answered would end with its timeout. estimate_ms is what was expected of
 * the first server when it was chosen, so that a slow one isn't given up
 * shortly before it answers. Not before the target has passed.
 */
int64_t rescue_delay_ms(double estimate_ms, uint32_t target_ms)
{
	double ms = RESCUE_FACTOR * estimate_ms;

	return (int64_t)(ms > target_ms ? ms : target_ms);
}
