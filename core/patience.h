/*
 * How much of its time a caller has used up before it came here. Callers name
 * the time that they still wait, not the time that they had, so that is
 * worked out from what the others of the class name.
 */
#ifndef MP_CORE_PATIENCE_H
#define MP_CORE_PATIENCE_H

#include <stdbool.h>
#include <stdint.h>

enum { PATIENCE_SEEN = 32, SPREAD_SEEN = 32 };

/* The time that callers of a class give a request. */
struct patience {
	uint32_t seen[PATIENCE_SEEN]; /* what the last requests named */
	unsigned n;
	uint32_t limit_ms; /* 0: not known yet */
};

/* By how much callers' first attempts differ, of all classes together. */
struct patience_spread {
	double seen[SPREAD_SEEN]; /* shares of the limit that were missing */
	unsigned n;
	double share;
};

void patience_note(struct patience *p, uint32_t left_ms);
void patience_spread_note(struct patience_spread *s, const struct patience *p,
			  uint32_t left_ms, bool calm);
double patience_spent_ms(const struct patience *p,
			 const struct patience_spread *s, uint32_t left_ms);

#endif
