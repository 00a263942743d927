/*
 * An HTTP/1.1 server on a libev loop: listens, reads whole requests, hands
 * them to a callback and writes the reply. One request at a time on a
 * connection; while one is being handled the socket is still watched, so
 * that a caller who leaves is noticed at once.
 */
#ifndef MP_HTTP_SERVER_H
#define MP_HTTP_SERVER_H

#include <ev.h>

#include "http/message.h"

struct http_conn;

struct http_server_ops {
	/* A whole request; m belongs to the callee. Reply now or later. */
	void (*request)(void *priv, struct http_conn *c,
			struct http_message *m);
	/* The caller left before the reply; do not use c afterwards. */
	void (*closed)(void *priv, struct http_conn *c);
};

struct http_server {
	struct ev_loop *loop;
	const struct http_server_ops *ops;
	void *priv;
	struct http_limits limits;
	double head_timeout_s;	 /* first byte of a request to its last */
	double idle_timeout_s;	 /* a kept connection without a request */
	bool disable_keep_alive; /* each answer closes its connection */
	ev_io accept;
	struct http_conn *conns;
	unsigned nconns;
};

struct http_reply {
	unsigned status;
	struct lstr headers; /* whole lines, each with its CRLF */
	struct lstr body;
	bool close;
};

int http_server_open(struct http_server *s, struct ev_loop *loop,
		     const char *addr, const struct http_server_ops *ops,
		     void *priv);
void http_server_stop_listening(struct http_server *s);
void http_server_close_idle(struct http_server *s);
bool http_server_busy(const struct http_server *s);
void http_server_close(struct http_server *s);

void http_conn_reply(struct http_conn *c, const struct http_reply *r);
void http_conn_reply_raw(struct http_conn *c, struct lstr bytes, bool close);
void *http_conn_user(const struct http_conn *c);
void http_conn_set_user(struct http_conn *c, void *user);
void http_conn_abort(struct http_conn *c);

const char *http_reason(unsigned status);

#endif
