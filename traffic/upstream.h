/*
 * Connections to backend servers, kept between requests. A connection is
 * either idle in its server's pool or held by one owner.
 */
#ifndef MP_TRAFFIC_UPSTREAM_H
#define MP_TRAFFIC_UPSTREAM_H

#include "http/client.h"
#include "platform/exchange.h"
#include "traffic/traffic.h"

/* How an owner hears of what became of its request. */
struct upstream_ops {
	/* Whose answer is it? */
	enum http_match (*judge)(void *owner, const struct answer_info *info);
	/* The awaited answer; m belongs to the callee, `info` is of it. */
	void (*response)(void *owner, struct http_message *m,
			 const struct answer_info *info);
	/* See struct http_client_ops; -ECANCELED: nothing has left. */
	void (*failed)(void *owner, int err, bool sent);
};

struct upstream {
	struct http_client http;
	struct traffic *traffic;
	struct backend *backend;
	struct upstream *next; /* of the server's, idle or in use */
	bool idle;
	int64_t used_ms;		/* its last answer */
	int64_t sent_ms;		/* the request at hand */
	bool question;			/* that is one for health and load */
	const struct upstream_ops *ops; /* the owner's */
	void *owner;
};

struct upstream *upstream_get(struct traffic *t, struct backend *b,
			      int64_t idle_since_ms);
void upstream_exchange(struct upstream *u, struct lstr bytes, double timeout_s,
		       bool head_request, const struct upstream_ops *ops,
		       void *owner);
void upstream_ask(struct upstream *u, struct lstr bytes, double timeout_s,
		  const struct upstream_ops *ops, void *owner);
void upstream_put(struct upstream *u, int64_t now_ms);
void upstream_drop(struct upstream *u);
void upstream_drop_idle(struct backend *b);
void upstream_fail_all(struct backend *b);
unsigned upstream_opened(void);

#endif
