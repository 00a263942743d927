/* Receiving of callers' bodies: their memory and their time limit. */
#ifndef MP_TRAFFIC_UPLOADS_H
#define MP_TRAFFIC_UPLOADS_H

#include "http/server.h"
#include "platform/exchange.h"
#include "traffic/traffic.h"

void uploads_init(struct traffic *t);
void uploads_write_metrics(struct buf *out, const struct body_memory *m);
void uploads_deduct_receive_time(const struct http_conn *c,
				 struct request_info *call);

#endif
