/*
 * Tells the other instances what this one has out at servers that tell no
 * load themselves.
 */
#ifndef MP_TRAFFIC_INFLIGHT_REPORT_H
#define MP_TRAFFIC_INFLIGHT_REPORT_H

#include "traffic/traffic.h"

void inflight_report_init(struct traffic *t);
void inflight_report_changed(struct traffic *t, const struct service *s);

#endif
