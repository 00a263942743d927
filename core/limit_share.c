#include <math.h>
#include <string.h>

#include "common/event.h"
#include "core/limit_share.h"

/* The users' rule: so many times what the limit allows, and so many more. */
static const double RULE_FACTOR = 1.5;
static const double RULE_SLACK = 5;

/* Of these this much is given out as savings, see the head of the header. */
static const double SAVED_S = 1.5;
static const double SAVED_SLACK = 3;

/*
 * With a lower limit nobody would ever send, and so nobody would hear that it has
 * ended: requests a second of all instances together, which the slack holds.
 */
static const double LEAST_PER_S = 0.1;

/* Each holder earns a request in so long, if there is one other than none. */
static const double HOLDER_EARNS_S = 4;

/* Tokens are fractions that add up; a whole one may be short by rounding. */
static const double ALMOST = 1e-9;

enum { CELL_MS = 40 };

_Static_assert((LIMIT_INTERVALS - 1) * CELL_MS > LIMIT_WINDOW_MS,
	       "cells reach back a window");

/* Mixes an instance and a server to a number that all instances agree on. */
static uint64_t weight(uint32_t instance, uint32_t server)
{
	uint64_t x = (uint64_t)server << 32 | instance;

	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9;
	x = (x ^ x >> 27) * 0x94d049bb133111eb;
	return x ^ x >> 31;
}

/* How many instances go before this one in the server's order. */
static unsigned rank_of(uint32_t server, const struct limit_instances *s)
{
	uint64_t own = weight(s->list[0].id, server);
	unsigned rank = 0;

	for (unsigned i = 1; i < s->n; i++)
		rank += weight(s->list[i].id, server) > own;
	return rank;
}

static double at_least(double a, double b)
{
	return a > b ? a : b;
}

static double at_most(double a, double b)
{
	return a < b ? a : b;
}

/* The whole of what is saved, and by how many. */
static double saved(double per_s)
{
	return floor(SAVED_S * per_s + SAVED_SLACK);
}

static double holders(double per_s, unsigned instances)
{
	double prompt = at_least(floor(per_s * HOLDER_EARNS_S), 1);

	return at_most(at_most(instances, saved(per_s)), prompt);
}

/*
 * limit_quota() tells what this instance holds of the limit of a server, which is
 * named by a number that is the same on all instances.
 */
struct limit_quota limit_quota(double per_s, uint32_t server,
			       const struct limit_instances *s)
{
	double window = per_s * LIMIT_WINDOW_MS / 1000;
	double k = holders(per_s, s->n);
	double most;

	if (s->n == 0 || rank_of(server, s) >= k)
		return (struct limit_quota){.held = false};
	most = floor((RULE_FACTOR * window + RULE_SLACK) / k);
	return (struct limit_quota){
		.held = true,
		.rate_s = at_least(per_s, LEAST_PER_S) / k,
		.depth = saved(per_s) / k,
		.max_in_window = (unsigned)at_most(most, UINT16_MAX),
	};
}

/*
 * limit_share_init() makes one that holds nothing yet. `saved`: this lifetime has
 * been there from before the limit, so what it may save is there at once.
 */
void limit_share_init(struct limit_share *s, bool saved, int64_t now_ms)
{
	memset(s, 0, sizeof(*s));
	s->tokens = saved ? HUGE_VAL : 0;
	s->updated_ms = now_ms;
}

static void earn(struct limit_share *s, int64_t now_ms)
{
	s->tokens += s->quota.rate_s * (double)(now_ms - s->updated_ms) / 1000;
	if (s->tokens > s->quota.depth)
		s->tokens = s->quota.depth;
	s->updated_ms = now_ms;
}

/* limit_share_set_quota() takes another part; one that held none earns from nothing. */
void limit_share_set_quota(struct limit_share *s,
			   const struct limit_quota *part, int64_t now_ms)
{
	if (s->quota.held)
		earn(s, now_ms);
	s->quota = *part;
	s->updated_ms = now_ms;
	if (!part->held)
		s->tokens = 0;
	if (s->tokens > part->depth)
		s->tokens = part->depth;
}

/* Moves on to the cell of now_ms and clears those passed over. */
static unsigned advance(struct limit_share *s, int64_t now_ms)
{
	int64_t cell = now_ms / CELL_MS;
	int64_t first = s->newest + 1;

	if (cell <= s->newest)
		return (unsigned)(s->newest % LIMIT_INTERVALS);
	if (first <= cell - LIMIT_INTERVALS)
		first = cell - LIMIT_INTERVALS + 1;
	for (int64_t i = first; i <= cell; i++)
		s->ended[i % LIMIT_INTERVALS] = 0;
	s->newest = cell;
	return (unsigned)(cell % LIMIT_INTERVALS);
}

/* Sends that may have reached the server in the window that ends now. */
static unsigned in_window(struct limit_share *s, int64_t now_ms)
{
	unsigned n = s->in_flight;

	advance(s, now_ms);
	for (int64_t c = s->newest; c >= 0 && s->newest - c < LIMIT_INTERVALS;
	     c--) {
		if ((c + 1) * CELL_MS <= now_ms - LIMIT_WINDOW_MS)
			break;
		n += s->ended[c % LIMIT_INTERVALS];
	}
	return n;
}

/* limit_share_allows() tells whether one more request may be sent now. */
bool limit_share_allows(struct limit_share *s, int64_t now_ms)
{
	if (!s->quota.held)
		return false;
	earn(s, now_ms);
	return s->tokens >= 1 - ALMOST &&
	       in_window(s, now_ms) < s->quota.max_in_window;
}

/*
 * limit_share_next_ms() tells in how many ms one may be sent as far as what is
 * earned goes; -1: never, as nothing is held.
 */
int64_t limit_share_next_ms(struct limit_share *s, int64_t now_ms)
{
	if (!s->quota.held)
		return -1;
	earn(s, now_ms);
	if (s->tokens >= 1 - ALMOST)
		return 0;
	return (int64_t)ceil((1 - s->tokens) / s->quota.rate_s * 1000);
}

/* limit_share_take() takes one, before it is sent. */
void limit_share_take(struct limit_share *s, int64_t now_ms)
{
	earn(s, now_ms);
	s->tokens -= 1;
	s->in_flight++;
}

/* limit_share_send_done() says that a send has ended, answered or not. */
void limit_share_send_done(struct limit_share *s, int64_t now_ms)
{
	mp_invariant(s->in_flight > 0,
		     "a limited send ended that wasn't taken");
	s->in_flight--;
	s->ended[advance(s, now_ms)]++;
}
