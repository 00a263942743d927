#include "core/server_limit.h"

/*
 * A report is stale when the limit would have allowed two more requests since
 * (at low limits: after STALE_MAX_S) and instances had time to gossip the
 * responses.
 */
static const double STALE_REQUESTS = 2;
static const double STALE_MAX_S = 20;
static const double STALE_GOSSIP_S = 5;

/* The holders of a limit repeat what they know of it within this time. */
enum { CONFIRMED_MS = 3000 };

/* Returns the name of a report's source in logs. */
const char *limit_source_name(enum limit_source source)
{
	static const char *const names[] = {"answer", "question", "peer"};

	return names[source];
}

/* Puts a report in force. */
static void put_in_force(struct server_limit *l, const struct limit_report *r)
{
	l->limited = r->limited;
	l->per_s = r->limited ? r->per_s : 0;
	l->sent_ms = r->sent_ms;
	l->received_ms = r->received_ms;
}

/* Updates the times of the report in force from one with the same limit. */
static void confirm(struct server_limit *l, const struct limit_report *r)
{
	if (r->sent_ms > l->sent_ms)
		l->sent_ms = r->sent_ms;
	if (r->received_ms > l->received_ms)
		l->received_ms = r->received_ms;
}

/* Applies a report of a limit. */
static enum limit_change apply_limit(struct server_limit *l,
				     const struct limit_report *r, bool newer)
{
	if (!l->limited) {
		/* Made before the limit ended, but received late. */
		if (l->received_ms && r->received_ms <= l->sent_ms)
			return LIMIT_UNCHANGED;
		put_in_force(l, r);
		return LIMIT_STARTED;
	}
	if (r->per_s == l->per_s) {
		confirm(l, r);
		return LIMIT_UNCHANGED;
	}
	if (!newer && r->per_s > l->per_s)
		return LIMIT_UNCHANGED;
	if (r->received_ms <= l->sent_ms)
		return LIMIT_UNCHANGED;
	put_in_force(l, r);
	return LIMIT_CHANGED;
}

/*
 * Returns whether a report without a limit is inconclusive. Responses to probes
 * may lack what other responses contain: that there is no limit in one means
 * something only if the server's responses to probes have contained it before.
 */
static bool is_inconclusive(const struct server_limit *l,
			    const struct limit_report *r)
{
	return r->source == LIMIT_BY_PROBE && !l->in_probes;
}

/* Applies a report without a limit. */
static enum limit_change
apply_no_limit(struct server_limit *l, const struct limit_report *r, bool newer)
{
	if (is_inconclusive(l, r) || !newer)
		return LIMIT_UNCHANGED;
	if (!l->limited) {
		confirm(l, r);
		return LIMIT_UNCHANGED;
	}
	put_in_force(l, r);
	return LIMIT_ENDED;
}

/* Applies a report and returns what it changed. */
enum limit_change server_limit_update(struct server_limit *l,
				      const struct limit_report *r,
				      int64_t now_ms)
{
	bool newer = r->sent_ms >= l->received_ms;
	enum limit_change change;

	if (!r->limited)
		return apply_no_limit(l, r, newer);
	change = apply_limit(l, r, newer);
	if (change == LIMIT_STARTED)
		l->since_ms = now_ms;
	if (r->source == LIMIT_BY_PROBE)
		l->in_probes = true;
	return change;
}

/*
 * Returns whether no response has confirmed the limit for a while. It may have
 * ended since.
 */
bool server_limit_is_unconfirmed(const struct server_limit *l, int64_t now_ms)
{
	return l->limited && now_ms - l->received_ms > CONFIRMED_MS;
}

/*
 * Returns whether no instance has had a response from the server for longer
 * than its limit explains. The holders of the limit then have no callers or are
 * gone, and wouldn't learn of its end.
 */
bool server_limit_is_stale(const struct server_limit *l, int64_t now_ms)
{
	double due_s = l->per_s > 0 ? STALE_REQUESTS / l->per_s : STALE_MAX_S;

	if (due_s > STALE_MAX_S)
		due_s = STALE_MAX_S;
	return l->limited && (double)(now_ms - l->received_ms) >
				     (due_s + STALE_GOSSIP_S) * 1000;
}
