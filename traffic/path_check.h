/*
 * Looks for servers of lost services, and servers that are reached through
 * tunnels, to become reachable directly again.
 */
#ifndef MP_TRAFFIC_PATH_CHECK_H
#define MP_TRAFFIC_PATH_CHECK_H

#include "traffic/traffic.h"

void path_check_init(struct traffic *t);
void path_check_begin(struct traffic *t);
void path_check_peers_changed(struct traffic *t);

#endif
