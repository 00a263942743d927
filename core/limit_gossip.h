/*
 * Gossip about the limits that backend servers announce. Instances forward the
 * announcements they receive, so that the others learn of a limit before the
 * server announces it to them, and those that may not send to a server learn
 * that its limit has ended. Complying with a known limit doesn't depend on
 * gossip.
 */
#ifndef MP_CORE_LIMIT_GOSSIP_H
#define MP_CORE_LIMIT_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

/* Fits one datagram, 25 bytes per item. */
enum { LIMIT_GOSSIP_MAX = 48 };

struct limit_gossip_item {
	uint32_t backend; /* backend_start_hash() */
	bool limited;
	double per_s; /* requests per second, if limited */
	/* The server announced it between these two times. */
	uint32_t sent_ago_ms, received_ago_ms;
};

struct limit_gossip {
	uint32_t peer; /* peer_id() of the sender */
	unsigned n;
	struct limit_gossip_item items[LIMIT_GOSSIP_MAX];
};

#endif
