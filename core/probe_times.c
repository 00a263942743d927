#include "core/probe_times.h"

/*
 * The normal time is a lower quantile: servers that are slow at the moment, or
 * have no slot free, take longer. Each probe moves it by a relative step.
 */
static const double NORMAL_QUANTILE = 0.3;
static const double STEP = 0.03;

/* Times are differences of whole milliseconds, so short ones vary by chance. */
static const double ROUNDING_MS = 2;

/* Slowdowns that are reported: percent of the normal speed. */
enum { SLOWDOWN_MIN_PCT = 100, SLOWDOWN_MAX_PCT = 2000 };

/*
 * probe_times_record() adds the time of a probe. Returns the server's slowdown
 * at the moment in percent; 100 is normal.
 */
unsigned probe_times_record(struct probe_times *t, double ms,
			    bool new_connection)
{
	double *normal = new_connection ? &t->new_ms : &t->kept_ms;
	double pct;

	if (ms < 1)
		ms = 1;
	if (*normal <= 0)
		*normal = ms;
	pct = 100 * (ms > *normal + ROUNDING_MS ? ms / *normal : 1);
	*normal *= ms > *normal ? 1 + STEP * NORMAL_QUANTILE
				: 1 - STEP * (1 - NORMAL_QUANTILE);
	if (pct < SLOWDOWN_MIN_PCT)
		return SLOWDOWN_MIN_PCT;
	return pct > SLOWDOWN_MAX_PCT ? SLOWDOWN_MAX_PCT : (unsigned)pct;
}
