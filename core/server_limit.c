#include "core/server_limit.h"

/*
 * An instance that may not send to a server believes that its limit stands for so
 * long after it last heard so: three times over those who may tell it again.
 */
enum { BELIEVED_MS = 7000 };

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
	if (w->source == LIMIT_BY_PEER)
		l->told_ms = now_ms;
	else
		l->own_ms = now_ms;
	if (w->source == LIMIT_BY_QUESTION)
		l->in_questions = true;
	return change;
}

/*
 * server_limit_expire() ends a limit that nobody has spoken of for long; only an
 * instance that can't ask the server itself forgets so. Returns whether it did.
 */
bool server_limit_expire(struct server_limit *l, int64_t now_ms)
{
	int64_t heard = l->own_ms > l->told_ms ? l->own_ms : l->told_ms;

	if (!l->named || now_ms - heard < BELIEVED_MS)
		return false;
	l->named = false;
	l->per_s = 0;
	return true;
}
