#include <math.h>

#include "common/event.h"
#include "core/mechanisms.h"
#include "core/outlier.h"

/*
 * Half a stability window of the platform's faults: the memory outlasts the
 * pause between two requests of one instance to one server (about 2 s at ten
 * requests a second over two dozen servers).
 */
static const double OUTLIER_HALF_LIFE_MS = 2500;

/* Memory above this counts as this much; it bounds the time to forgive. */
static const double OUTLIER_MAX = 8;

/*
 * From here on a server is asked only when no other is left: two failures in
 * a row, or three within some seconds.
 */
static const double OUTLIER_SHUN = 1.5;

/* outlier_shuns() tells whether b is asked only when no other is left. */
bool outlier_shuns(const struct backend *b, int64_t now_ms)
{
	return outlier_trouble(b, now_ms) >= OUTLIER_SHUN;
}

/* outlier_trouble() returns the decayed weight of past failures. */
double outlier_trouble(const struct backend *b, int64_t now_ms)
{
	double age = (double)(now_ms - b->trouble_at_ms);

	if (b->trouble <= 0)
		return 0;
	return b->trouble * exp2(-age / OUTLIER_HALF_LIFE_MS);
}

/*
 * outlier_note() adds a bad outcome (weight > 0) or takes off for a good one
 * (weight < 0). The sum never goes below zero.
 */
void outlier_note(struct backend *b, double weight, int64_t now_ms)
{
	double t = outlier_trouble(b, now_ms) + weight;

	if (!mechanisms.outliers)
		return;
	b->trouble = t < 0 ? 0 : t > OUTLIER_MAX ? OUTLIER_MAX : t;
	b->trouble_at_ms = now_ms;
	if (outlier_shuns(b, now_ms) == b->shunned)
		return;
	b->shunned = !b->shunned;
	mp_event(b->shunned ? EV_BACKEND_DEPRIORITIZED : EV_BACKEND_RECOVERED,
		 G_LOG_LEVEL_MESSAGE, "backend=%s service=%s trouble=%.1f",
		 b->entry.id, b->service->name, b->trouble);
}
