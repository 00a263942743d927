#include "core/ask_budget.h"

/*
 * Part of the allowed rate that is used: instances count each other by
 * heartbeats, and for a moment after a fault fewer than there are.
 */
static const double USED_SHARE = 0.85;

/* Seconds of the rate that may be saved up, and spent ahead of time. */
static const double SAVED_S = 3;
static const double AHEAD_S = 1;

/*
 * ask_budget_take() grants up to `want` questions now. `least` of them (a
 * request's first ones) may be spent ahead of time, within bounds; the rest
 * only as far as tokens are there. Returns the number granted.
 */
unsigned ask_budget_take(struct ask_budget *b, const struct ask_rule *r,
			 unsigned servers, unsigned want, unsigned least,
			 int64_t now_ms)
{
	unsigned n = r->instances ? r->instances : 1;
	double rate = USED_SHARE * r->per_server_s * servers / n;
	double granted;

	if (b->at_ms == 0)
		b->tokens = rate * SAVED_S;
	else
		b->tokens += rate * (double)(now_ms - b->at_ms) / 1000;
	if (b->tokens > rate * SAVED_S)
		b->tokens = rate * SAVED_S;
	b->at_ms = now_ms;
	granted = b->tokens;
	if (granted < least)
		granted = b->tokens + rate * AHEAD_S >= least ? least : 0;
	if (granted > want)
		granted = want;
	b->tokens -= (unsigned)granted;
	return (unsigned)granted;
}
