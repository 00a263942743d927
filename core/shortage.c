#include <math.h>

#include "core/shortage.h"

/* Old counts lose half of their weight in this time; bursts take seconds. */
static const double HALF_LIFE_MS = 300;

/* Requests without a lack of room that are added to the counts. */
static const double PRIOR_REQUESTS = 4;

/*
 * With fewer requests of peers nothing is known of a shortage: what one
 * instance counts may be a crowd that comes at it alone, for which waiting is
 * right.
 */
static const double HEARD_MIN = 4;

/*
 * Waits are as long as usual up to the first share, and get shorter until there
 * are none from the second. Under full load without a lack of room up to a
 * fifth of the requests doesn't find it with the first questions.
 */
static const double SHARE_WAIT_FULL = 0.25;
static const double SHARE_WAIT_NONE = 0.5;

/*
 * Counts that are told no later than this; older ones say nothing about a
 * shortage that begins now.
 */
enum { UNTOLD_MAX_MS = 500 };

/* Misses below this, decayed, aren't worth a report. */
static const double FELT_MISSES = 0.5;

/* Returns the remaining weight of the counts. */
static double decay(const struct shortage *s, int64_t now_ms)
{
	double age_ms = (double)(now_ms - s->at_ms);

	return age_ms > 0 ? exp2(-age_ms / HALF_LIFE_MS) : 1;
}

/* Adds counts; the earlier ones have lost weight meanwhile. */
static void add(struct shortage *s, struct shortage_counts c, double heard,
		int64_t now_ms)
{
	double left = decay(s, now_ms);

	s->asked = s->asked * left + c.asked;
	s->missed = s->missed * left + c.missed;
	s->heard = s->heard * left + heard;
	s->at_ms = now_ms;
}

/* shortage_record_told() adds what a peer counted. */
void shortage_record_told(struct shortage *s, struct shortage_counts told,
			  int64_t now_ms)
{
	add(s, told, told.asked, now_ms);
}

/* shortage_record() adds requests of this instance. */
void shortage_record(struct shortage *s, struct shortage_counts own,
		     int64_t now_ms)
{
	add(s, own, 0, now_ms);
	if ((!s->untold.asked && !s->untold.missed) ||
	    now_ms - s->untold_ms > UNTOLD_MAX_MS) {
		s->untold = (struct shortage_counts){0};
		s->untold_ms = now_ms;
	}
	s->untold.asked += own.asked;
	s->untold.missed += own.missed;
}

/* shortage_take_untold() returns what was recorded since the last call. */
struct shortage_counts shortage_take_untold(struct shortage *s)
{
	struct shortage_counts untold = s->untold;

	s->untold = (struct shortage_counts){0};
	return untold;
}

/*
 * shortage_is_felt() returns whether requests have found no room lately, here
 * or at the peers that tell of it. Without that nothing needs to be told.
 */
bool shortage_is_felt(const struct shortage *s, int64_t now_ms)
{
	return s->missed * decay(s, now_ms) >= FELT_MISSES;
}

/*
 * shortage_share() returns the share of requests that found no room; 0 if too
 * little was heard of other instances.
 */
double shortage_share(const struct shortage *s, int64_t now_ms)
{
	double left = decay(s, now_ms);

	if (s->heard * left < HEARD_MIN)
		return 0;
	return s->missed * left / (s->asked * left + PRIOR_REQUESTS);
}

/*
 * shortage_wait_cut() returns by how much the time that requests wait for room
 * is shortened, from 0 to 1.
 */
double shortage_wait_cut(double share)
{
	double cut =
		(share - SHARE_WAIT_FULL) / (SHARE_WAIT_NONE - SHARE_WAIT_FULL);

	return fmin(fmax(cut, 0), 1);
}
