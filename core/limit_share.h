/*
 * This instance's share of a backend server's limit. All instances together
 * keep to the rule that in any window of W seconds the server gets at most F
 * times what its limit of L requests per second allows, plus a slack B:
 *     F W L + B.
 * Instances neither count each other's sends nor coordinate them.
 *
 * The limit is divided among K instances, its holders. They are the first in an
 * order specific to the server (rendezvous hashing): all instances that know
 * the same instances agree on them, and different servers have different ones.
 * Each holder has a token bucket that refills at L / K per second, and whose
 * depth is a part of what the rule allows beyond W L:
 *     S = floor(0.75 (F - 1) W L + 0.6 B)
 *     K = min(instances, S, W L),  depth = S / K
 * With a depth of less than one request nothing would ever be sent. In a window
 * all holders together send at most what was saved and refilled, S + W L. A
 * bucket at every instance would exceed the rule by any number of sends beyond
 * the slack. The remainder of the rule covers sends that are delayed in
 * transit, instances that disagree for a moment about the holders (a new holder
 * or a new process starts with no tokens), and the rare send of an instance
 * without a quota that checks whether the limit has ended, see
 * server_limit_is_stale().
 *
 * K is at most W L, so that each holder gets one token in a window: at a low
 * limit that is how soon an instance learns that it has ended.
 *
 * peers_limit_participants() returns the instances that count. An instance that
 * counts too many of them takes less, which is safe. One that is silent keeps
 * its share, as it may be cut off and still serve; what it doesn't use is lost.
 *
 * A send may reach the server at any time until it has ended, if a link is
 * slow. So each holder also keeps to its part of the rule, (F W L + B) / K, in
 * the window that ends now, in which a send counts until it has ended and for
 * one window after that.
 */
#ifndef MP_CORE_LIMIT_SHARE_H
#define MP_CORE_LIMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LIMIT_WINDOW_MAX_MS = 4000,
	LIMIT_INTERVALS = 128, /* ring of counts of ended sends */
};

/* The rule for the requests of all instances together. */
struct limit_rule {
	double factor;	    /* on what the limit allows in a window */
	double slack;	    /* requests added to that */
	unsigned window_ms; /* at most LIMIT_WINDOW_MAX_MS */
};

/* The rule for limits that servers announce. */
extern const struct limit_rule limit_rule_announced;

/* Part of a limit that an instance may use. */
struct limit_quota {
	bool held;
	unsigned window_ms;	/* of the rule */
	double rate_s;		/* refill, requests per second */
	double depth;		/* requests that the bucket holds */
	unsigned max_in_window; /* sends, those in flight included */
};

struct limit_share {
	struct limit_quota quota;
	double tokens;
	int64_t updated_ms; /* time up to which tokens were added */
	unsigned in_flight; /* sends that have not ended */
	uint16_t ended[LIMIT_INTERVALS];
	int64_t newest; /* number of the newest interval */
};

/* An instance that may send to servers. */
struct limit_instance {
	uint32_t id;	    /* peer_id() */
	uint32_t reachable; /* 0: silent; 1: sends heartbeats */
};

/* All instances that this one knows; itself first. */
struct limit_instances {
	const struct limit_instance *list;
	unsigned n; /* 0: not known yet, no quota */
};

struct limit_quota limit_quota(const struct limit_rule *rule, double per_s,
			       uint32_t server,
			       const struct limit_instances *s);
void limit_share_init(struct limit_share *s, bool full, int64_t now_ms);
void limit_share_clear(struct limit_share *s, int64_t now_ms);
void limit_share_set_quota(struct limit_share *s,
			   const struct limit_quota *quota, int64_t now_ms);
bool limit_share_allows(struct limit_share *s, int64_t now_ms);
int64_t limit_share_next_ms(struct limit_share *s, int64_t now_ms);
void limit_share_take(struct limit_share *s, int64_t now_ms);
void limit_share_send_done(struct limit_share *s, int64_t now_ms);

#endif
