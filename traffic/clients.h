/* Bounds on what the clients of the traffic thread hold. */
#ifndef MP_TRAFFIC_CLIENTS_H
#define MP_TRAFFIC_CLIENTS_H

#include "traffic/traffic.h"

void clients_init(struct traffic *t);
bool clients_make_room(struct traffic *t);
bool clients_retry_open(struct traffic *t, int err);
bool clients_free_replies(struct traffic *t);
bool clients_free_bodies(struct traffic *t);
void clients_write_metrics(struct buf *out, const struct traffic *t);

#endif
