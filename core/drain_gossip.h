/*
 * Gossip about backend servers that have announced that they drain. For all
 * instances an announcement holds until that start of the server ends, so its
 * age doesn't matter.
 */
#ifndef MP_CORE_DRAIN_GOSSIP_H
#define MP_CORE_DRAIN_GOSSIP_H

#include "core/server_state.h"

enum { DRAIN_GOSSIP_MAX = 16 }; /* fits one datagram, 75 bytes per item */

struct drain_gossip_item {
	char id[BACKEND_NAME_MAX];
	uint64_t server_start_ms;
};

struct drain_gossip {
	uint32_t peer; /* peer_id() of the sender */
	unsigned n;
	struct drain_gossip_item items[DRAIN_GOSSIP_MAX];
};

#endif
