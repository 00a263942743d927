#include "misc/clock.h"
#include "traffic/request.h"
#include "traffic/stop.h"

/* Returns how many extra sends the service's retry budget still allows. */
double request_retries_left(const struct request *r)
{
	return budget_left(&r->service->budget, &r->traffic->budget_params,
			   clock_boot_ms());
}

/* Returns the cause that one more send would have now. */
enum extra_cause request_extra_cause(const struct request *r)
{
	if (!request_is_in_flight(r))
		return EXTRA_RETRY;
	return r->rescue ? EXTRA_RESCUE : EXTRA_HEDGE;
}

/* Returns whether the retry budget has one more send for the request. */
static bool retry_is_paid(const struct request *r, int64_t now_ms)
{
	struct service *s = r->service;
	struct budget_window w = budget_window(
		&s->budget, &r->traffic->budget_params, clock_boot_ms());

	if (request_extra_cause(r) == EXTRA_RETRY)
		retry_wants_record(&s->retry_wants, r->priority.route, now_ms);
	return w.left >= 1 + retry_reserve(&s->retry_wants, r->priority.route,
					   w.spent + w.left, now_ms);
}

/*
 * Returns whether the request may be sent to one more server: within the
 * route's attempts, the retry budget and the deadline, and either not executed
 * so far or idempotent.
 */
bool request_may_send_again(const struct request *r)
{
	struct traffic *t = r->traffic;
	int64_t now_ms = clock_ms();

	if (r->nsends >= r->route->max_attempts ||
	    r->nsends >= REQUEST_SENDS_MAX)
		return false;
	if (r->maybe_executed && !r->route->idempotent)
		return false;
	if (now_ms >= r->deadline_ms || request_is_quarantined(r) ||
	    !stop_has_time(r))
		return false;
	/* No second copy while the first may be crashing its server. */
	if (request_is_in_flight(r) &&
	    quarantine_kind(&t->quarantine, r->digest) != VERDICT_CLEAR)
		return false;
	if (r->nsends == 0 || retry_is_paid(r, now_ms))
		return true;
	r->service->retry_stats.denied[request_extra_cause(r)]++;
	return false;
}
