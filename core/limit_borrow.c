#include "core/limit_borrow.h"

enum {
	/* Grants arrive within this time or not at all. */
	GRANT_WAIT_MS = 20,
	/*
	 * Failures that happen by chance; each further one doubles the delay.
	 */
	FREE_FAILURES = 3,
	BACKOFF_MAX_MS = 2000,
	/* Oldest request that may still be granted. */
	REQUEST_AGE_MAX_MS = 200,
	GRANT_VALID_MS = 200, /* from its arrival */
};

/* Returns whether a request may be sent to the peers now. */
bool limit_borrow_is_due(const struct limit_borrow *b, int64_t now_ms)
{
	int64_t delay_ms =
		b->backoff_ms > GRANT_WAIT_MS ? b->backoff_ms : GRANT_WAIT_MS;

	return b->requested_ms == 0 || now_ms - b->requested_ms >= delay_ms;
}

/* Returns until when the last request may be granted; 0: there was none. */
int64_t limit_borrow_deadline_ms(const struct limit_borrow *b)
{
	return b->requested_ms ? b->requested_ms + GRANT_WAIT_MS : 0;
}

/*
 * Starts a request and returns its serial number. As long as no peer grants
 * anything, requests get less frequent.
 */
uint32_t limit_borrow_request(struct limit_borrow *b, int64_t now_ms)
{
	b->requested_ms = now_ms;
	if (++b->failures > FREE_FAILURES)
		b->backoff_ms =
			b->backoff_ms ? 2 * b->backoff_ms : 2 * GRANT_WAIT_MS;
	if (b->backoff_ms > BACKOFF_MAX_MS)
		b->backoff_ms = BACKOFF_MAX_MS;
	return ++b->serial;
}

/* Accepts a grant; returns false if it is for an old request. */
bool limit_borrow_accept(struct limit_borrow *b, uint32_t serial,
			 uint32_t lender, int64_t now_ms)
{
	if (serial != b->serial ||
	    now_ms - b->requested_ms > REQUEST_AGE_MAX_MS)
		return false;
	b->failures = 0;
	b->backoff_ms = 0;
	b->lender = lender;
	return true;
}

/* Returns until when a grant that arrives now is valid. */
int64_t limit_grant_expiry_ms(int64_t now_ms)
{
	return now_ms + GRANT_VALID_MS;
}
