/* Load probes sent to backend servers just before one of them is selected. */
#ifndef MP_TRAFFIC_PROBE_H
#define MP_TRAFFIC_PROBE_H

#include "traffic/request.h"

/*
 * A load probe on the connection that the request may be sent on. If the
 * request is gone before the response arrives, the probe stays until it does,
 * so that the connection can be kept.
 */
struct probe {
	struct request *request; /* NULL: detached from its request */
	struct traffic *traffic;
	struct backend *backend;
	struct upstream *upstream; /* held; NULL once handed over or failed */
	int64_t sent_ms;
	/* includes the handshake, so no round-trip sample */
	bool new_connection;
	bool pending;
	bool answered;
};

void probe_start(struct request *r, struct backend *b);
void probes_release(struct request *r);
void probe_check_path(struct traffic *t, struct backend *b);
struct lstr probe_health_path(const struct traffic *t, const struct service *s);

#endif
