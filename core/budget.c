#include <string.h>

#include "common/event.h"
#include "core/budget.h"

_Static_assert(BUDGET_INTERVALS > 2 * BUDGET_INTERVALS_PER_WINDOW + 1,
	       "the ring covers two windows");

/* Windows whose requests are averaged. */
enum { WINDOWS = 3 };

/*
 * Part of the slack that is distributed as credit. The rest covers the rounding
 * of lifetimes that begin in the window and what the sum doesn't include.
 */
static const double SLACK_SHARE = 0.5;

/* Initializes the budget of a new lifetime; rounding is drawn from [0, 1). */
void budget_init(struct retry_budget *b, double rounding)
{
	memset(b, 0, sizeof(*b));
	b->rounding = rounding;
}

/* Returns the length of an interval. */
static int64_t interval_ms(const struct budget_params *p)
{
	int64_t ms = (p->window_ms + BUDGET_INTERVALS_PER_WINDOW - 1) /
		     BUDGET_INTERVALS_PER_WINDOW;

	return ms > 0 ? ms : 1;
}

/* Returns the number of the interval at now_ms; it never goes back. */
static int64_t current_interval(const struct retry_budget *b,
				const struct budget_params *p, int64_t now_ms)
{
	int64_t interval = now_ms / interval_ms(p);

	return interval > b->newest ? interval : b->newest;
}

/* Returns the place of an interval in the ring. */
static unsigned ring_index(int64_t interval)
{
	return (unsigned)((uint64_t)interval % BUDGET_INTERVALS);
}

/* Returns the count of an interval; 0 for one that left the ring. */
static uint32_t count_at(const struct retry_budget *b, const uint32_t *counts,
			 int64_t interval)
{
	if (interval < 0 || interval > b->newest ||
	    b->newest - interval >= BUDGET_INTERVALS)
		return 0;
	return counts[ring_index(interval)];
}

/* Adds up the counts of the intervals from..to. */
static int64_t sum(const struct retry_budget *b, const uint32_t *counts,
		   int64_t from, int64_t to)
{
	int64_t n = 0;

	for (int64_t i = from; i <= to; i++)
		n += count_at(b, counts, i);
	return n;
}

/*
 * Sets the window length. Intervals of another length can't be converted, so a
 * change clears all counts but that of the sends in flight.
 */
static void set_window(struct retry_budget *b, const struct budget_params *p)
{
	uint32_t in_flight = b->in_flight;

	if (b->window_ms == p->window_ms)
		return;
	budget_init(b, b->rounding);
	b->in_flight = in_flight;
	b->window_ms = p->window_ms;
}

/*
 * Moves on to the interval of now_ms, clears those passed over and returns its
 * place in the ring.
 */
static unsigned advance(struct retry_budget *b, const struct budget_params *p,
			int64_t now_ms)
{
	int64_t interval, first;

	set_window(b, p);
	interval = current_interval(b, p, now_ms);
	first = b->newest + 1;
	if (b->first_interval == 0)
		b->first_interval = interval;
	if (first < interval - BUDGET_INTERVALS)
		first = interval - BUDGET_INTERVALS;
	for (int64_t i = first; i <= interval; i++) {
		b->requests[ring_index(i)] = 0;
		b->ended[ring_index(i)] = 0;
	}
	b->newest = interval;
	return ring_index(interval);
}

/* Counts a request for the service. */
void budget_add_request(struct retry_budget *b, const struct budget_params *p,
			int64_t now_ms)
{
	b->requests[advance(b, p, now_ms)]++;
}

/*
 * Counts an extra send. It counts in every window until it has ended, as it may
 * reach the server at any moment until then.
 */
void budget_spend(struct retry_budget *b)
{
	b->in_flight++;
}

/* Notes that an extra send has ended, answered or not. */
void budget_send_done(struct retry_budget *b, const struct budget_params *p,
		      int64_t now_ms)
{
	mp_invariant(b->in_flight > 0,
		     "an extra send ended that wasn't counted");
	b->in_flight--;
	b->ended[advance(b, p, now_ms)]++;
}

/* Takes back an extra send that was counted but never sent. */
void budget_refund(struct retry_budget *b)
{
	mp_invariant(b->in_flight > 0,
		     "an extra send was refunded that wasn't counted");
	b->in_flight--;
}

/* Returns the credit of a window that begins in interval `c`. */
static double credit(const struct retry_budget *b,
		     const struct budget_params *p, int64_t c)
{
	double share =
		p->slack * SLACK_SHARE / (p->instances ? p->instances : 1);

	if (p->slack < 1)
		return 0;
	if (c <= b->first_interval)
		return b->rounding;
	return b->rounding + share < 1 ? b->rounding + share : 1;
}

/*
 * Returns how many more extra sends this lifetime's limit allows now: those of
 * the tightest of all windows that contain now_ms.
 */
double budget_left(const struct retry_budget *b, const struct budget_params *p,
		   int64_t now_ms)
{
	int64_t now = current_interval(b, p, now_ms);
	int64_t window = p->window_ms / interval_ms(p);
	int64_t half = p->window_ms / 2 / interval_ms(p);
	/*
	 * Requests in the window that begins in interval `c`, in the one half
	 * a window before it and in the one before it; `c` begins at `now`.
	 */
	int64_t current = 0;
	int64_t half_before = sum(b, b->requests, now - half + 1, now);
	int64_t before = sum(b, b->requests, now - window + 1, now - 1);
	double sends = b->in_flight, least = 0;

	for (int64_t c = now; c >= now - BUDGET_INTERVALS_PER_WINDOW; c--) {
		double paid = p->ratio / WINDOWS *
			      (double)(current + half_before + before);

		sends += count_at(b, b->ended, c);
		if (c == now || paid + credit(b, p, c) - sends < least)
			least = paid + credit(b, p, c) - sends;
		current += count_at(b, b->requests, c);
		half_before += count_at(b, b->requests, c - half);
		half_before -= count_at(b, b->requests, c + half - 1);
		before += count_at(b, b->requests, c - window);
		before -= count_at(b, b->requests, c - 1);
	}
	return least;
}

/* Returns whether one more extra send is allowed. */
bool budget_allows(const struct retry_budget *b, const struct budget_params *p,
		   int64_t now_ms)
{
	return budget_left(b, p, now_ms) >= 1;
}

/* Returns what was sent in the newest window and what is still allowed. */
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_params *p,
				   int64_t now_ms)
{
	int64_t now = current_interval(b, p, now_ms);
	int64_t first = now - BUDGET_INTERVALS_PER_WINDOW;

	return (struct budget_window){
		.requests = (unsigned)sum(b, b->requests, first, now),
		.spent = b->in_flight + (unsigned)sum(b, b->ended, first, now),
		.left = budget_left(b, p, now_ms),
	};
}

/* Returns the number of all extra sends of a lifetime. */
uint64_t budget_spent(const struct budget_stats *s)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < EXTRA_CAUSES; i++)
		sum += s->spent[i];
	return sum;
}

/* Returns the name of a cause in logs and metrics. */
const char *extra_cause_name(enum extra_cause cause)
{
	static const char *const names[EXTRA_CAUSES] = {"retry", "second",
							"rescue"};

	return names[cause];
}
