#include "core/limit_want.h"

enum {
	/* A question's answers are there by then, or won't come. */
	ANSWER_MS = 20,
	/* So many in vain are chance; then the pause doubles with each. */
	VAIN_MAX = 3,
	PAUSE_MAX_MS = 2000,
	/* A grant counts if its question is no older, and then for so long. */
	ASKED_MAX_MS = 200,
	GRANT_MS = 200,
};

/* limit_want_is_due() tells whether the others may be asked now. */
bool limit_want_is_due(const struct limit_want *w, int64_t now_ms)
{
	int64_t pause = w->pause_ms > ANSWER_MS ? w->pause_ms : ANSWER_MS;

	return w->asked_ms == 0 || now_ms - w->asked_ms >= pause;
}

/* limit_want_until_ms() tells until when the last question may bring some. */
int64_t limit_want_until_ms(const struct limit_want *w)
{
	return w->asked_ms ? w->asked_ms + ANSWER_MS : 0;
}

/*
 * limit_want_ask() begins a question and returns its number. Where all are short
 * nobody grants anything, and they are asked less and less often.
 */
uint32_t limit_want_ask(struct limit_want *w, int64_t now_ms)
{
	w->asked_ms = now_ms;
	if (++w->vain > VAIN_MAX)
		w->pause_ms = w->pause_ms ? 2 * w->pause_ms : 2 * ANSWER_MS;
	if (w->pause_ms > PAUSE_MAX_MS)
		w->pause_ms = PAUSE_MAX_MS;
	return ++w->serial;
}

/* limit_want_takes() takes in a grant; false if it counts no more. */
bool limit_want_takes(struct limit_want *w, uint32_t serial, uint32_t giver,
		      int64_t now_ms)
{
	if (serial != w->serial || now_ms - w->asked_ms > ASKED_MAX_MS)
		return false;
	w->vain = 0;
	w->pause_ms = 0;
	w->giver = giver;
	return true;
}

/* limit_grant_until_ms() tells until when a grant that comes now counts. */
int64_t limit_grant_until_ms(int64_t now_ms)
{
	return now_ms + GRANT_MS;
}
