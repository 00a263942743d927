/*
 * Tunnels that this instance serves to peers whose own links to backend servers
 * are down. The peer makes and accounts for the sends; this instance only
 * forwards bytes, and opens its own direct connections only, so that tunnels
 * can't form a loop.
 */
#ifndef MP_TRAFFIC_TUNNELS_H
#define MP_TRAFFIC_TUNNELS_H

#include "traffic/traffic.h"

int tunnels_open(struct traffic *t);
bool tunnels_busy(const struct traffic *t);

#endif
