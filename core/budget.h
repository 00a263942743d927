/*
 * The retry budget of one service: how many more sends than requests this
 * instance may make. All instances together must stay under
 *     ratio x requests + slack
 * in every window, without a shared counter; so each takes the ratio of its
 * own requests and an equal part of the slack.
 */
#ifndef MP_CORE_BUDGET_H
#define MP_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum { BUDGET_CELLS = 16 };

struct budget_rule {
	double ratio;
	double slack;	    /* sends, of all instances together */
	uint32_t window_ms; /* the window that the rule looks at */
	unsigned instances; /* that share the slack */
};

struct retry_budget {
	uint32_t requests[BUDGET_CELLS], extra[BUDGET_CELLS];
	int64_t cell; /* number of the newest cell */
};

void budget_request(struct retry_budget *b, const struct budget_rule *r,
		    int64_t now_ms);
bool budget_allows(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms);
double budget_left(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms);
void budget_spend(struct retry_budget *b, const struct budget_rule *r,
		  int64_t now_ms);

#endif
