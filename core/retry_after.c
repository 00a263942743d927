#include "core/mechanisms.h"
#include "core/retry_after.h"

/*
 * A crowd that was refused together must not return together, so returns
 * are spread evenly. A caller that can still be on time is told to come back
 * within a fifth of its target, so that it can be; room that is short only
 * for a moment is there by then.
 */
static const double SOON_BASE = 0.08;
static const double SOON_SPREAD = 0.12;

/*
 * One that can't comes back as late as it will wait for: that is a third of
 * its time, and leaves the servers to the others in between.
 */
static const double LATE_BASE = 0.2;
static const double LATE_SPREAD = 0.13;

/*
 * retry_after_s() returns seconds, from what is known of the request, the
 * time that the caller still has and a random number in 0..1.
 */
double retry_after_s(const struct admit_request *r, int64_t left_ms,
		     double random)
{
	double left = left_ms > 0 ? (double)left_ms : 0;
	double late = left * (LATE_BASE + LATE_SPREAD * random);
	double soon = r->target_ms * (SOON_BASE + SOON_SPREAD * random);
	struct admit_request then = *r;

	if (!mechanisms.return_time)
		return retry_after_default_s(random);
	then.spent_ms += soon;
	return (admit_can_be_on_time(&then) && soon < late ? soon : late) /
	       1000;
}

/*
 * retry_after_resume_s() returns in how many seconds callers are to come back when no
 * server can be used for resume_in_ms; jitter keeps them from coming at once.
 */
double retry_after_resume_s(const struct admit_request *r, int64_t resume_in_ms,
			    double random)
{
	return ((double)resume_in_ms + r->target_ms * SOON_SPREAD * random) /
	       1000;
}

/*
 * retry_after_turn_s() returns in how many seconds a caller gets its turn when all
 * servers are in need and so many wait here: those that were refused before it are
 * told to come before it, each its own time, as far apart as servers take requests.
 * *last_turn_ms is the last of these; one that comes back no more gets no turn. 0:
 * nothing is known, as this instance may not send to these servers.
 */
double retry_after_turn_s(int64_t *last_turn_ms, const struct limit_room *room,
			  unsigned waiting, int64_t left_ms, int64_t now_ms)
{
	int64_t at;

	if (!room->all || room->rate_s <= 0)
		return 0;
	at = now_ms + (int64_t)limit_room_wait_ms(room, waiting);
	if (at < *last_turn_ms + (int64_t)(1000 / room->rate_s))
		at = *last_turn_ms + (int64_t)(1000 / room->rate_s);
	if (at - now_ms < left_ms)
		*last_turn_ms = at;
	return (double)(at - now_ms) / 1000;
}

/* retry_after_default_s() is for requests of which nothing is known. */
double retry_after_default_s(double random)
{
	return RETRY_AFTER_DEFAULT_MS * (0.5 + random) / 1000;
}
