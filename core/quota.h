/*
 * Quotas of workspaces: answers the load of a workspace that sends more than it
 * may, at any number of instances. A workspace with a quota of R requests per
 * second and a burst of B gets, from all instances together, at most
 *     (R W + B) (1 + O) + S
 * requests run in any window of W seconds; O and S are the rule's overshoot and
 * slack. What lies below R and B is granted.
 *
 * It is divided among K holders, the first instances in an order specific to
 * the workspace; silent ones stay, so that no part is used twice. A holder's
 * token bucket grants while its tokens are positive; it starts in debt.
 * docs/design/quotas.md has the reasons.
 */
#ifndef MP_CORE_QUOTA_H
#define MP_CORE_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

enum {
	QUOTA_GRANT_MS = 200,	  /* how long a granted request may be sent */
	QUOTA_TURN_MAX_MS = 2000, /* latest turn named to a refused caller */
	QUOTA_INTERVALS = 128,	  /* ring of counts of grants */
	QUOTA_HOLDERS_MAX = 64,
};

/* The rule for the requests of all instances together. */
struct quota_rule {
	double window_s, overshoot, slack;
};

/* What a workspace may send; rate 0: no quota. */
struct quota_terms {
	double rate_s, burst;
};

/* The part of a quota that one holder grants. */
struct quota_part {
	double rate_s;	     /* refill, requests per second */
	double depth;	     /* requests that the bucket holds */
	double start_debt;   /* requests, of a process that starts */
	unsigned max_grants; /* in the longer window */
	unsigned window_ms;  /* that window */
};

/* How a new holder starts. */
struct quota_start {
	bool full; /* nothing of this quota can have been granted before */
	int64_t from_ms; /* else tokens are added for the time since then */
	int64_t open_ms; /* nothing is granted before */
};

/* A holder's state of one quota. Times are of one monotonic clock. */
struct quota_bucket {
	bool held;
	struct quota_part part;
	double tokens; /* at least -1 */
	int64_t updated_ms;
	int64_t open_ms; /* grants nothing before */
	/* Grants under a higher quota may be in the window until then. */
	unsigned earlier_max;
	int64_t earlier_until_ms;
	int64_t next_turn_ms; /* last time that was named to a refused one */
	uint16_t granted[QUOTA_INTERVALS];
	int64_t newest; /* number of the newest interval */
};

unsigned quota_holder_count(const struct quota_rule *rule,
			    const struct quota_terms *q, unsigned instances);
struct quota_part quota_part(const struct quota_rule *rule,
			     const struct quota_terms *q, unsigned holders);
void quota_bucket_hold(struct quota_bucket *b, const struct quota_part *part,
		       const struct quota_start *start, int64_t now_ms);
void quota_bucket_lose(struct quota_bucket *b);
bool quota_bucket_grant(struct quota_bucket *b, bool late, int64_t now_ms,
			uint32_t *stamp);
void quota_bucket_give_back(struct quota_bucket *b, uint32_t stamp,
			    int64_t now_ms);
unsigned quota_bucket_used(struct quota_bucket *b, int64_t now_ms);
uint32_t quota_bucket_wait_ms(struct quota_bucket *b, int64_t now_ms);
uint32_t quota_bucket_turn_ms(struct quota_bucket *b, int64_t now_ms);

#endif
