#include <math.h>
#include <string.h>

#include "core/quota.h"

/* Part of the overshoot that is distributed as bucket depth. */
static const double DEPTH_OF_OVERSHOOT = 0.4;

/*
 * Depth of a bucket whose quota has no burst: it saves nothing but grants one
 * request as soon as the last one is paid for.
 */
static const double MIN_DEPTH = 0.01;

/* Part of a bucket that late requests leave to others. */
static const double KEPT_FROM_LATE = 0.25;

/* Requests per second for which a quota gets one more holder. */
static const double RATE_PER_HOLDER_S = 10;

/* Depth that each further holder must get. */
static const double DEPTH_PER_HOLDER = 3;

/*
 * Holders of a small quota. When a fourth of all instances is lost, few quotas
 * lose more than half of their holders.
 */
static const double MIN_HOLDERS = 8;

static double max(double a, double b)
{
	return a > b ? a : b;
}

static double min(double a, double b)
{
	return a < b ? a : b;
}

/* Returns what the quota allows in a window, in requests. */
static double in_window(const struct quota_rule *rule,
			const struct quota_terms *q)
{
	return q->rate_s * rule->window_s + q->burst;
}

/* Returns what all instances together may run in a window. */
static double most_in_window(const struct quota_rule *rule,
			     const struct quota_terms *q)
{
	return in_window(rule, q) * (1 + rule->overshoot) + rule->slack;
}

/* Returns the sum of the depths of all buckets. */
static double total_depth(const struct quota_rule *rule,
			  const struct quota_terms *q)
{
	return q->burst +
	       DEPTH_OF_OVERSHOOT * rule->overshoot * in_window(rule, q);
}

/*
 * Returns among how many instances a quota is divided. Each of them may run one
 * request into debt, which the rule must have room for.
 */
unsigned quota_holder_count(const struct quota_rule *rule,
			    const struct quota_terms *q, unsigned instances)
{
	double by_rate = min(q->rate_s / RATE_PER_HOLDER_S,
			     total_depth(rule, q) / DEPTH_PER_HOLDER);
	double k = max(MIN_HOLDERS, floor(by_rate));

	k = min(min(k, instances), QUOTA_HOLDERS_MAX);
	return (unsigned)max(min(k, floor(most_in_window(rule, q))), 1);
}

/* Returns the part of each of the holders. */
struct quota_part quota_part(const struct quota_rule *rule,
			     const struct quota_terms *q, unsigned holders)
{
	double most = floor(most_in_window(rule, q) / holders);

	return (struct quota_part){
		.rate_s = q->rate_s / holders,
		.depth = max(total_depth(rule, q) / holders, MIN_DEPTH),
		.max_grants = (unsigned)min(most, UINT16_MAX),
		.window_ms = (unsigned)(rule->window_s * 1000) + QUOTA_GRANT_MS,
	};
}

/* Adds the tokens of the time that has passed. */
static void refill(struct quota_bucket *b, int64_t now_ms)
{
	b->tokens += b->part.rate_s * (double)(now_ms - b->updated_ms) / 1000;
	if (b->tokens > b->part.depth)
		b->tokens = b->part.depth;
	b->updated_ms = now_ms;
}

/* Returns the length of the ring's intervals; the ring covers the window. */
static int64_t interval_ms(const struct quota_bucket *b)
{
	return b->part.window_ms / (QUOTA_INTERVALS - 2) + 1;
}

/*
 * Moves on to the interval of now_ms, clears those passed over and returns its
 * place in the ring.
 */
static unsigned advance(struct quota_bucket *b, int64_t now_ms)
{
	int64_t interval = now_ms / interval_ms(b);
	int64_t first = b->newest + 1;

	if (interval <= b->newest)
		return (unsigned)(b->newest % QUOTA_INTERVALS);
	if (first <= interval - QUOTA_INTERVALS)
		first = interval - QUOTA_INTERVALS + 1;
	for (int64_t i = first; i <= interval; i++)
		b->granted[i % QUOTA_INTERVALS] = 0;
	b->newest = interval;
	return (unsigned)(interval % QUOTA_INTERVALS);
}

/* Returns the grants in the window that ends now, less those given back. */
static unsigned grants_in_window(struct quota_bucket *b, int64_t now_ms)
{
	int64_t ms = interval_ms(b);
	unsigned n = 0;

	advance(b, now_ms);
	for (int64_t i = b->newest; i >= 0 && b->newest - i < QUOTA_INTERVALS;
	     i--) {
		if ((i + 1) * ms <= now_ms - b->part.window_ms)
			break;
		n += b->granted[i % QUOTA_INTERVALS];
	}
	return n;
}

/* Begins the holding. */
static void begin(struct quota_bucket *b, const struct quota_part *part,
		  const struct quota_start *start, int64_t now_ms)
{
	memset(b, 0, sizeof(*b));
	b->held = true;
	b->part = *part;
	b->tokens = start->full ? part->depth : -1;
	b->updated_ms = start->from_ms < now_ms ? start->from_ms : now_ms;
	b->open_ms = start->open_ms;
}

/*
 * Makes this instance a holder, or changes its part, which applies at once. A
 * lower one cuts the tokens; a higher one adds none, so that a quota that
 * changes often isn't granted several times. `start` is of a new holder.
 */
void quota_bucket_hold(struct quota_bucket *b, const struct quota_part *part,
		       const struct quota_start *start, int64_t now_ms)
{
	if (!b->held) {
		begin(b, part, start, now_ms);
		return;
	}
	refill(b, now_ms);
	if (b->part.window_ms != part->window_ms) {
		memset(b->granted, 0, sizeof(b->granted));
		b->newest = 0;
	} else if (part->max_grants < b->part.max_grants) {
		b->earlier_max = b->part.max_grants;
		b->earlier_until_ms = now_ms + part->window_ms;
	}
	b->part = *part;
	if (b->tokens > part->depth)
		b->tokens = part->depth;
}

/* Ends the holding; tokens are lost. */
void quota_bucket_lose(struct quota_bucket *b)
{
	memset(b, 0, sizeof(*b));
}

/* Returns how many grants the window may have. */
static unsigned max_grants(const struct quota_bucket *b, int64_t now_ms)
{
	if (now_ms < b->earlier_until_ms && b->earlier_max > b->part.max_grants)
		return b->earlier_max;
	return b->part.max_grants;
}

/*
 * Grants a request, if there are tokens. `late`: it can't be on time any more.
 * `stamp` tells when, for a later quota_bucket_give_back().
 */
bool quota_bucket_grant(struct quota_bucket *b, bool late, int64_t now_ms,
			uint32_t *stamp)
{
	double keep = late ? KEPT_FROM_LATE * b->part.depth : 0;

	refill(b, now_ms);
	if (now_ms < b->open_ms || b->tokens <= keep ||
	    grants_in_window(b, now_ms) >= max_grants(b, now_ms))
		return false;
	b->tokens -= 1;
	b->granted[advance(b, now_ms)]++;
	*stamp = (uint32_t)b->newest;
	return true;
}

/* Returns the grants in the window that ends now. */
unsigned quota_bucket_used(struct quota_bucket *b, int64_t now_ms)
{
	return b->held ? grants_in_window(b, now_ms) : 0;
}

/* Takes back a grant whose request never ran. */
void quota_bucket_give_back(struct quota_bucket *b, uint32_t stamp,
			    int64_t now_ms)
{
	uint16_t *count = &b->granted[stamp % QUOTA_INTERVALS];

	advance(b, now_ms);
	/* What has left the window can't be used again. */
	if (stamp > b->newest || b->newest - stamp >= QUOTA_INTERVALS ||
	    !*count)
		return;
	*count -= 1;
	refill(b, now_ms);
	b->tokens = min(b->tokens + 1, b->part.depth);
}

/* Returns the ms until there are tokens, at least 1. */
uint32_t quota_bucket_wait_ms(struct quota_bucket *b, int64_t now_ms)
{
	double ms;

	refill(b, now_ms);
	ms = b->tokens < 0 ? ceil(-b->tokens / b->part.rate_s * 1000) : 0;
	ms = max(ms, (double)(b->open_ms - now_ms));
	return (uint32_t)min(ms + 1, QUOTA_TURN_MAX_MS);
}

/*
 * Returns the ms after which a refused caller may come back. Callers get turns
 * one after the other at the rate of the quota.
 */
uint32_t quota_bucket_turn_ms(struct quota_bucket *b, int64_t now_ms)
{
	int64_t first = now_ms + quota_bucket_wait_ms(b, now_ms);

	b->next_turn_ms += (int64_t)ceil(1000 / b->part.rate_s);
	if (b->next_turn_ms < first)
		b->next_turn_ms = first;
	if (b->next_turn_ms > now_ms + QUOTA_TURN_MAX_MS)
		b->next_turn_ms = now_ms + QUOTA_TURN_MAX_MS;
	return (uint32_t)(b->next_turn_ms - now_ms);
}
