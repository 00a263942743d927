#include "core/server_limit.h"

/*
 * A word is old when two requests more should have been sent by the limit, at the
 * lowest in so long, and instances had time to tell each other of them.
 */
static const double STALE_REQUESTS = 2;
static const double STALE_LONGEST_S = 20;
static const double STALE_TOLD_S = 5;

/* limit_source_name() names in logs who told of a limit. */
const char *limit_source_name(enum limit_source source)
{
	static const char *const names[] = {"answer", "question", "peer"};

	return names[source];
}

/* From now on w is what counts. */
static void take_word(struct server_limit *l, const struct limit_report *w)
{
	l->limited = w->limited;
	l->per_s = w->limited ? w->per_s : 0;
	l->sent_ms = w->sent_ms;
	l->received_ms = w->received_ms;
}

/* The same once more: what is known of when the server said so is the later. */
static void confirm(struct server_limit *l, const struct limit_report *w)
{
	if (w->sent_ms > l->sent_ms)
		l->sent_ms = w->sent_ms;
	if (w->received_ms > l->received_ms)
		l->received_ms = w->received_ms;
}

static enum limit_change hear_named(struct server_limit *l,
				    const struct limit_report *w, bool newer)
{
	if (!l->limited) {
		/* A late word of before the end. */
		if (l->received_ms && w->received_ms <= l->sent_ms)
			return LIMIT_UNCHANGED;
		take_word(l, w);
		return LIMIT_STARTED;
	}
	if (w->per_s == l->per_s) {
		confirm(l, w);
		return LIMIT_UNCHANGED;
	}
	if (!newer && w->per_s > l->per_s)
		return LIMIT_UNCHANGED;
	if (w->received_ms <= l->sent_ms)
		return LIMIT_UNCHANGED;
	take_word(l, w);
	return LIMIT_CHANGED;
}

/*
 * Questions may be answered without what other answers say: that one of them
 * names no limit says something only of a server whose questions have named it.
 */
static bool says_nothing(const struct server_limit *l,
			 const struct limit_report *w)
{
	return w->source == LIMIT_BY_PROBE && !l->in_probes;
}

static enum limit_change hear_unnamed(struct server_limit *l,
				      const struct limit_report *w, bool newer)
{
	if (says_nothing(l, w) || !newer)
		return LIMIT_UNCHANGED;
	if (!l->limited) {
		confirm(l, w);
		return LIMIT_UNCHANGED;
	}
	take_word(l, w);
	return LIMIT_ENDED;
}

/*
 * server_limit_update() takes in a word of the server and says what it changed.
 */
enum limit_change server_limit_update(struct server_limit *l,
				      const struct limit_report *w,
				      int64_t now_ms)
{
	bool newer = w->sent_ms >= l->received_ms;
	enum limit_change change;

	if (!w->limited)
		return hear_unnamed(l, w, newer);
	change = hear_named(l, w, newer);
	if (change == LIMIT_STARTED)
		l->since_ms = now_ms;
	if (w->source == LIMIT_BY_PROBE)
		l->in_probes = true;
	return change;
}

/*
 * server_limit_is_stale() tells whether nobody has heard from the server for longer
 * than its limit explains: those that hold the limit have no callers, or are gone,
 * and would not hear of its end.
 */
bool server_limit_is_stale(const struct server_limit *l, int64_t now_ms)
{
	double due_s =
		l->per_s > 0 ? STALE_REQUESTS / l->per_s : STALE_LONGEST_S;

	if (due_s > STALE_LONGEST_S)
		due_s = STALE_LONGEST_S;
	return l->limited && (double)(now_ms - l->received_ms) >
				     (due_s + STALE_TOLD_S) * 1000;
}
