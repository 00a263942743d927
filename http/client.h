/*
 * One client connection on a libev loop, one request at a time. The owner
 * sees each response and says whether it is the one it waits for: a late or
 * repeated response on a kept connection belongs to nobody and is skipped.
 */
#ifndef MP_HTTP_CLIENT_H
#define MP_HTTP_CLIENT_H

#include <ev.h>
#include <netinet/in.h>

#include "http/message.h"

struct http_client;

enum http_match {
	HTTP_MATCHED,	/* the response is the awaited one */
	HTTP_UNMATCHED, /* it answers something else; wait on */
};

struct http_client_ops {
	/* Whose response is it? Called before `response`. */
	enum http_match (*match)(void *priv, const struct http_message *m);
	/* The awaited response; m belongs to the callee. */
	void (*response)(void *priv, struct http_message *m);
	/*
	 * The connection ended (-errno), while a request waited or not; it
	 * is closed already. `sent` tells whether any byte of the request
	 * may have left.
	 */
	void (*failed)(void *priv, int err, bool sent);
	/*
	 * Optional: called before the first byte of a request is sent. False cancels
	 * it: `failed` gets -ECANCELED.
	 */
	bool (*may_send)(void *priv);
	/* Optional: a whole response that no request waits for. */
	void (*unsolicited)(void *priv, const struct http_message *m);
};

enum client_state {
	CLIENT_CLOSED,
	CLIENT_CONNECTING,
	CLIENT_IDLE,
	CLIENT_BUSY
};

struct http_client {
	struct ev_loop *loop;
	const struct http_client_ops *ops;
	void *priv;
	int fd;
	ev_io io;
	ev_timer timer;
	enum client_state state;
	struct http_reader reader;
	struct buf out;
	double connect_timeout_s, timeout_s;
	bool waiting;  /* a request is queued or sent */
	bool sent;     /* some of its bytes may have left */
	bool reusable; /* nothing speaks against another request */
	unsigned served;
};

int http_client_open(struct http_client *c, struct ev_loop *loop,
		     const struct sockaddr_in *sa, double connect_timeout_s,
		     struct http_limits limits,
		     const struct http_client_ops *ops, void *priv);
void http_client_send(struct http_client *c, struct lstr bytes,
		      double timeout_s, bool head_request);
bool http_client_linger(struct http_client *c, double timeout_s);
void http_client_close(struct http_client *c);

#endif
