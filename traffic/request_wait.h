/*
 * Requests that find no room: who waits, in which order and for how long, and who
 * is told at once to come back later.
 */
#ifndef MP_TRAFFIC_REQUEST_WAIT_H
#define MP_TRAFFIC_REQUEST_WAIT_H

#include "traffic/request.h"

void request_wait(struct request *r, int64_t now_ms);
void request_wait_end(struct request *r);
bool request_wait_is_behind(const struct request *r, int64_t now_ms);
bool request_wait_yields(struct request *r, int64_t now_ms);

#endif
