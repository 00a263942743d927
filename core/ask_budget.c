#include "core/ask_budget.h"

/*
 * Part of the allowed rate that fills the bucket. The rest pays what first
 * questions may spend ahead of time, which lasts 20 s to earn.
 */
static const double USED_SHARE = 0.95;

/* Seconds of the rate that may be saved up, and spent ahead of time. */
static const double SAVED_S = 3;
static const double AHEAD_S = 1;

/*
 * What may be spent ahead grows with the lifetime: a process forgets the debt of
 * the one before, and so none may ask more than the rate gives it in its own
 * time. Debts from the start add up where all instances are killed again and again.
 */
static double ahead(const struct probe_budget *b, double full_rate,
		    int64_t now_ms)
{
	double age_s = (double)(now_ms - b->started_ms) / 1000;
	double earned_s = (1 - USED_SHARE) * age_s;

	return full_rate * (earned_s < AHEAD_S ? earned_s : AHEAD_S);
}

/* probe_budget_init() begins a lifetime: nothing is saved up. */
void probe_budget_init(struct probe_budget *b, int64_t now_ms)
{
	b->tokens = 0;
	b->updated_ms = now_ms;
	b->started_ms = now_ms;
}

/*
 * probe_budget_take() grants up to `want` questions now. `least` of them (a
 * request's first ones) may be spent ahead of time, within bounds; the rest
 * only as far as tokens are there. Returns the number granted.
 */
unsigned probe_budget_take(struct probe_budget *b, const struct probe_rate *r,
			   unsigned servers, unsigned want, unsigned least,
			   int64_t now_ms)
{
	unsigned n = r->instances ? r->instances : 1;
	double full_rate = r->per_server_s * servers / n;
	double rate = USED_SHARE * full_rate;
	double granted;

	b->tokens += rate * (double)(now_ms - b->updated_ms) / 1000;
	if (b->tokens > rate * SAVED_S)
		b->tokens = rate * SAVED_S;
	b->updated_ms = now_ms;
	granted = b->tokens;
	if (granted < least)
		granted = b->tokens + ahead(b, full_rate, now_ms) >= least
				  ? least
				  : 0;
	if (granted > want)
		granted = want;
	b->tokens -= (unsigned)granted;
	return (unsigned)granted;
}
