/*
 * Requests that find no room: who waits, in which order and for how long, and who
 * is told at once to come back later.
 */
#ifndef MP_TRAFFIC_REQUEST_QUEUE_H
#define MP_TRAFFIC_REQUEST_QUEUE_H

#include "traffic/request.h"

void request_queue_wait(struct request *r, int64_t now_ms);
void request_queue_remove(struct request *r);
bool request_queue_is_behind(const struct request *r, int64_t now_ms);
bool request_queue_yield(struct request *r, int64_t now_ms);

#endif
