/*
 * Tells the other instances what this one has out at servers that tell no
 * load themselves.
 */
#ifndef MP_TRAFFIC_SHARE_H
#define MP_TRAFFIC_SHARE_H

#include "traffic/traffic.h"

void share_init(struct traffic *t);
void share_changed(struct traffic *t, const struct service *s);

#endif
