/*
 * Reports this instance's in-flight requests to its peers, for servers that
 * report no load themselves.
 */
#ifndef MP_TRAFFIC_INFLIGHT_REPORT_H
#define MP_TRAFFIC_INFLIGHT_REPORT_H

#include "traffic/traffic.h"

void inflight_report_init(struct traffic *t);
void inflight_report_changed(struct traffic *t, const struct service *s);

#endif
