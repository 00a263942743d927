#include "core/admit.h"
#include "core/mechanisms.h"

/*
 * A start that takes more than this many times what the service's servers
 * usually offer is dear: it costs others two starts. Speeds differ by less
 * from request to request (a third), and by more where a server is slow.
 */
static const double SLOW_SERVER_FACTOR = 2;

/* A returning caller may wait at least this share of the target for room. */
static const double MIN_WAIT_SHARE = 0.1;

/* admit_can_be_on_time() tells whether a server as most are would do. */
bool admit_can_be_on_time(const struct admit_request *r)
{
	return r->spent_ms + r->median_ms <= r->target_ms;
}

/*
 * admit_max_wait_ms() says how long a request may look for room in all: as long as
 * a caller's first attempt could and still be on time at a quick server, three
 * times in four. Callers that are sent away at once are refused more often.
 */
double admit_max_wait_ms(const struct admit_request *r)
{
	double slack = r->target_ms - r->p75_ms;

	if (!mechanisms.wait)
		return 0;
	return slack > r->target_ms * MIN_WAIT_SHARE
		       ? slack
		       : r->target_ms * MIN_WAIT_SHARE;
}

/* Tells whether a start there takes the time of several elsewhere. */
static bool is_slow_server(const struct admit_request *r,
			   const struct admit_server *s)
{
	return s->work_ms > SLOW_SERVER_FACTOR * r->median_ms;
}

/*
 * A slow server is better than none where nobody else wants its slot: it has
 * room to spare, as others have, and the request has waited for a quick one as
 * long as it may. Where room is short such starts cost others theirs.
 */
static bool accepts_slow_server(const struct admit_request *r,
				const struct admit_server *s)
{
	return s->has_headroom && !r->capacity_short &&
	       r->waited_ms >= admit_max_wait_ms(r);
}

/*
 * admit_accepts() decides whether a request goes to a server. `pressed`: other
 * requests of the service, which could be on time, find no room lately.
 *
 * - A request that can be on time waits for a server on which it will be.
 * - A late one takes any server but a dear one, and that too where there is
 *   room enough; while others press or room is short, one with room to spare.
 *
 * A server that is slow now stays so for the whole of a request that starts
 * there, and is quick again a moment later: starts at slow moments were late
 * all the same and held a slot for much longer. An instance sees few of the
 * requests that miss room, but many full servers, so late ones heed these too.
 */
bool admit_accepts(const struct admit_request *r, const struct admit_server *s,
		   bool pressed)
{
	if (!s->has_capacity || !mechanisms.quick_only)
		return s->has_capacity;
	if (admit_can_be_on_time(r))
		return r->spent_ms + s->rtt_ms + s->work_ms <= r->target_ms;
	if (is_slow_server(r, s))
		return accepts_slow_server(r, s);
	return (!pressed && !r->capacity_short) || s->has_headroom ||
	       !mechanisms.late_yield;
}

/*
 * admit_accepts_hedge() decides about a second send of a request that is out
 * already: only to a server with room to spare on which it will be on time,
 * and not while others miss room or servers are full. Near their limit servers
 * would otherwise spend a fifth of their time on work whose other copy wins,
 * which is what keeps them there.
 */
bool admit_accepts_hedge(const struct admit_request *r,
			 const struct admit_server *s, bool pressed)
{
	return !pressed && !r->capacity_short && s->has_headroom &&
	       r->spent_ms + s->rtt_ms + s->work_ms <= r->target_ms;
}

/*
 * admit_accepts_rescue() decides about a second send of a request that is late
 * and may never be answered by the first server: where there is room to spare,
 * and not while others miss some.
 */
bool admit_accepts_rescue(const struct admit_server *s, bool pressed)
{
	return s->has_headroom && !pressed;
}
