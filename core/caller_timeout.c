#include <stdlib.h>
#include <string.h>

#include "core/mechanisms.h"
#include "core/caller_timeout.h"

/*
 * First attempts all carry nearly the same time, later ones what remains of it.
 * Callers make up to three attempts, and a few carry more than usual. So of the
 * last 32 values, the one that a sixth of them exceed belongs to a first
 * attempt, under normal load as well as in the worst overload.
 */
enum { TIMEOUT_RANK = CALLER_TIMEOUT_SAMPLES / 6 };

/* First attempts differ by up to their connection setup time. */
static const double SPENT_MIN_MS = 40;

/*
 * Some callers use a different timeout for each request. Values that fall short
 * of the timeout by less than this spread may be first attempts; without it a
 * third of those counted as late, got the slow servers and, if refused,
 * were given a third of their time as Retry-After. The spread needs
 * SPREAD_SAMPLES_MIN samples; one in sixteen is ignored, as it may belong to a
 * later attempt.
 */
enum { SPREAD_SAMPLES_MIN = 8, SPREAD_RANK = SPREAD_SAMPLES / 16 };

/* The maximum of a few samples underestimates the range by about this. */
static const double SPREAD_MARGIN = 1.1;

/* Larger shortfalls don't come from first attempts. */
static const double SPREAD_MAX = 0.4;

/* Orders values for qsort(), largest first. */
static int compare_down(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x > y ? -1 : x < y;
}

/* caller_timeout_record() adds the remaining time of a request. */
void caller_timeout_record(struct caller_timeout *t, uint32_t left_ms)
{
	uint32_t sorted[CALLER_TIMEOUT_SAMPLES];
	unsigned n;

	t->samples[t->n++ % CALLER_TIMEOUT_SAMPLES] = left_ms;
	n = t->n < CALLER_TIMEOUT_SAMPLES ? t->n : CALLER_TIMEOUT_SAMPLES;
	memcpy(sorted, t->samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_down);
	t->timeout_ms = sorted[n * TIMEOUT_RANK / CALLER_TIMEOUT_SAMPLES];
}

/* Orders shares for qsort(), largest first. */
static int compare_shares_down(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x > y ? -1 : x < y;
}

/*
 * caller_timeout_spread_record() adds the remaining time of a request of class
 * t to the spread. `first_only`: no request was refused or failed recently, so
 * all requests are first attempts.
 */
void caller_timeout_spread_record(struct caller_timeout_spread *s,
				  const struct caller_timeout *t,
				  uint32_t left_ms, bool first_only)
{
	double sorted[SPREAD_SAMPLES], shortfall;
	unsigned n;

	if (!first_only || t->n < SPREAD_SAMPLES_MIN ||
	    left_ms >= t->timeout_ms)
		return;
	shortfall = 1 - (double)left_ms / t->timeout_ms;
	if (shortfall > SPREAD_MAX)
		return;
	s->samples[s->n++ % SPREAD_SAMPLES] = shortfall;
	n = s->n < SPREAD_SAMPLES ? s->n : SPREAD_SAMPLES;
	if (n < SPREAD_SAMPLES_MIN)
		return;
	memcpy(sorted, s->samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_shares_down);
	s->share = sorted[n * SPREAD_RANK / SPREAD_SAMPLES] * SPREAD_MARGIN;
}

/*
 * caller_timeout_spent_ms() returns how much of its timeout a caller has spent;
 * 0 if this may be its first attempt.
 */
double caller_timeout_spent_ms(const struct caller_timeout *t,
			       const struct caller_timeout_spread *s,
			       uint32_t left_ms)
{
	double spent = (double)t->timeout_ms - left_ms;
	double spread = s->share * t->timeout_ms;

	if (spent < SPENT_MIN_MS || spent < spread || !mechanisms.spent)
		return 0;
	/* On average its timeout is below the estimate by half the spread. */
	return spread > SPENT_MIN_MS ? spent - spread / 2 : spent;
}
