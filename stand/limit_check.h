/*
 * A stand-in's limit: how many requests a second it says it takes from all
 * instances together, and whether it gets more than the users' rule allows. The
 * rule is judged more strictly than they do: all requests count, also those of
 * instances that were not told yet.
 */
#ifndef MP_STAND_LIMIT_CHECK_H
#define MP_STAND_LIMIT_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct limit_check {
	bool active;
	double per_s;
	int64_t set_ms;
	GQueue arrived; /* when each request of the last window came, in ms */
	uint64_t requests; /* while a limit stands and the rule holds */
	bool has_worst;
	unsigned worst; /* requests in the worst window */
	double allowed; /* in that */
};

void limit_check_init(struct limit_check *n);
void limit_check_set(struct limit_check *n, bool named, double per_s,
		     int64_t now_ms);
void limit_check_request(struct limit_check *n, int64_t now_ms);

#endif
