#include "core/admit.h"

/* One round trip between callers and instances, in ms (8 ms each way). */
static const double CALLER_WAY_MS = 16;

/*
 * Share of the target time that a request may wait for room here. Within it
 * an answer of "come back later" costs the caller little of its time.
 */
static const double WAIT_SHARE = 0.125;

/* admit_can_be_on_time() tells whether a quick server would do. */
bool admit_can_be_on_time(const struct admit_request *r)
{
	return r->spent_ms + CALLER_WAY_MS + r->work_ms <= r->target_ms;
}

/* admit_wait_ms() says how long a request may look for room in all. */
double admit_wait_ms(const struct admit_request *r)
{
	return r->target_ms * WAIT_SHARE;
}

/*
 * admit_takes() decides whether a request goes to a server. `pressed`: other
 * requests of the service, which could be on time, find no room lately.
 *
 * - A request that can be on time waits for a server on which it will be, and
 *   takes any with room when its wait is over.
 * - A late one takes any with room. While others press it takes only what is
 *   of no use to them: servers too slow for them, or with room to spare.
 */
bool admit_takes(const struct admit_request *r, const struct admit_server *s,
		 bool pressed)
{
	double done_ms = r->spent_ms + CALLER_WAY_MS + s->estimate_ms;

	if (!s->has_room)
		return false;
	if (admit_can_be_on_time(r))
		return done_ms <= r->target_ms ||
		       r->waited_ms >= admit_wait_ms(r);
	if (!pressed || s->has_spare)
		return true;
	return CALLER_WAY_MS + s->estimate_ms > r->target_ms;
}

/*
 * admit_takes_second() decides about a second send of a request that is out
 * already: only to a server with room to spare on which it will be on time,
 * and not while others miss room. Near their limit servers would otherwise
 * spend a fifth of their time on work whose other copy wins, which is what
 * keeps them there.
 */
bool admit_takes_second(const struct admit_request *r,
			const struct admit_server *s, bool pressed)
{
	return !pressed && s->has_spare &&
	       r->spent_ms + CALLER_WAY_MS + s->estimate_ms <= r->target_ms;
}

/*
 * admit_takes_rescue() decides about a second send of a request that is late
 * and may never be answered by the first server: where there is room to spare,
 * and not while others miss some.
 */
bool admit_takes_rescue(const struct admit_server *s, bool pressed)
{
	return s->has_spare && !pressed;
}
