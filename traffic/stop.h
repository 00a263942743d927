/*
 * The stop of an instance: requests that end in time are still taken, all others
 * are refused at once, and each caller has a response before the process exits.
 */
#ifndef MP_TRAFFIC_STOP_H
#define MP_TRAFFIC_STOP_H

#include "traffic/request.h"

void stop_begin(struct traffic *t);
bool stop_has_time(const struct request *r);
bool stop_has_time_for_body(struct traffic *t, const struct http_message *head);

#endif
