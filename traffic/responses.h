/* Bounds on what an instance takes from backend servers. */
#ifndef MP_TRAFFIC_RESPONSES_H
#define MP_TRAFFIC_RESPONSES_H

#include "traffic/traffic.h"
#include "traffic/upstream.h"

void responses_init(struct traffic *t);
void responses_bound(const struct traffic *t, struct upstream *u, bool probe);
bool responses_is_server_alive(int err);
void responses_write_metrics(struct buf *out, const struct body_memory *m);

#endif
