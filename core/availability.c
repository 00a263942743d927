#include "core/availability.h"

/* hold_name() names it in logs. */
const char *hold_name(enum hold hold)
{
	static const char *const names[] = {"none",    "gone",	 "leaving",
					    "drained", "rest",	 "return",
					    "limit",   "unknown"};

	return names[hold];
}

/* backend_is_leaving() tells whether b takes no new work as it is about to stop. */
bool backend_is_leaving(const struct backend *b)
{
	return b->memory->leaving || b->entry.draining;
}

/* What holds for whatever is sent. */
static enum hold hold_of_all(const struct backend *b, int64_t now_ms)
{
	if (b->gone)
		return HOLD_GONE;
	if (backend_is_leaving(b))
		return HOLD_LEAVING;
	if (b->drained)
		return HOLD_DRAINED;
	return now_ms < b->memory->back_ms ? HOLD_REST : HOLD_NONE;
}

/* Whether b's limit, which it names, lets this instance send one more. */
static bool has_limit_left(struct backend_limit *l, int64_t now_ms)
{
	return l->looks || now_ms < l->granted_ms ||
	       limit_share_allows(&l->share, now_ms);
}

/*
 * What holds for a send that is yet to be chosen. Until it is known whether a server
 * names a limit it gets one at a time: instances that have just started, all at once
 * maybe, would otherwise send a server in need what none of them counts.
 */
static enum hold hold_of_choice(const struct backend *b, enum send_kind kind,
				int64_t now_ms)
{
	const struct server_memory *m = b->memory;

	if (m->returning && b->in_flight)
		return HOLD_RETURN;
	if (!m->limit)
		return !m->was_free && b->in_flight ? HOLD_UNKNOWN : HOLD_NONE;
	if (!m->limit->said.named)
		return HOLD_NONE;
	/* What a server in need takes goes to requests that have nothing else. */
	return kind == SEND_BESIDE || !has_limit_left(m->limit, now_ms)
		       ? HOLD_LIMIT
		       : HOLD_NONE;
}

/* backend_availability() tells whether b takes a send, and why not. */
struct availability backend_availability(const struct backend *b,
					 enum send_kind kind, int64_t now_ms)
{
	struct availability a = {.hold = hold_of_all(b, now_ms)};

	if (a.hold == HOLD_REST)
		a.back_ms = b->memory->back_ms;
	if (a.hold == HOLD_NONE && kind != SEND_CHOSEN)
		a.hold = hold_of_choice(b, kind, now_ms);
	return a;
}

/* backend_takes() tells whether it may be sent now. */
bool backend_takes(const struct backend *b, enum send_kind kind, int64_t now_ms)
{
	return backend_availability(b, kind, now_ms).hold == HOLD_NONE;
}

/*
 * service_back_ms() tells when this instance may return to the first server of s, if
 * none takes anything now and one rests; 0: not so.
 */
int64_t service_back_ms(const struct service *s, int64_t now_ms)
{
	int64_t first = 0;

	for (guint i = 0; i < s->backends->len; i++) {
		struct availability a = backend_availability(
			g_ptr_array_index(s->backends, i), SEND_CHOSEN, now_ms);

		if (a.hold == HOLD_NONE)
			return 0;
		if (a.hold == HOLD_REST && (!first || a.back_ms < first))
			first = a.back_ms;
	}
	return first;
}
