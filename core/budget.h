/*
 * The retry budget of one service: how many more sends than requests this
 * instance may make. All instances together must keep to the system's rule: in
 * any window W no more sends beyond the first of their request than
 *     ratio x requests + slack
 * where the requests are those of W, of the window before it or of the one half
 * a window before it, whichever has most.
 *
 * No instance knows how many others there are, what they have spent, nor what
 * the process before it spent: counts go wrong in cuts, memory is lost with a
 * process. So each lifetime of a process keeps to a rule of its own, in every
 * window W, that adds up to the system's whatever the lifetimes are:
 *     sends <= ratio x mean of its requests in the three windows + credit
 * What is summed are its own sends and its own requests, with the same weights
 * everywhere, so the sum over all lifetimes is at most ratio times the mean of
 * the system's three windows, which is no more than the largest, and the credits.
 * Callers may move, instances may come and go: a lifetime that begins owns
 * nothing, one that ends takes with it what it had not spent. An instance that
 * took the largest of its own three windows would not do: each could take another
 * one.
 *
 * The credit is there as sends come whole: without it a service with few requests
 * an instance would never be sent to again. A lifetime that begins in W has one
 * that was drawn evenly from 0 to 1, its rounding, so that the sends of many
 * lifetimes are as many as they paid for on the mean, however many there are; of
 * k the sum is over by d with a chance of at most exp(-2 d^2 / k) (Hoeffding),
 * for 30 and 160 lifetimes 1e-5. One that was there when W began has besides an
 * equal part of half of the slack, but never more than 1 in all. So a wrong count
 * of instances, in a cut, can't give more than one send to each that lives.
 *
 * The rest of the slack is room for that, and for what the sum can't see: a
 * request counts here when it was read, not when its caller sent it.
 */
#ifndef MP_CORE_BUDGET_H
#define MP_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/*
	 * Time is cut into cells. A cell that lies partly in a window counts in
	 * full for sends and not at all for requests: with 100 a window that
	 * costs 2 in 100 of what may be sent.
	 */
	BUDGET_INTERVALS_PER_WINDOW = 100,
	/*
	 * Windows begin up to one before now, and look one further back; a
	 * power of two, so that a cell is found by a mask.
	 */
	BUDGET_INTERVALS = 256,
};

struct budget_params {
	double ratio;
	double slack;	    /* sends, of all instances together */
	uint32_t window_ms; /* the window that the rule looks at */
	unsigned instances; /* the most that this lifetime knew of at once */
};

/* Times are by a clock that goes on while the machine is suspended. */
struct retry_budget {
	uint32_t requests[BUDGET_INTERVALS];
	uint32_t ended[BUDGET_INTERVALS]; /* extra sends, by when they ended */
	uint32_t window_ms;		  /* that the cells divide */
	int64_t newest;			  /* number of the newest cell */
	uint32_t in_flight;		  /* extra sends that have not ended */
	int64_t first_interval;		  /* the cell of its first request */
	double rounding;		  /* 0 to 1, of this lifetime */
};

/* Why a request goes to one more server. */
enum extra_cause {
	EXTRA_RETRY,  /* the send before brought no answer */
	EXTRA_HEDGE,  /* beside it, so that an answer can be on time */
	EXTRA_RESCUE, /* beside it, as no answer may ever come */
	EXTRA_CAUSES,
};

/*
 * What one lifetime of an instance did at a service, for logs and metrics. The
 * sums over all lifetimes are what the system's rule looks at.
 */
struct budget_stats {
	uint64_t requests;
	uint64_t spent[EXTRA_CAUSES];  /* sends beyond a request's first */
	uint64_t denied[EXTRA_CAUSES]; /* wanted, but the budget was used up */
};

/* What the newest window holds, as this instance counts it. */
struct budget_window {
	unsigned requests, spent;
	double left; /* more extra sends that keep to the rule now */
};

void budget_init(struct retry_budget *b, double rounding);
void budget_add_request(struct retry_budget *b, const struct budget_params *r,
			int64_t now_ms);
bool budget_allows(const struct retry_budget *b, const struct budget_params *r,
		   int64_t now_ms);
double budget_left(const struct retry_budget *b, const struct budget_params *r,
		   int64_t now_ms);
void budget_spend(struct retry_budget *b);
void budget_send_done(struct retry_budget *b, const struct budget_params *r,
		      int64_t now_ms);
void budget_refund(struct retry_budget *b);
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_params *r,
				   int64_t now_ms);
uint64_t budget_spent(const struct budget_stats *a);
const char *extra_cause_name(enum extra_cause cause);

#endif
