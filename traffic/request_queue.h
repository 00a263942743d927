/*
 * The queue of requests that find no capacity: which wait, in which order, for
 * how long, and which are refused immediately.
 */
#ifndef MP_TRAFFIC_REQUEST_QUEUE_H
#define MP_TRAFFIC_REQUEST_QUEUE_H

#include "traffic/request.h"

void request_queue_wait(struct request *r, int64_t now_ms);
void request_queue_remove(struct request *r);
bool request_queue_is_behind(const struct request *r, int64_t now_ms);
bool request_queue_yield(struct request *r, int64_t now_ms);

#endif
