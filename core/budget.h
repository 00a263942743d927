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

/* Why a request goes to one more server. */
enum extra_cause {
	EXTRA_RETRY,  /* the send before brought no answer */
	EXTRA_SECOND, /* beside it, so that an answer can be on time */
	EXTRA_RESCUE, /* beside it, as no answer may ever come */
	EXTRA_CAUSES,
};

/*
 * What one lifetime of an instance did at a service, for logs and metrics. The
 * sums over all lifetimes are what the system's rule looks at.
 */
struct budget_account {
	uint64_t requests;
	uint64_t spent[EXTRA_CAUSES];  /* sends beyond a request's first */
	uint64_t denied[EXTRA_CAUSES]; /* wanted, but the budget was used up */
};

/* What the newest window holds, as this instance counts it. */
struct budget_window {
	unsigned requests, spent;
	double left; /* more extra sends that keep to the rule now */
};

void budget_request(struct retry_budget *b, const struct budget_rule *r,
		    int64_t now_ms);
bool budget_allows(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms);
double budget_left(const struct retry_budget *b, const struct budget_rule *r,
		   int64_t now_ms);
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_rule *r, int64_t now_ms);
uint64_t budget_spent(const struct budget_account *a);
const char *extra_cause_name(enum extra_cause cause);
void budget_spend(struct retry_budget *b, const struct budget_rule *r,
		  int64_t now_ms);

#endif
