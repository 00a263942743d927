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
static void take_word(struct server_limit *l, const struct limit_word *w)
{
	l->named = w->named;
	l->per_s = w->named ? w->per_s : 0;
	l->asked_ms = w->asked_ms;
	l->heard_ms = w->heard_ms;
}

/* The same once more: what is known of when the server said so is the later. */
static void confirm(struct server_limit *l, const struct limit_word *w)
{
	if (w->asked_ms > l->asked_ms)
		l->asked_ms = w->asked_ms;
	if (w->heard_ms > l->heard_ms)
		l->heard_ms = w->heard_ms;
}

static enum limit_change hear_named(struct server_limit *l,
				    const struct limit_word *w, bool newer)
{
	if (!l->named) {
		/* A late word of before the end. */
		if (l->heard_ms && w->heard_ms <= l->asked_ms)
			return LIMIT_SAME;
		take_word(l, w);
		return LIMIT_BEGAN;
	}
	if (w->per_s == l->per_s) {
		confirm(l, w);
		return LIMIT_SAME;
	}
	if (!newer && w->per_s > l->per_s)
		return LIMIT_SAME;
	if (w->heard_ms <= l->asked_ms)
		return LIMIT_SAME;
	take_word(l, w);
	return LIMIT_CHANGED;
}

/*
 * Questions may be answered without what other answers say: that one of them
 * names no limit says something only of a server whose questions have named it.
 */
static bool says_nothing(const struct server_limit *l,
			 const struct limit_word *w)
{
	return w->source == LIMIT_BY_QUESTION && !l->in_questions;
}

static enum limit_change hear_unnamed(struct server_limit *l,
				      const struct limit_word *w, bool newer)
{
	if (says_nothing(l, w) || !newer)
		return LIMIT_SAME;
	if (!l->named) {
		confirm(l, w);
		return LIMIT_SAME;
	}
	take_word(l, w);
	return LIMIT_ENDED;
}

/*
 * server_limit_hear() takes in a word of the server and says what it changed.
 */
enum limit_change server_limit_hear(struct server_limit *l,
				    const struct limit_word *w, int64_t now_ms)
{
	bool newer = w->asked_ms >= l->heard_ms;
	enum limit_change change;

	if (!w->named)
		return hear_unnamed(l, w, newer);
	change = hear_named(l, w, newer);
	if (change == LIMIT_BEGAN)
		l->since_ms = now_ms;
	if (w->source == LIMIT_BY_QUESTION)
		l->in_questions = true;
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
	return l->named &&
	       (double)(now_ms - l->heard_ms) > (due_s + STALE_TOLD_S) * 1000;
}
