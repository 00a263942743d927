#include <stdlib.h>
#include <string.h>

#include "core/mechanisms.h"
#include "core/patience.h"

/*
 * First attempts all name nearly the same time, later ones what is left of
 * it. Callers make up to three attempts, and a few name more than usual; so
 * of the last 32 values the one that a sixth lie above is a first attempt's,
 * in calm as in the worst overload.
 */
enum { ABOVE_LIMIT = PATIENCE_SEEN / 6 };

/* First attempts differ by the time that their connections took. */
static const double SPENT_LEAST_MS = 40;

/*
 * Some callers give each request a time of its own. Values that are missing
 * less than that from the limit may be first attempts; without knowing it a
 * third of them counted as late, got the slow servers and, when refused, came
 * back after a third of their time. Learned from this many values on; one in
 * sixteen may be a later attempt all the same.
 */
enum { SPREAD_LEAST = 8, SPREAD_ABOVE = SPREAD_SEEN / 16 };

/* The widest of few values falls short of the range by about this. */
static const double SPREAD_MARGIN = 1.1;

/* Beyond it a value says nothing of first attempts. */
static const double SPREAD_MOST = 0.4;

static int compare_down(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x > y ? -1 : x < y;
}

/* patience_note() takes in how long a caller says that it will wait. */
void patience_note(struct patience *p, uint32_t left_ms)
{
	uint32_t sorted[PATIENCE_SEEN];
	unsigned n;

	p->seen[p->n++ % PATIENCE_SEEN] = left_ms;
	n = p->n < PATIENCE_SEEN ? p->n : PATIENCE_SEEN;
	memcpy(sorted, p->seen, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_down);
	p->limit_ms = sorted[n * ABOVE_LIMIT / PATIENCE_SEEN];
}

static int compare_shares_down(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x > y ? -1 : x < y;
}

/*
 * patience_spread_note() learns from a value of class p how first attempts
 * differ. `calm`: nothing was refused or failed lately, so that there are no
 * other attempts than first ones.
 */
void patience_spread_note(struct patience_spread *s, const struct patience *p,
			  uint32_t left_ms, bool calm)
{
	double sorted[SPREAD_SEEN], missing;
	unsigned n;

	if (!calm || p->n < SPREAD_LEAST || left_ms >= p->limit_ms)
		return;
	missing = 1 - (double)left_ms / p->limit_ms;
	if (missing > SPREAD_MOST)
		return;
	s->seen[s->n++ % SPREAD_SEEN] = missing;
	n = s->n < SPREAD_SEEN ? s->n : SPREAD_SEEN;
	if (n < SPREAD_LEAST)
		return;
	memcpy(sorted, s->seen, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_shares_down);
	s->share = sorted[n * SPREAD_ABOVE / SPREAD_SEEN] * SPREAD_MARGIN;
}

/*
 * patience_spent_ms() returns how much of its time a caller has used up; 0
 * when it may be at its first attempt.
 */
double patience_spent_ms(const struct patience *p,
			 const struct patience_spread *s, uint32_t left_ms)
{
	double spent = (double)p->limit_ms - left_ms;
	double spread = s->share * p->limit_ms;

	if (spent < SPENT_LEAST_MS || spent < spread || !mechanisms.spent)
		return 0;
	/* On average it had half of the spread less than the limit. */
	return spread > SPENT_LEAST_MS ? spent - spread / 2 : spent;
}
