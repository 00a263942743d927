/*
 * A pool of connections to backend servers. A connection is either idle in its
 * server's pool or held by one owner.
 */
#ifndef MP_TRAFFIC_UPSTREAM_H
#define MP_TRAFFIC_UPSTREAM_H

#include "core/availability.h"
#include "http/client.h"
#include "platform/exchange.h"
#include "traffic/traffic.h"

/* Callbacks of a connection's owner. */
struct upstream_ops {
	/* Decides whether a response is the awaited one. */
	enum http_match (*classify)(void *owner,
				    const struct response_info *info);
	/* The awaited response with its decoded fields; the callee frees m. */
	void (*response)(void *owner, struct http_message *m,
			 const struct response_info *info);
	/* See struct http_client_ops. -ECANCELED: nothing was sent. */
	void (*failed)(void *owner, int err, bool sent);
};

/* A request to a server; the body stays valid until the outcome. */
struct upstream_request {
	struct lstr head, body;
	double timeout_s;
	bool head_request;
	enum send_kind kind;
};

struct upstream {
	struct http_client http;
	struct traffic *traffic;
	struct backend *backend;
	struct tunnel_peer *peer; /* that tunnels to it; NULL: direct */
	uint64_t tunnel;	  /* id of the tunnel, for logs */
	struct upstream *next;	  /* in the server's idle or busy list */
	bool idle;
	bool answered;			/* has had a response */
	int64_t last_used_ms;		/* when its last response arrived */
	int64_t sent_ms;		/* when the current request was sent */
	bool is_probe;			/* the current request is a probe */
	enum send_kind kind;		/* of the current request */
	const struct upstream_ops *ops; /* the owner's callbacks */
	void *owner;
};

struct upstream *upstream_get(struct traffic *t, struct backend *b,
			      int64_t idle_since_ms);
void upstream_exchange(struct upstream *u, const struct upstream_request *q,
		       const struct upstream_ops *ops, void *owner);
void upstream_probe(struct upstream *u, struct lstr bytes, double timeout_s,
		    const struct upstream_ops *ops, void *owner);
void upstream_put(struct upstream *u, int64_t now_ms);
void upstream_drop(struct upstream *u);
bool upstream_drop_oldest(struct traffic *t);
void upstream_drop_idle(struct backend *b);
void upstream_drop_unlisted(struct backend *b);
struct upstream *upstream_open_direct(struct traffic *t, struct backend *b);
void upstream_fail_all(struct backend *b);
unsigned upstream_opened(void);

#endif
