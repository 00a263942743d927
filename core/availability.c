#include "core/availability.h"

/* hold_name() returns the name that logs use. */
const char *hold_name(enum hold hold)
{
	static const char *const names[] = {
		"none",	     "gone",	   "draining",	"excluded",
		"evacuated", "backoff",	   "resuming",	"limit",
		"unknown",   "slow start", "unreported"};

	return names[hold];
}

/*
 * backend_is_draining() returns whether the server or its list entry has
 * announced that it stops.
 */
bool backend_is_draining(const struct backend *b)
{
	return b->state->draining || b->entry.draining;
}

/* backend_is_backing_off() returns whether a backoff that b requested lasts. */
bool backend_is_backing_off(const struct backend *b, int64_t now_ms)
{
	return now_ms < b->state->resume_ms;
}

/* Returns a reason that applies to all kinds of sends. */
static enum hold hold_any(const struct backend *b, int64_t now_ms)
{
	if (b->gone)
		return HOLD_GONE;
	if (backend_is_draining(b))
		return HOLD_DRAINING;
	if (b->excluded)
		return HOLD_EXCLUDED;
	if (b->evacuated)
		return HOLD_EVACUATED;
	return backend_is_backing_off(b, now_ms) ? HOLD_BACKOFF : HOLD_NONE;
}

/*
 * Returns whether the limit allows one more send: from this instance's share,
 * by one borrowed from a peer, or as a probe of whether the limit has ended.
 */
static bool has_limit_left(struct backend_limit *l, int64_t now_ms)
{
	return l->probe_allowed || now_ms < l->borrowed_until_ms ||
	       limit_share_allows(&l->share, now_ms);
}

/*
 * Returns a reason from the server's slow start. A server that may be cold gets
 * what the share allows. Hedges don't use it up.
 */
static enum hold hold_slow_start(const struct backend *b, enum send_kind kind,
				 int64_t now_ms)
{
	enum slow_start_phase phase = backend_phase(b, now_ms);
	struct slow_start *s = b->state->slow_start;

	if (phase == SLOW_START_WARM)
		return HOLD_NONE;
	if (kind != SEND_HEDGE && s && limit_share_allows(&s->share, now_ms))
		return HOLD_NONE;
	return phase == SLOW_START_COLD ? HOLD_SLOW_START : HOLD_UNREPORTED;
}

/*
 * Returns a reason from the server's limit. While it is unknown whether it has
 * one it gets one request at a time: a limit covers the requests of all
 * instances, and many may have just started.
 */
static enum hold hold_limit(const struct backend *b, enum send_kind kind,
			    int64_t now_ms)
{
	const struct server_state *s = b->state;

	if (!s->limit)
		return !s->seen_unlimited && b->in_flight ? HOLD_UNKNOWN
							  : HOLD_NONE;
	if (!s->limit->advertised.limited)
		return HOLD_NONE;
	/* Hedges don't use up a limit: requests without a copy need it. */
	return kind == SEND_HEDGE || !has_limit_left(s->limit, now_ms)
		       ? HOLD_LIMIT
		       : HOLD_NONE;
}

/* Returns a reason that applies to sends that aren't committed yet. */
static enum hold hold_new(const struct backend *b, enum send_kind kind,
			  int64_t now_ms)
{
	enum hold hold;

	if (b->state->resuming && b->in_flight)
		return HOLD_RESUMING;
	hold = hold_limit(b, kind, now_ms);
	return hold == HOLD_NONE ? hold_slow_start(b, kind, now_ms) : hold;
}

/* backend_availability() returns whether b may be sent to, and if not, why. */
struct availability backend_availability(const struct backend *b,
					 enum send_kind kind, int64_t now_ms)
{
	struct availability a = {.hold = hold_any(b, now_ms)};

	if (a.hold == HOLD_BACKOFF)
		a.resume_ms = b->state->resume_ms;
	if (a.hold != HOLD_NONE || kind == SEND_COMMITTED)
		return a;
	if (kind != SEND_UNCHARGED)
		a.hold = hold_new(b, kind, now_ms);
	else if (backend_phase(b, now_ms) == SLOW_START_COLD)
		a.hold = HOLD_SLOW_START;
	return a;
}

/* backend_is_available() returns whether b may be sent to. */
bool backend_is_available(const struct backend *b, enum send_kind kind,
			  int64_t now_ms)
{
	return backend_availability(b, kind, now_ms).hold == HOLD_NONE;
}

/*
 * backend_may_probe() returns whether to probe b for a send: the response may
 * show that it isn't cold.
 */
bool backend_may_probe(const struct backend *b, enum send_kind kind,
		       int64_t now_ms)
{
	enum hold hold = backend_availability(b, kind, now_ms).hold;

	return hold == HOLD_NONE || hold == HOLD_UNREPORTED;
}

/*
 * service_is_usable() returns whether any server of s takes requests, now or
 * after a backoff.
 */
bool service_is_usable(const struct service *s, int64_t now_ms)
{
	for (guint i = 0; i < s->backends->len; i++) {
		enum hold hold =
			hold_any(g_ptr_array_index(s->backends, i), now_ms);

		if (hold == HOLD_NONE || hold == HOLD_BACKOFF)
			return true;
	}
	return false;
}

/*
 * service_resume_ms() returns the end of the earliest backoff if no server of s
 * is available until then; 0 if one is available, or if none will be.
 */
int64_t service_resume_ms(const struct service *s, int64_t now_ms)
{
	int64_t first = 0;

	for (guint i = 0; i < s->backends->len; i++) {
		struct availability a =
			backend_availability(g_ptr_array_index(s->backends, i),
					     SEND_COMMITTED, now_ms);

		if (a.hold == HOLD_NONE)
			return 0;
		if (a.hold == HOLD_BACKOFF && (!first || a.resume_ms < first))
			first = a.resume_ms;
	}
	return first;
}
