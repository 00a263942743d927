/*
 * Rate limit of a simulated backend server: how many requests per second it
 * accepts from all instances together, and whether it gets more than the users'
 * rule allows. The check is stricter than the rule: it counts all requests,
 * including those of instances that don't know the limit yet.
 */
#ifndef MP_STAND_LIMIT_CHECK_H
#define MP_STAND_LIMIT_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* Allowed in a window: what the limit does times a factor, plus a slack. */
struct limit_check_rule {
	double factor, slack;
	int64_t window_ms;
	int64_t grace_ms; /* not checked after a change of the limit */
};

/* The rate limit and the requests that arrived under it. */
struct limit_check {
	struct limit_check_rule rule;
	bool active;
	double per_s;
	int64_t set_ms;
	GQueue arrived;	   /* arrival times in the last window, ms */
	uint64_t requests; /* that were checked */
	bool has_worst;
	unsigned worst; /* requests in the window that exceeded most */
	double allowed; /* requests allowed in that window */
};

void limit_check_init(struct limit_check *n,
		      const struct limit_check_rule *rule);
void limit_check_set(struct limit_check *n, bool active, double per_s,
		     int64_t now_ms);
void limit_check_request(struct limit_check *n, int64_t now_ms);

#endif
