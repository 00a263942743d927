/*
 * Gossip about what instances have learned of the services' servers. At a
 * hundred instances each one gets a few answers a second, too few to learn in
 * time how much longer a server's last slot takes; all of them together learn
 * it within a second.
 */
#ifndef MP_CORE_SHORTAGE_GOSSIP_H
#define MP_CORE_SHORTAGE_GOSSIP_H

#include "core/latency_model.h"
#include "core/shortage.h"

enum {
	/* Fits one datagram, at most 132 bytes per service. */
	SHORTAGE_GOSSIP_MAX = 10,
	/* Answers that one report of a factor counts as, at most. */
	SHORTAGE_SAMPLES_MAX = 64,
	/* Requests that one report counts as, at most. */
	SHORTAGE_COUNT_MAX = 1000,
};

/* The answers of one service that gave one factor. */
struct shortage_sample {
	unsigned factor; /* index, see latency_model.h */
	unsigned count;
	double mean; /* geometric */
};

struct shortage_item {
	uint32_t service; /* g_str_hash() of its name */
	struct shortage_counts counts;
	unsigned n;
	struct shortage_sample samples[LATENCY_FACTORS];
};

struct shortage_gossip {
	uint32_t peer; /* peer_id() of the sender */
	unsigned n;
	struct shortage_item items[SHORTAGE_GOSSIP_MAX];
};

#endif
