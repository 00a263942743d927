#include <string.h>

#include "common/event.h"
#include "core/budget.h"

_Static_assert(BUDGET_INTERVALS > 2 * BUDGET_INTERVALS_PER_WINDOW + 1,
	       "cells reach back two windows");

/* The windows whose requests count, each for a third. */
enum { WINDOWS = 3 };

/*
 * Half of the slack is given out; the other half is room for the rounding of
 * lifetimes that begin in the window and for what the sum can't see.
 */
static const double SLACK_SHARE = 0.5;

/* budget_init() begins a lifetime's account; rounding is drawn from [0, 1). */
void budget_init(struct retry_budget *b, double rounding)
{
	memset(b, 0, sizeof(*b));
	b->rounding = rounding;
}

static int64_t cell_ms(const struct budget_params *r)
{
	int64_t ms = (r->window_ms + BUDGET_INTERVALS_PER_WINDOW - 1) /
		     BUDGET_INTERVALS_PER_WINDOW;

	return ms > 0 ? ms : 1;
}

static int64_t cell_number(const struct retry_budget *b,
			   const struct budget_params *r, int64_t now_ms)
{
	int64_t cell = now_ms / cell_ms(r);

	return cell > b->newest ? cell : b->newest;
}

static unsigned slot(int64_t cell)
{
	return (unsigned)((uint64_t)cell % BUDGET_INTERVALS);
}

/* What cell number `cell` holds; nothing is kept of cells long past. */
static uint32_t content(const struct retry_budget *b, const uint32_t *cells,
			int64_t cell)
{
	if (cell < 0 || cell > b->newest ||
	    b->newest - cell >= BUDGET_INTERVALS)
		return 0;
	return cells[slot(cell)];
}

static int64_t sum(const struct retry_budget *b, const uint32_t *cells,
		   int64_t from, int64_t to)
{
	int64_t n = 0;

	for (int64_t i = from; i <= to; i++)
		n += content(b, cells, i);
	return n;
}

/* Another window: cells of another width say nothing, so it begins anew. */
static void take_window(struct retry_budget *b, const struct budget_params *r)
{
	uint32_t out = b->in_flight;

	if (b->window_ms == r->window_ms)
		return;
	budget_init(b, b->rounding);
	b->in_flight = out;
	b->window_ms = r->window_ms;
}

/* Moves on to the cell of now_ms and clears those passed over. */
static unsigned advance(struct retry_budget *b, const struct budget_params *r,
			int64_t now_ms)
{
	int64_t cell, first;

	take_window(b, r);
	cell = cell_number(b, r, now_ms);
	first = b->newest + 1;
	if (b->first_interval == 0)
		b->first_interval = cell;
	if (first < cell - BUDGET_INTERVALS)
		first = cell - BUDGET_INTERVALS;
	for (int64_t i = first; i <= cell; i++) {
		b->requests[slot(i)] = 0;
		b->ended[slot(i)] = 0;
	}
	b->newest = cell;
	return slot(cell);
}

/* budget_add_request() counts a request for the service. */
void budget_add_request(struct retry_budget *b, const struct budget_params *r,
			int64_t now_ms)
{
	b->requests[advance(b, r, now_ms)]++;
}

/*
 * budget_spend() takes an extra send. It counts in every window until it has
 * ended, as the server may get it at any moment until then.
 */
void budget_spend(struct retry_budget *b)
{
	b->in_flight++;
}

/* budget_send_done() says that an extra send has ended, answered or not. */
void budget_send_done(struct retry_budget *b, const struct budget_params *r,
		      int64_t now_ms)
{
	mp_invariant(b->in_flight > 0, "an extra send ended that wasn't spent");
	b->in_flight--;
	b->ended[advance(b, r, now_ms)]++;
}

/* budget_refund() returns one that was taken, as it never left. */
void budget_refund(struct retry_budget *b)
{
	mp_invariant(b->in_flight > 0,
		     "an extra send came back that wasn't spent");
	b->in_flight--;
}

/* What a window that begins in cell `c` is given besides what requests pay. */
static double credit(const struct retry_budget *b,
		     const struct budget_params *r, int64_t c)
{
	double part =
		r->slack * SLACK_SHARE / (r->instances ? r->instances : 1);

	if (r->slack < 1)
		return 0;
	if (c <= b->first_interval)
		return b->rounding;
	return b->rounding + part < 1 ? b->rounding + part : 1;
}

/*
 * budget_left() says how many more extra sends keep to this lifetime's rule now:
 * in the tightest of all windows that begin up to a window ago. Later ones
 * don't hold what is sent now.
 */
double budget_left(const struct retry_budget *b, const struct budget_params *r,
		   int64_t now_ms)
{
	int64_t now = cell_number(b, r, now_ms);
	int64_t whole = r->window_ms / cell_ms(r);
	int64_t half = r->window_ms / 2 / cell_ms(r);
	/* Requests in the windows that begin in cell `c`, at first this one. */
	int64_t own = 0;
	int64_t halfway = sum(b, b->requests, now - half + 1, now);
	int64_t before = sum(b, b->requests, now - whole + 1, now - 1);
	double sends = b->in_flight, least = 0;

	for (int64_t c = now; c >= now - BUDGET_INTERVALS_PER_WINDOW; c--) {
		double paid =
			r->ratio / WINDOWS * (double)(own + halfway + before);

		sends += content(b, b->ended, c);
		if (c == now || paid + credit(b, r, c) - sends < least)
			least = paid + credit(b, r, c) - sends;
		own += content(b, b->requests, c);
		halfway += content(b, b->requests, c - half);
		halfway -= content(b, b->requests, c + half - 1);
		before += content(b, b->requests, c - whole);
		before -= content(b, b->requests, c - 1);
	}
	return least;
}

/* budget_allows() tells whether one more extra send keeps to the rule. */
bool budget_allows(const struct retry_budget *b, const struct budget_params *r,
		   int64_t now_ms)
{
	return budget_left(b, r, now_ms) >= 1;
}

/* budget_window() says what the newest window holds and still allows. */
struct budget_window budget_window(const struct retry_budget *b,
				   const struct budget_params *r,
				   int64_t now_ms)
{
	int64_t now = cell_number(b, r, now_ms);
	int64_t first = now - BUDGET_INTERVALS_PER_WINDOW;

	return (struct budget_window){
		.requests = (unsigned)sum(b, b->requests, first, now),
		.spent = b->in_flight + (unsigned)sum(b, b->ended, first, now),
		.left = budget_left(b, r, now_ms),
	};
}

/* budget_spent() adds up the extra sends of a lifetime. */
uint64_t budget_spent(const struct budget_stats *a)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < EXTRA_CAUSES; i++)
		sum += a->spent[i];
	return sum;
}

/* extra_cause_name() names a cause in logs and metrics. */
const char *extra_cause_name(enum extra_cause cause)
{
	static const char *const names[EXTRA_CAUSES] = {"retry", "second",
							"rescue"};

	return names[cause];
}
