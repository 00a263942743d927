#include <math.h>
#include <string.h>

#include "common/event.h"
#include "core/limit_share.h"
#include "core/rendezvous.h"

const struct limit_rule limit_rule_announced = {
	.factor = 1.5, .slack = 5, .window_ms = 4000};

/* Parts of the rule that are distributed as bucket depth, see the header. */
static const double DEPTH_OF_EXCESS = 0.75;
static const double DEPTH_OF_SLACK = 0.6;

/*
 * Least refill, in requests per second of all instances together; the slack
 * covers it. With a lower limit no instance would ever send, and so none would
 * learn that the limit has ended.
 */
static const double MIN_PER_S = 0.1;

/* Sums of fractional tokens may miss a whole one by a rounding error. */
static const double EPSILON = 1e-9;

enum { INTERVAL_MS = 40 };

_Static_assert((LIMIT_INTERVALS - 1) * INTERVAL_MS > LIMIT_WINDOW_MAX_MS,
	       "the ring covers a window");

/* Returns how many instances precede this one in the server's order. */
static unsigned rank_of(uint32_t server, const struct limit_instances *s)
{
	uint64_t own = rendezvous_weight(s->list[0].id, server);
	unsigned rank = 0;

	for (unsigned i = 1; i < s->n; i++)
		rank += rendezvous_weight(s->list[i].id, server) > own;
	return rank;
}

/* Returns the larger number. */
static double max(double a, double b)
{
	return a > b ? a : b;
}

/* Returns the smaller number. */
static double min(double a, double b)
{
	return a < b ? a : b;
}

/* Returns what the limit allows in a window, in requests. */
static double in_window(const struct limit_rule *rule, double per_s)
{
	return per_s * rule->window_ms / 1000;
}

/* Returns the sum of all holders' bucket depths. */
static double total_depth(const struct limit_rule *rule, double per_s)
{
	double excess = (rule->factor - 1) * in_window(rule, per_s);

	return floor(DEPTH_OF_EXCESS * excess + DEPTH_OF_SLACK * rule->slack +
		     EPSILON);
}

/*
 * Returns the number of holders. Each gets a token within a window, unless
 * there is only one.
 */
static double holder_count(const struct limit_rule *rule, double per_s,
			   unsigned instances)
{
	double by_refill = max(floor(in_window(rule, per_s)), 1);

	return min(min(instances, total_depth(rule, per_s)), by_refill);
}

/*
 * Returns this instance's quota of a server's limit. The server is identified
 * by a number that is the same on all instances.
 */
struct limit_quota limit_quota(const struct limit_rule *rule, double per_s,
			       uint32_t server, const struct limit_instances *s)
{
	double k = holder_count(rule, per_s, s->n);
	double most;

	if (s->n == 0 || rank_of(server, s) >= k)
		return (struct limit_quota){.held = false};
	most = floor((rule->factor * in_window(rule, per_s) + rule->slack) / k);
	return (struct limit_quota){
		.held = true,
		.window_ms = rule->window_ms,
		.rate_s = max(per_s, MIN_PER_S) / k,
		.depth = total_depth(rule, per_s) / k,
		.max_in_window = (unsigned)min(most, UINT16_MAX),
	};
}

/*
 * Initializes a share without a quota. `full`: this process has run since
 * before the limit began, so its bucket is full when it gets a quota.
 */
void limit_share_init(struct limit_share *s, bool full, int64_t now_ms)
{
	memset(s, 0, sizeof(*s));
	s->tokens = full ? HUGE_VAL : 0;
	s->updated_ms = now_ms;
}

/* Refills the bucket. */
static void refill(struct limit_share *s, int64_t now_ms)
{
	s->tokens += s->quota.rate_s * (double)(now_ms - s->updated_ms) / 1000;
	if (s->tokens > s->quota.depth)
		s->tokens = s->quota.depth;
	s->updated_ms = now_ms;
}

/* Drops all tokens that were saved. */
void limit_share_clear(struct limit_share *s, int64_t now_ms)
{
	s->tokens = 0;
	s->updated_ms = now_ms;
}

/* Sets the quota; without a previous one the refill starts now. */
void limit_share_set_quota(struct limit_share *s,
			   const struct limit_quota *quota, int64_t now_ms)
{
	if (s->quota.held)
		refill(s, now_ms);
	s->quota = *quota;
	s->updated_ms = now_ms;
	if (!quota->held)
		s->tokens = 0;
	if (s->tokens > quota->depth)
		s->tokens = quota->depth;
}

/*
 * Moves on to the interval of now_ms, clears those passed over and returns its
 * place in the ring.
 */
static unsigned advance(struct limit_share *s, int64_t now_ms)
{
	int64_t interval = now_ms / INTERVAL_MS;
	int64_t first = s->newest + 1;

	if (interval <= s->newest)
		return (unsigned)(s->newest % LIMIT_INTERVALS);
	if (first <= interval - LIMIT_INTERVALS)
		first = interval - LIMIT_INTERVALS + 1;
	for (int64_t i = first; i <= interval; i++)
		s->ended[i % LIMIT_INTERVALS] = 0;
	s->newest = interval;
	return (unsigned)(interval % LIMIT_INTERVALS);
}

/* Returns the sends that may have arrived in the window that ends now. */
static unsigned sends_in_window(struct limit_share *s, int64_t now_ms)
{
	unsigned n = s->in_flight;

	advance(s, now_ms);
	for (int64_t c = s->newest; c >= 0 && s->newest - c < LIMIT_INTERVALS;
	     c--) {
		if ((c + 1) * INTERVAL_MS <= now_ms - s->quota.window_ms)
			break;
		n += s->ended[c % LIMIT_INTERVALS];
	}
	return n;
}

/* Returns whether one more request may be sent now. */
bool limit_share_allows(struct limit_share *s, int64_t now_ms)
{
	if (!s->quota.held)
		return false;
	refill(s, now_ms);
	return s->tokens >= 1 - EPSILON &&
	       sends_in_window(s, now_ms) < s->quota.max_in_window;
}

/*
 * Returns the ms until a token is available; -1: never, as there is no quota.
 * The limit per window isn't considered.
 */
int64_t limit_share_next_ms(struct limit_share *s, int64_t now_ms)
{
	if (!s->quota.held)
		return -1;
	refill(s, now_ms);
	if (s->tokens >= 1 - EPSILON)
		return 0;
	return (int64_t)ceil((1 - s->tokens) / s->quota.rate_s * 1000);
}

/* Takes a token, before a request is sent. */
void limit_share_take(struct limit_share *s, int64_t now_ms)
{
	refill(s, now_ms);
	s->tokens -= 1;
	s->in_flight++;
}

/* Notes that a send has ended, answered or not. */
void limit_share_send_done(struct limit_share *s, int64_t now_ms)
{
	mp_invariant(s->in_flight > 0,
		     "a limited send ended without a token taken");
	s->in_flight--;
	s->ended[advance(s, now_ms)]++;
}
