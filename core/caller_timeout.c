#include <stdlib.h>
#include <string.h>

#include "core/mechanisms.h"
#include "core/caller_timeout.h"

/*
 * First attempts all name nearly the same time, later ones what is left of
 * it. Callers make up to three attempts, and a few name more than usual; so
 * of the last 32 values the one that a sixth lie above is a first attempt's,
 * in calm as in the worst overload.
 */
enum { TIMEOUT_RANK = CALLER_TIMEOUT_SAMPLES / 6 };

/* First attempts differ by the time that their connections took. */
static const double SPENT_MIN_MS = 40;

/*
 * Some callers give each request a time of its own. Values that are missing
 * less than that from the limit may be first attempts; without knowing it a
 * third of them counted as late, got the slow servers and, when refused, came
 * back after a third of their time. Learned from this many values on; one in
 * sixteen may be a later attempt all the same.
 */
enum { SPREAD_SAMPLES_MIN = 8, SPREAD_RANK = SPREAD_SAMPLES / 16 };

/* The widest of few values falls short of the range by about this. */
static const double SPREAD_MARGIN = 1.1;

/* Beyond it a value says nothing of first attempts. */
static const double SPREAD_MAX = 0.4;

static int compare_down(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x > y ? -1 : x < y;
}

/* caller_timeout_record() takes in how long a caller says that it will wait. */
void caller_timeout_record(struct caller_timeout *p, uint32_t left_ms)
{
	uint32_t sorted[CALLER_TIMEOUT_SAMPLES];
	unsigned n;

	p->samples[p->n++ % CALLER_TIMEOUT_SAMPLES] = left_ms;
	n = p->n < CALLER_TIMEOUT_SAMPLES ? p->n : CALLER_TIMEOUT_SAMPLES;
	memcpy(sorted, p->samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_down);
	p->timeout_ms = sorted[n * TIMEOUT_RANK / CALLER_TIMEOUT_SAMPLES];
}

static int compare_shares_down(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x > y ? -1 : x < y;
}

/*
 * caller_timeout_spread_record() learns from a value of class p how first attempts
 * differ. `calm`: nothing was refused or failed lately, so that there are no
 * other attempts than first ones.
 */
void caller_timeout_spread_record(struct caller_timeout_spread *s,
				  const struct caller_timeout *p,
				  uint32_t left_ms, bool calm)
{
	double sorted[SPREAD_SAMPLES], missing;
	unsigned n;

	if (!calm || p->n < SPREAD_SAMPLES_MIN || left_ms >= p->timeout_ms)
		return;
	missing = 1 - (double)left_ms / p->timeout_ms;
	if (missing > SPREAD_MAX)
		return;
	s->samples[s->n++ % SPREAD_SAMPLES] = missing;
	n = s->n < SPREAD_SAMPLES ? s->n : SPREAD_SAMPLES;
	if (n < SPREAD_SAMPLES_MIN)
		return;
	memcpy(sorted, s->samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_shares_down);
	s->share = sorted[n * SPREAD_RANK / SPREAD_SAMPLES] * SPREAD_MARGIN;
}

/*
 * caller_timeout_spent_ms() returns how much of its time a caller has used up; 0
 * when it may be at its first attempt.
 */
double caller_timeout_spent_ms(const struct caller_timeout *p,
			       const struct caller_timeout_spread *s,
			       uint32_t left_ms)
{
	double spent = (double)p->timeout_ms - left_ms;
	double spread = s->share * p->timeout_ms;

	if (spent < SPENT_MIN_MS || spent < spread || !mechanisms.spent)
		return 0;
	/* On average it had half of the spread less than the limit. */
	return spread > SPENT_MIN_MS ? spent - spread / 2 : spent;
}
