/*
 * The limits that backend servers set, on the traffic thread: taken from
 * responses and from peers, passed on to peers, and logged.
 */
#ifndef MP_TRAFFIC_LIMITS_H
#define MP_TRAFFIC_LIMITS_H

#include "platform/exchange.h"
#include "traffic/request.h"

void limits_init(struct traffic *t);
struct limit_instances limits_participants(const struct traffic *t);
struct backend *limits_find(struct traffic *t, uint32_t start);
void limits_response(struct traffic *t, struct backend *b,
		     const struct response_info *info, int64_t request_sent_ms,
		     enum limit_source source);
void limits_peer_update(struct traffic *t, const struct limit_gossip *update);
void limits_peers_changed(struct traffic *t);
void limits_listed(struct traffic *t, struct backend *b);

#endif
