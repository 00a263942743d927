/*
 * Gossip about the requests that found no room, see core/shortage.h. A lost
 * report is a few requests that aren't counted; the next one is due soon.
 */
#ifndef MP_CORE_SHORTAGE_GOSSIP_H
#define MP_CORE_SHORTAGE_GOSSIP_H

#include "core/shortage.h"

enum {
	/* Fits one datagram, at most 12 bytes per service. */
	SHORTAGE_GOSSIP_MAX = 64,
	/* Requests that one report counts as, at most. */
	SHORTAGE_COUNT_MAX = 1000,
};

struct shortage_item {
	uint32_t service; /* g_str_hash() of its name */
	struct shortage_counts counts;
};

struct shortage_gossip {
	uint32_t peer; /* peer_id() of the sender */
	unsigned n;
	struct shortage_item items[SHORTAGE_GOSSIP_MAX];
};

#endif
