/*
 * Retry budget of one service: how many sends beyond the first of each request
 * (extra sends) this instance may make. All instances together must keep to the
 * system's limit: in any window W at most
 *     ratio x requests + slack
 * extra sends, where the requests are those of W, of the window before it or of
 * the window that begins half a window before W, whichever has most.
 *
 * An instance doesn't know how many others there are, what they have sent, or
 * what its own process had sent before a restart: during a network partition
 * counts are wrong, and memory is lost with the process. So each process
 * lifetime keeps to a limit of its own in every window W, and these limits add
 * up to the system's, whatever the lifetimes are:
 *     sends <= ratio x mean of its requests in the three windows + credit
 * Each lifetime counts only its own sends and requests, with the same weights
 * everywhere. So the sum over all lifetimes is at most the ratio times the mean
 * of the system's three windows, which doesn't exceed the largest of them, plus
 * the credits. Callers may move and instances may come and go: a new lifetime
 * has nothing, and what a lifetime hasn't spent is lost with it. Taking the
 * largest of an instance's own three windows instead of the mean would break
 * the limit, as each instance could take a different one.
 *
 * The credit is needed because sends are whole: without it a service with few
 * requests per instance would never get an extra send. A lifetime that begins
 * within W has a credit drawn uniformly from 0 to 1 (its rounding), so that on
 * average the sends of many lifetimes equal what their requests pay for. The
 * sum of k such credits exceeds its mean by d with a probability of at most
 * exp(-2 d^2 / k) (Hoeffding): 1e-5 for d = 30 and k = 160. A lifetime that
 * existed when W began also has an equal part of half of the slack, but its
 * credit is never more than 1 in all. So an instance count that is wrong during
 * a partition adds at most one send per live instance.
 *
 * The rest of the slack covers those credits and what the sum doesn't include:
 * a request is counted here when it was read, not when its caller sent it.
 */
#ifndef MP_CORE_BUDGET_H
#define MP_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum {
	/*
	 * Sends and requests are counted per interval. An interval that lies
	 * partly in a window counts in full for sends and not at all for
	 * requests; with 100 per window that costs 2% of the budget.
	 */
	BUDGET_INTERVALS_PER_WINDOW = 100,
	/*
	 * Size of the ring of intervals: windows begin up to one window ago and
	 * extend one further back. A power of two, so that the index is a mask.
	 */
	BUDGET_INTERVALS = 256,
};

struct budget_params {
	double ratio;
	double slack;	    /* sends, of all instances together */
	uint32_t window_ms; /* length of the limit's window */
	unsigned instances; /* most known at once in this lifetime */
};

/* Times are of a clock that also runs while the machine is suspended. */
struct retry_budget {
	uint32_t requests[BUDGET_INTERVALS];
	uint32_t ended[BUDGET_INTERVALS]; /* extra sends, by their end */
	uint32_t window_ms;		  /* divided by the intervals */
	int64_t newest;			  /* number of the newest interval */
	uint32_t in_flight;		  /* extra sends that have not ended */
	int64_t first_interval;		  /* of its first request */
	double rounding;		  /* credit, 0 to 1 */
};

/* Why a request is sent to one more server. */
enum extra_cause {
	EXTRA_RETRY,  /* the previous send failed */
	EXTRA_HEDGE,  /* concurrent, so that the answer can be on time */
	EXTRA_RESCUE, /* concurrent, as the first may never be answered */
	EXTRA_CAUSES,
};

/*
 * Counts of one process lifetime for one service, for logs and metrics. The
 * system's limit applies to the sums over all lifetimes.
 */
struct budget_stats {
	uint64_t requests;
	uint64_t spent[EXTRA_CAUSES];  /* extra sends */
	uint64_t denied[EXTRA_CAUSES]; /* refused, as the budget was used up */
};

/* Counts of this instance in the newest window. */
struct budget_window {
	unsigned requests, spent;
	double left; /* extra sends that are still allowed */
};

void budget_init(struct retry_budget *b, double rounding);
void budget_add_request(struct retry_budget *b, const struct budget_params *p,
			int64_t now_ms);
bool budget_allows(const struct retry_budget *b, const struct budget_params *p,
		   int64_t now_ms);
double budget_left(const struct retry_budget *b, const struct budget_params *p,
		   int64_t now_ms);
void budget_spend(struct retry_budget *b);
void budget_send_done(struct retry_budget *b, const struct budget_params *p,
		      int64_t now_ms);
void budget_refund(struct retry_budget *b);
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_params *p,
				   int64_t now_ms);
uint64_t budget_spent(const struct budget_stats *s);
const char *extra_cause_name(enum extra_cause cause);

#endif
