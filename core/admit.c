#include "core/admit.h"
#include "core/mechanisms.h"

/*
 * A server that takes more than this many times the typical service time is
 * slow: a request there uses the capacity of two elsewhere. Service times of
 * requests vary by a third, less than this; slow servers exceed it.
 */
static const double SLOW_SERVER_FACTOR = 2;

/* A retry may wait for capacity for at least this share of the target. */
static const double MIN_WAIT_SHARE = 0.1;

/*
 * admit_can_be_on_time() returns whether the request would meet its target if
 * it started now on a server of typical speed.
 */
bool admit_can_be_on_time(const struct admit_request *r)
{
	return r->spent_ms + r->median_ms <= r->target_ms;
}

/*
 * admit_max_wait_ms() returns how long a request may wait for capacity in
 * total: as long as a first attempt can wait and still meet the target in
 * three of four cases. Refusing callers without a wait makes them retry and be
 * refused more often.
 */
double admit_max_wait_ms(const struct admit_request *r)
{
	double slack = r->target_ms - r->p75_ms;

	if (!mechanisms.wait)
		return 0;
	if (slack < r->target_ms * MIN_WAIT_SHARE)
		slack = r->target_ms * MIN_WAIT_SHARE;
	return slack * (1 - r->wait_cut);
}

/* Returns whether the request would use the capacity of several elsewhere. */
static bool is_slow_server(const struct admit_request *r,
			   const struct admit_server *s)
{
	return s->work_ms > SLOW_SERVER_FACTOR * r->median_ms;
}

/*
 * Returns whether a late request may start on a slow server. It may only if no
 * other request needs the slot: the server has headroom, capacity isn't short,
 * and the request has waited for a faster server as long as it may.
 */
static bool accepts_slow_server(const struct admit_request *r,
				const struct admit_server *s)
{
	return s->has_headroom && !r->capacity_short &&
	       r->waited_ms >= admit_max_wait_ms(r);
}

/*
 * admit_accepts() decides whether a request may be sent to a server.
 * `contended`: requests of the service that could meet their target have
 * recently found no capacity.
 *
 * - A request that can meet its target only accepts a server that meets it.
 * - A late request accepts any server that isn't slow; under contention or
 *   when capacity is short, only one with headroom. accepts_slow_server()
 *   decides when it accepts a slow one.
 *
 * A request that starts while a server is slow stays slow to its end, although
 * the server recovers a moment later. Such requests miss their target anyway
 * and occupy a slot for much longer.
 *
 * One instance sees few of the requests that find no capacity, but many full
 * servers, so late requests respect capacity_short as well.
 */
bool admit_accepts(const struct admit_request *r, const struct admit_server *s,
		   bool contended)
{
	if (!s->has_capacity || !mechanisms.quick_only)
		return s->has_capacity;
	if (admit_can_be_on_time(r))
		return r->spent_ms + s->rtt_ms + s->work_ms <= r->target_ms;
	if (is_slow_server(r, s))
		return accepts_slow_server(r, s);
	return (!contended && !r->capacity_short) || s->has_headroom ||
	       !mechanisms.late_yield;
}

/*
 * admit_accepts_hedge() decides whether an outstanding request may be hedged
 * on a server: one with headroom that meets the target, and only while there
 * is no contention and capacity isn't short. Servers near their limit would
 * otherwise spend a fifth of their time on copies that lose, which keeps them
 * overloaded.
 */
bool admit_accepts_hedge(const struct admit_request *r,
			 const struct admit_server *s, bool contended)
{
	return !contended && !r->capacity_short && s->has_headroom &&
	       r->spent_ms + s->rtt_ms + s->work_ms <= r->target_ms;
}

/*
 * admit_accepts_rescue() decides whether a late request that its first server
 * may never answer may be sent to this server as well: one with headroom,
 * while there is no contention.
 */
bool admit_accepts_rescue(const struct admit_server *s, bool contended)
{
	return s->has_headroom && !contended;
}
