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

/* limit_borrow_is_due() tells whether the others may be asked now. */
bool limit_borrow_is_due(const struct limit_borrow *w, int64_t now_ms)
{
	int64_t pause = w->backoff_ms > ANSWER_MS ? w->backoff_ms : ANSWER_MS;

	return w->requested_ms == 0 || now_ms - w->requested_ms >= pause;
}

/* limit_borrow_deadline_ms() tells until when the last question may bring some. */
int64_t limit_borrow_deadline_ms(const struct limit_borrow *w)
{
	return w->requested_ms ? w->requested_ms + ANSWER_MS : 0;
}

/*
 * limit_borrow_request() begins a question and returns its number. Where all are short
 * nobody grants anything, and they are asked less and less often.
 */
uint32_t limit_borrow_request(struct limit_borrow *w, int64_t now_ms)
{
	w->requested_ms = now_ms;
	if (++w->failures > VAIN_MAX)
		w->backoff_ms =
			w->backoff_ms ? 2 * w->backoff_ms : 2 * ANSWER_MS;
	if (w->backoff_ms > PAUSE_MAX_MS)
		w->backoff_ms = PAUSE_MAX_MS;
	return ++w->serial;
}

/* limit_borrow_accept() takes in a grant; false if it counts no more. */
bool limit_borrow_accept(struct limit_borrow *w, uint32_t serial,
			 uint32_t giver, int64_t now_ms)
{
	if (serial != w->serial || now_ms - w->requested_ms > ASKED_MAX_MS)
		return false;
	w->failures = 0;
	w->backoff_ms = 0;
	w->lender = giver;
	return true;
}

/* limit_grant_expiry_ms() tells until when a grant that comes now counts. */
int64_t limit_grant_expiry_ms(int64_t now_ms)
{
	return now_ms + GRANT_MS;
}
