/*
 * What one instance may send to a backend server that names a limit. All instances
 * together keep to the users' rule: in any 4 s the server gets at most 1.5 times what
 * its limit of L requests a second allows, and 5 more,
 *     6 L + 5.
 * No instance counts what the others send, and none asks another.
 *
 * Few hold a limit: K of the instances, the first in an order that each server has
 * of its own (rendezvous hashing), so that all agree on them who know the same
 * instances, and different servers are held by different ones. Each has a bucket
 * that earns L / K a second, and saves a part of the rule's slack:
 *     S = floor(1.5 L + 3),  K = min(instances, S, 4 L),  depth = S / K
 * A depth of one request is the least with which anything is ever sent. In 4 s all
 * send what was saved and what they earned, S + 4 L <= 5.5 L + 3. With a bucket at
 * every instance they would be over by any number beyond the slack. What is left of
 * the rule, 0.5 L + 2, is for sends that are held up on the way, for instances that
 * disagree for a moment about who holds (one that comes to hold a limit, or begins
 * to live, owns nothing yet), and for the rare send of one that holds nothing, by
 * which the end of a limit is heard, see server_limit_is_stale().
 *
 * K is no more than 4 L so that each holder earns one request in 4 s: at a low
 * limit that is how soon anybody hears that it has ended.
 *
 * Which instances there are is peers_sharers()'s matter: one that counts some too
 * many holds less, so mistakes that way are safe. One that has merely fallen silent
 * keeps its part, as it may be cut off and serve on; what it doesn't use is lost.
 *
 * A send may reach the server at any moment until it has ended, when a link was
 * held up. So each holder besides keeps to its whole part of the rule, (6 L + 5) / K,
 * in the window that ends now, in which a send counts until it has ended and for a
 * window after.
 */
#ifndef MP_CORE_LIMIT_SHARE_H
#define MP_CORE_LIMIT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LIMIT_WINDOW_MS = 4000, /* the rule's */
	LIMIT_INTERVALS = 128,	/* in which ended sends are counted */
};

/* What an instance holds of a limit. */
struct limit_quota {
	bool held;
	double rate_s;		/* requests a second that it earns */
	double depth;		/* requests that it may save */
	unsigned max_in_window; /* in a window, those on their way included */
};

struct limit_share {
	struct limit_quota quota;
	double tokens;
	int64_t updated_ms; /* tokens are right as of then */
	unsigned in_flight; /* sends that have not ended */
	uint16_t ended[LIMIT_INTERVALS];
	int64_t newest; /* number of the newest */
};

/* An instance that may be sending to servers. */
struct limit_instance {
	uint32_t id;	    /* peer_id() */
	uint32_t reachable; /* 1: it is heard of; 0: it has fallen silent */
};

/* All of them, as one knows them; itself first. */
struct limit_instances {
	const struct limit_instance *list;
	unsigned n; /* 0: not known yet; nothing is held */
};

struct limit_quota limit_quota(double per_s, uint32_t server,
			       const struct limit_instances *s);
void limit_share_init(struct limit_share *s, bool saved, int64_t now_ms);
void limit_share_set_quota(struct limit_share *s,
			   const struct limit_quota *part, int64_t now_ms);
bool limit_share_allows(struct limit_share *s, int64_t now_ms);
int64_t limit_share_next_ms(struct limit_share *s, int64_t now_ms);
void limit_share_take(struct limit_share *s, int64_t now_ms);
void limit_share_send_done(struct limit_share *s, int64_t now_ms);

#endif
