#include <stdbool.h>

#include "core/mechanisms.h"
#include "core/retry_reserve.h"

/* How long a priority that wanted a retry has a reserve. */
enum { WANT_TTL_MS = 10000 };

/* Share of a window's allowance that is kept for each more urgent priority. */
static const double RESERVE_SHARE = 0.2;

static bool is_recent(const struct retry_want *w, int64_t now_ms)
{
	return w->at_ms && now_ms - w->at_ms < WANT_TTL_MS;
}

/* retry_wants_record() notes that a request of this priority wants a retry. */
void retry_wants_record(struct retry_wants *w, unsigned priority,
			int64_t now_ms)
{
	struct retry_want *at = &w->last[0];

	for (unsigned i = 0; i < RETRY_PRIORITIES_MAX; i++) {
		struct retry_want *other = &w->last[i];

		if (other->at_ms && other->priority == priority) {
			other->at_ms = now_ms;
			return;
		}
		/* Replaces an outdated one, or else the least urgent. */
		if (is_recent(at, now_ms) && (!is_recent(other, now_ms) ||
					      other->priority > at->priority))
			at = other;
	}
	if (!is_recent(at, now_ms) || at->priority > priority)
		*at = (struct retry_want){priority, now_ms};
}

/*
 * retry_reserve() returns how many retries must remain beyond that of a request
 * of this priority. `allowance`: the retries of a whole window.
 */
double retry_reserve(const struct retry_wants *w, unsigned priority,
		     double allowance, int64_t now_ms)
{
	unsigned more_urgent = 0;

	if (!mechanisms.reserve)
		return 0;
	for (unsigned i = 0; i < RETRY_PRIORITIES_MAX; i++)
		more_urgent += is_recent(&w->last[i], now_ms) &&
			       w->last[i].priority < priority;
	return more_urgent * RESERVE_SHARE * allowance;
}
