#include "core/mechanisms.h"
#include "core/retry_after.h"

/*
 * Callers refused at the same time must not retry at the same time, so retries
 * are spread evenly over a range. A caller whose request can still meet its
 * target retries within a fifth of it, so that it still can; a short lack of
 * capacity is over by then.
 */
static const double SOON_BASE = 0.08;
static const double SOON_SPREAD = 0.12;

/*
 * In a shortage those that return so soon find the same lack of room, without a
 * wait in between; they are spread over this much more of the target.
 */
static const double SHORTAGE_SPREAD = 0.3;

/*
 * The others retry as late as they will wait, a third of their remaining time,
 * which leaves the servers to other requests in between.
 */
static const double LATE_BASE = 0.2;
static const double LATE_SPREAD = 0.13;

/* Range of the delay if another instance can serve the request. */
enum { ELSEWHERE_MIN_MS = 10, ELSEWHERE_SPREAD_MS = 40 };

/*
 * retry_after_s() returns the delay for a request whose caller has left_ms of
 * its time left. `random` is in 0..1.
 */
double retry_after_s(const struct admit_request *r, int64_t left_ms,
		     double random)
{
	double left = left_ms > 0 ? (double)left_ms : 0;
	double late = left * (LATE_BASE + LATE_SPREAD * random);
	double spread = SOON_SPREAD + SHORTAGE_SPREAD * r->wait_cut;
	double soon = r->target_ms * (SOON_BASE + spread * random);
	struct admit_request retried = *r;

	if (!mechanisms.return_time)
		return retry_after_default_s(random);
	retried.spent_ms += soon;
	return (admit_can_be_on_time(&retried) && soon < late ? soon : late) /
	       1000;
}

/*
 * retry_after_resume_s() returns the delay if no server is available for
 * resume_in_ms. Jitter keeps callers from retrying at the same time.
 */
double retry_after_resume_s(const struct admit_request *r, int64_t resume_in_ms,
			    double random)
{
	return ((double)resume_in_ms + r->target_ms * SOON_SPREAD * random) /
	       1000;
}

/*
 * retry_after_turn_s() returns the delay if all servers have a limit and
 * `waiting` requests are queued here. Refused callers get consecutive turns,
 * spaced by the rate at which the servers accept requests. *last_turn_ms is the
 * latest turn given out; a caller whose time ends before its turn doesn't take
 * one. Returns 0 if the delay is unknown because this instance may not send to
 * these servers.
 */
double retry_after_turn_s(int64_t *last_turn_ms,
			  const struct limit_capacity *capacity,
			  unsigned waiting, int64_t left_ms, int64_t now_ms)
{
	int64_t at;

	if (!capacity->all_limited || capacity->rate_s <= 0)
		return 0;
	at = now_ms + (int64_t)limit_capacity_wait_ms(capacity, waiting);
	if (at < *last_turn_ms + (int64_t)(1000 / capacity->rate_s))
		at = *last_turn_ms + (int64_t)(1000 / capacity->rate_s);
	if (at - now_ms < left_ms)
		*last_turn_ms = at;
	return (double)(at - now_ms) / 1000;
}

/*
 * retry_after_elsewhere_s() returns the delay if other instances can serve the
 * request now. The spread keeps the callers of a stopping instance from reaching
 * another one at the same moment.
 */
double retry_after_elsewhere_s(double random)
{
	return (ELSEWHERE_MIN_MS + ELSEWHERE_SPREAD_MS * random) / 1000;
}

/*
 * retry_after_default_s() returns the delay if nothing is known of the request.
 */
double retry_after_default_s(double random)
{
	return RETRY_AFTER_DEFAULT_MS * (0.5 + random) / 1000;
}
