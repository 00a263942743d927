/*
 * Connections to backend servers, kept between requests. A connection is
 * either idle in its server's pool or held by one owner.
 */
#ifndef MP_TRAFFIC_UPSTREAM_H
#define MP_TRAFFIC_UPSTREAM_H

#include "core/backend.h"
#include "http/client.h"

struct upstream {
	struct http_client http;
	struct backend *backend;
	struct upstream *next; /* of the server's, idle or in use */
	bool idle;
	int64_t used_ms;		   /* its last answer */
	const struct http_client_ops *ops; /* the owner's */
	void *owner;
};

struct upstream *upstream_get(struct ev_loop *loop, struct backend *b,
			      int64_t idle_since_ms);
void upstream_exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		       bool head_request, const struct http_client_ops *ops,
		       void *owner);
void upstream_put(struct upstream *u, int64_t now_ms);
void upstream_drop(struct upstream *u);
void upstream_drop_idle(struct backend *b);
void upstream_fail_all(struct backend *b);
unsigned upstream_opened(void);

#endif
