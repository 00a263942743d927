#include "core/probe_budget.h"

/*
 * Fraction of the allowed rate that refills the bucket. The remainder pays for
 * first probes sent on credit: it takes 20 s to earn one second of the rate.
 */
static const double REFILL_FRACTION = 0.95;

/* Bucket depth and largest debt, in seconds of the rate. */
static const double BURST_S = 3;
static const double DEBT_S = 1;

/*
 * Returns the largest debt that is allowed now. It grows with the age of the
 * process, so that none takes more than the rate allows in its own lifetime: a
 * new process doesn't know its predecessor's debt, and the debts of instances
 * that are killed again and again would otherwise add up.
 */
static double max_debt(const struct probe_budget *b, double full_rate,
		       int64_t now_ms)
{
	double age_s = (double)(now_ms - b->started_ms) / 1000;
	double earned_s = (1 - REFILL_FRACTION) * age_s;

	return full_rate * (earned_s < DEBT_S ? earned_s : DEBT_S);
}

/* Initializes the budget of a process that starts now, with no tokens. */
void probe_budget_init(struct probe_budget *b, int64_t now_ms)
{
	b->tokens = 0;
	b->updated_ms = now_ms;
	b->started_ms = now_ms;
}

/*
 * Takes up to `want` probes out of the budget and returns the number granted.
 * `least` of them (the first probes of a request) may be taken on credit, up
 * to the largest debt; the others need tokens.
 */
unsigned probe_budget_take(struct probe_budget *b, const struct probe_rate *r,
			   unsigned servers, unsigned want, unsigned least,
			   int64_t now_ms)
{
	unsigned n = r->instances ? r->instances : 1;
	double full_rate = r->per_server_s * servers / n;
	double rate = REFILL_FRACTION * full_rate;
	double granted;

	b->tokens += rate * (double)(now_ms - b->updated_ms) / 1000;
	if (b->tokens > rate * BURST_S)
		b->tokens = rate * BURST_S;
	b->updated_ms = now_ms;
	granted = b->tokens;
	if (granted < least)
		granted = b->tokens + max_debt(b, full_rate, now_ms) >= least
				  ? least
				  : 0;
	if (granted > want)
		granted = want;
	b->tokens -= (unsigned)granted;
	return (unsigned)granted;
}
