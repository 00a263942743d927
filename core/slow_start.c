#include <string.h>

#include "core/slow_start.h"

/*
 * How long a report that a server is warm counts, from the time its probe was
 * sent. A request is normally sent within milliseconds of a probe's response.
 */
enum { WARM_REPORT_VALID_MS = 100 };

/* slow_start_init() initializes the state of a server of unknown phase. */
void slow_start_init(struct slow_start *s, int64_t now_ms)
{
	memset(s, 0, sizeof(*s));
	limit_share_init(&s->share, false, now_ms);
}

/* slow_start_applies() returns whether servers of the service start slowly. */
bool slow_start_applies(const struct slow_start_bound *bound)
{
	return bound->per_s > 0;
}

/*
 * slow_start_assume_cold() treats the server as cold until until_ms. If it
 * wasn't cold, this instance's share starts without tokens: requests that were
 * sent while it counted as warm may still arrive.
 */
void slow_start_assume_cold(struct slow_start *s, int64_t until_ms,
			    int64_t now_ms)
{
	if (until_ms <= now_ms)
		return;
	if (s->cold_until_ms <= now_ms)
		limit_share_clear(&s->share, now_ms);
	s->warm_asked_ms = 0;
	if (until_ms > s->cold_until_ms)
		s->cold_until_ms = until_ms;
}

/*
 * slow_start_report() applies a response to a probe. Responses may overtake
 * each other, so a report of a warm server only supersedes one of a cold server
 * if its probe was sent after the other's response was received.
 */
void slow_start_report(struct slow_start *s, const struct slow_start_report *r)
{
	if (r->left_ms) {
		slow_start_assume_cold(s, r->received_ms + r->left_ms,
				       r->received_ms);
		s->cold_heard_ms = r->received_ms;
		return;
	}
	if (s->cold_heard_ms && r->sent_ms < s->cold_heard_ms)
		return;
	s->cold_until_ms = 0;
	if (r->sent_ms > s->warm_asked_ms)
		s->warm_asked_ms = r->sent_ms;
}

/* slow_start_forget() drops reports of a warm server: they may be outdated. */
void slow_start_forget(struct slow_start *s)
{
	s->warm_asked_ms = 0;
}

/*
 * slow_start_phase() returns the server's phase. `probed`: the server is probed
 * before requests are sent; if not, its list entry tells when it is cold.
 */
enum slow_start_phase slow_start_phase(const struct slow_start *s, bool probed,
				       int64_t now_ms)
{
	if (now_ms < s->cold_until_ms)
		return SLOW_START_COLD;
	if (!probed)
		return SLOW_START_WARM;
	return s->warm_asked_ms &&
			       now_ms - s->warm_asked_ms <= WARM_REPORT_VALID_MS
		       ? SLOW_START_WARM
		       : SLOW_START_UNKNOWN;
}
