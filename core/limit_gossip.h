/*
 * What instances tell each other of the limits that backend servers name. It
 * passes on the servers' own words, so that those know them to whom a server has
 * not said so, and hear of the end who may not send there; no instance depends on
 * it to keep to a limit that it knows.
 */
#ifndef MP_CORE_LIMIT_GOSSIP_H
#define MP_CORE_LIMIT_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

/* So many fit one datagram, 25 bytes each. */
enum { LIMIT_GOSSIP_MAX = 48 };

struct limit_gossip_item {
	uint32_t backend; /* backend_start_hash() of the server */
	bool limited;
	double per_s; /* if named */
	/* The server said so between these two moments. */
	uint32_t sent_ago_ms, received_ago_ms;
};

struct limit_gossip {
	uint32_t peer; /* peer_id() of the instance that tells */
	unsigned n;
	struct limit_gossip_item items[LIMIT_GOSSIP_MAX];
};

#endif
