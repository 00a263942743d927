/*
 * A stand-in's limit: how many requests a second it says it takes from all
 * instances together, and whether it gets more than the users' rule allows. The
 * rule is judged more strictly than they do: all requests count, also those of
 * instances that were not told yet.
 */
#ifndef MP_STAND_NEED_H
#define MP_STAND_NEED_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct need {
	bool named;
	double per_s;
	int64_t since_ms;
	GQueue arrived; /* when each request of the last window came, in ms */
	uint64_t got;	/* while a limit stands and the rule holds */
	bool judged;
	unsigned worst; /* requests in the worst window */
	double allowed; /* in that */
};

void need_init(struct need *n);
void need_set(struct need *n, bool named, double per_s, int64_t now_ms);
void need_arrived(struct need *n, int64_t now_ms);

#endif
