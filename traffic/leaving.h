/*
 * Backend servers that have said that they leave, on the traffic thread: taken in
 * from their answers and from peers, and passed on.
 */
#ifndef MP_TRAFFIC_LEAVING_H
#define MP_TRAFFIC_LEAVING_H

#include "traffic/traffic.h"

void leaving_init(struct traffic *t);
void leaving_heard(struct traffic *t, struct backend *b);
void leaving_told(struct traffic *t, const struct leaving_news *news);
void leaving_peers_changed(struct traffic *t);

#endif
