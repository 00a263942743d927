/*
 * Distribution of a hub's messages in a large deployment: directly to the peers
 * of its own data centre, and to one relay in each other data centre, which
 * forwards them there. So the hub's sends grow with the size of a data centre.
 * Two relays take turns, so that one that is silent costs at most every second
 * message. No I/O; times are passed in.
 */
#ifndef MP_MEMBER_DISTRIBUTION_H
#define MP_MEMBER_DISTRIBUTION_H

#include "member/peers.h"

struct distribution {
	GPtrArray *direct; /* struct peer * that get the message itself */
	GPtrArray *relays; /* struct peer * that forward it */
};

void distribution_plan(const struct peer_table *t, unsigned turn,
		       bool new_direct, int64_t now_ms,
		       struct distribution *out);
void distribution_clear(struct distribution *d);
bool distribution_forwards_to(const struct peer_table *t, const struct peer *p,
			      const char *origin, int64_t now_ms);

#endif
