/*
 * Asking backend servers for their load, just before one of them is chosen.
 */
#ifndef MP_TRAFFIC_PROBE_H
#define MP_TRAFFIC_PROBE_H

#include "traffic/request.h"

/*
 * A question for a server's load, on the connection the request may use. A
 * request that no longer waits for the answer leaves it to come by itself, so
 * that the connection is kept.
 */
struct probe {
	struct request *request; /* NULL: nobody waits for it any more */
	struct traffic *traffic;
	struct backend *backend;
	struct upstream *upstream; /* held; NULL once given away or failed */
	int64_t sent_ms;
	bool new_connection; /* its connection is new, which takes longer */
	bool pending;
	bool answered;
};

void probe_start(struct request *r, struct backend *b);
void probes_release(struct request *r);

#endif
