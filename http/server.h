/*
 * HTTP/1.1 server on a libev loop: reads complete requests, passes them to a
 * callback and writes the replies. Each connection handles one request at a
 * time; its socket is watched meanwhile, so that a caller's disconnect is
 * detected immediately.
 */
#ifndef MP_HTTP_SERVER_H
#define MP_HTTP_SERVER_H

#include <ev.h>

#include "http/message.h"

struct http_conn;

enum {
	/* Of a reply, that the kernel keeps for a peer that doesn't read. */
	HTTP_UNSENT_BYTES = 32 * 1024,
};

struct http_server_ops {
	/*
	 * A complete request; the callee owns m and replies now or later.
	 */
	void (*request)(void *priv, struct http_conn *c,
			struct http_message *m);
	/* The caller disconnected before the reply; c is freed afterwards. */
	void (*closed)(void *priv, struct http_conn *c);
};

struct http_server {
	struct ev_loop *loop;
	const struct http_server_ops *ops;
	void *priv;
	struct http_limits limits;
	const struct http_body_gate
		*body_gate;    /* of new connections, or NULL */
	size_t fields_max;     /* header lines; 0: HTTP_FIELDS_MAX */
	double head_timeout_s; /* for a head, and between parts of a body */
	double idle_timeout_s; /* of a keep-alive connection */
	/*
	 * A reply of n bytes must be taken, and a body received, within
	 * transfer_time_s and the time that n bytes take at transfer_min_rate,
	 * in bytes a second; 0: no limit.
	 */
	double transfer_time_s, transfer_min_rate;
	bool disable_keep_alive; /* every reply closes its connection */
	bool serves_connect;	 /* else CONNECT requests get 501 */
	ev_io accept;
	ev_timer accept_pause;
	struct http_conn *conns;  /* the one that waits least comes first */
	struct http_conn *oldest; /* the last one */
	unsigned nconns;
	/* See http_pool_add(). */
	struct http_pool *pool; /* or NULL: no limits */
	struct http_server *next_in_pool;
	const char *name; /* for logs */
	double share;	  /* of the pool's sockets */
};

struct http_reply {
	unsigned status;
	struct lstr headers; /* complete lines, each with its CRLF */
	struct lstr body;
	/*
	 * The message that owns the body, which the connection takes over until
	 * the body has been sent; NULL: the body is copied.
	 */
	struct http_message *source;
	bool close;
};

int http_server_open(struct http_server *s, struct ev_loop *loop,
		     const char *addr, const struct http_server_ops *ops,
		     void *priv);
void http_server_stop_listening(struct http_server *s);
void http_server_close_idle(struct http_server *s);
void http_server_time_out_partial(struct http_server *s);
unsigned http_server_count_sending(const struct http_server *s);
bool http_server_busy(const struct http_server *s);
void http_server_close(struct http_server *s);

void http_conn_reply(struct http_conn *c, const struct http_reply *r);
void http_conn_reply_raw(struct http_conn *c, struct lstr bytes, bool close);
void *http_conn_user(const struct http_conn *c);
void http_conn_set_user(struct http_conn *c, void *user);
double http_conn_body_s(const struct http_conn *c);
void http_conn_abort(struct http_conn *c);
int http_conn_detach(struct http_conn *c, struct buf *input);

const char *http_reason(unsigned status);

#endif
