/*
 * Backend servers that have announced that they drain: taken in from their responses
 * and from peers, and passed on to peers.
 */
#ifndef MP_TRAFFIC_DRAIN_NEWS_H
#define MP_TRAFFIC_DRAIN_NEWS_H

#include "traffic/traffic.h"

void drain_news_init(struct traffic *t);
void drain_news_announced(struct traffic *t, struct backend *b);
void drain_news_received(struct traffic *t, const struct drain_gossip *news);
void drain_news_peers_changed(struct traffic *t);

#endif
