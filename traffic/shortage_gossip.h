/*
 * Tells the peers what this instance has learned of the services' servers, and
 * learns from what they tell.
 */
#ifndef MP_TRAFFIC_SHORTAGE_GOSSIP_H
#define MP_TRAFFIC_SHORTAGE_GOSSIP_H

#include "traffic/request.h"

void shortage_gossip_init(struct traffic *t);
void shortage_gossip_changed(struct traffic *t);
void shortage_gossip_count(struct request *r, bool missed, int64_t now_ms);
void shortage_gossip_received(struct traffic *t,
			      const struct shortage_gossip *update);

#endif
