/*
 * Counts the requests that find no room, tells the peers and hears from them.
 */
#ifndef MP_TRAFFIC_SHORTAGE_GOSSIP_H
#define MP_TRAFFIC_SHORTAGE_GOSSIP_H

#include "traffic/request.h"

void shortage_gossip_init(struct traffic *t);
void shortage_gossip_count(struct request *r, bool missed, int64_t now_ms);
void shortage_gossip_received(struct traffic *t,
			      const struct shortage_gossip *update);

#endif
