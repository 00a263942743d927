/*
 * How many questions for load one instance may ask the backend servers. All
 * instances together keep to a rate a server, also on the busiest moments: a
 * token bucket on each instance holds its part.
 */
#ifndef MP_CORE_ASK_BUDGET_H
#define MP_CORE_ASK_BUDGET_H

#include <stdint.h>

struct ask_rule {
	double per_server_s; /* questions a server and second, of all */
	unsigned instances;  /* that share them */
};

struct ask_budget {
	double tokens; /* below zero: first questions went ahead of time */
	int64_t at_ms; /* tokens are right as of then */
	int64_t began_ms;
};

void ask_budget_init(struct ask_budget *b, int64_t now_ms);

unsigned ask_budget_take(struct ask_budget *b, const struct ask_rule *r,
			 unsigned servers, unsigned want, unsigned least,
			 int64_t now_ms);

#endif
