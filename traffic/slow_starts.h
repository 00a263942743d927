/*
 * Slow starts of backend servers, on the traffic thread: reports from probes
 * and list entries, this instance's share of what a cold server takes, and the
 * sends that are charged to it.
 */
#ifndef MP_TRAFFIC_SLOW_STARTS_H
#define MP_TRAFFIC_SLOW_STARTS_H

#include "traffic/request.h"

void slow_starts_configure(struct traffic *t);
void slow_starts_peers_changed(struct traffic *t);
void slow_starts_listed(struct traffic *t, struct backend *b);
void slow_starts_restored(struct traffic *t, struct backend *b);
void slow_starts_probe_response(struct traffic *t, struct backend *b,
				uint32_t left_ms, int64_t sent_ms);
void slow_starts_charge(struct send *s);
void slow_starts_send_done(struct send *s, int64_t now_ms);

#endif
