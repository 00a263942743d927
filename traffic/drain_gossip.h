/*
 * Spreads the knowledge that a backend server drains: taken from its responses
 * and from peers, and passed on to peers.
 */
#ifndef MP_TRAFFIC_DRAIN_GOSSIP_H
#define MP_TRAFFIC_DRAIN_GOSSIP_H

#include "traffic/traffic.h"

void drain_gossip_init(struct traffic *t);
void drain_gossip_announced(struct traffic *t, struct backend *b);
void drain_gossip_received(struct traffic *t,
			   const struct drain_gossip *update);
void drain_gossip_peers_changed(struct traffic *t);

#endif
