#include <math.h>

#include "common/event.h"
#include "core/mechanisms.h"
#include "core/outlier.h"

/*
 * Half of a stability window of the platform's faults. It is longer than the
 * interval between two requests of one instance to one server: about 2 s at ten
 * requests a second over two dozen servers.
 */
static const double OUTLIER_HALF_LIFE_MS = 2500;

/* Maximum score; bounds the time until a recovered server is used again. */
static const double OUTLIER_MAX = 8;

/*
 * Score from which a server is deprioritized: two failures in a row, or three
 * within a few seconds.
 */
static const double OUTLIER_THRESHOLD = 1.5;

/* outlier_is_deprioritized() returns whether b is only a last resort. */
bool outlier_is_deprioritized(const struct backend *b, int64_t now_ms)
{
	return outlier_score(b, now_ms) >= OUTLIER_THRESHOLD;
}

/* outlier_score() returns the decayed sum of past outcomes' weights. */
double outlier_score(const struct backend *b, int64_t now_ms)
{
	double age = (double)(now_ms - b->failure_score_ms);

	if (b->failure_score <= 0)
		return 0;
	return b->failure_score * exp2(-age / OUTLIER_HALF_LIFE_MS);
}

/*
 * outlier_record() adds the weight of an outcome to the score: positive for a
 * failure, negative for a success. The score never goes below zero.
 */
void outlier_record(struct backend *b, double weight, int64_t now_ms)
{
	double score = outlier_score(b, now_ms) + weight;

	if (!mechanisms.outliers)
		return;
	b->failure_score = score < 0		 ? 0
			   : score > OUTLIER_MAX ? OUTLIER_MAX
						 : score;
	b->failure_score_ms = now_ms;
	if (outlier_is_deprioritized(b, now_ms) == b->deprioritized)
		return;
	b->deprioritized = !b->deprioritized;
	mp_event(b->deprioritized ? EV_BACKEND_DEPRIORITIZED
				  : EV_BACKEND_RECOVERED,
		 G_LOG_LEVEL_MESSAGE, "backend=%s service=%s trouble=%.1f",
		 b->entry.id, b->service->name, b->failure_score);
}

/* outlier_forget() drops failures that were not the server's. */
void outlier_forget(struct backend *b, int64_t now_ms)
{
	outlier_record(b, -OUTLIER_MAX, now_ms);
}
