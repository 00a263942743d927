/*
 * HTTP/1.1 client connection on a libev loop, for one request at a time. The
 * owner decides for each response whether it matches the request: late or
 * duplicate responses on a keep-alive connection are discarded.
 */
#ifndef MP_HTTP_CLIENT_H
#define MP_HTTP_CLIENT_H

#include <ev.h>
#include <netinet/in.h>

#include "http/frames.h"
#include "http/message.h"

struct http_client;

enum http_match {
	HTTP_MATCHED,	/* the response to the current request */
	HTTP_UNMATCHED, /* of another request; keep waiting */
};

struct http_client_ops {
	/* Matches a response to the request; called before `response`. */
	enum http_match (*match)(void *priv, const struct http_message *m);
	/* The response to the request; the callee owns m. */
	void (*response)(void *priv, struct http_message *m);
	/*
	 * The connection failed with -errno, with or without a pending
	 * request, and is already closed; -EMSGSIZE, -EFBIG: the peer sent more
	 * than it may. `sent`: some bytes of the request may have been sent.
	 */
	void (*failed)(void *priv, int err, bool sent);
	/*
	 * Optional: called before the first byte of a request is sent. If it
	 * returns false, `failed` is called with -ECANCELED.
	 */
	bool (*may_send)(void *priv);
	/* Optional: a complete response without a pending request. */
	void (*unsolicited)(void *priv, const struct http_message *m);
	/*
	 * Optional: returns whether the proxy that has answered so sends the
	 * server's bytes in frames. If not, a response through it is complete
	 * only if its head tells its length.
	 */
	bool (*is_framed)(void *priv, const struct http_message *m);
};

enum client_state {
	CLIENT_CLOSED,
	CLIENT_CONNECTING,
	CLIENT_TUNNELING, /* connected to a proxy that opens a tunnel */
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
	struct buf out;	  /* unsent bytes of the request's head */
	struct lstr body; /* unsent bytes of its body; the owner's memory */
	struct buf connect_head; /* of a tunnel; empty: none */
	bool tunneled;		 /* through a proxy */
	unsigned tunnel_status;	 /* the proxy's answer; 0: none yet */
	bool framed;		 /* the proxy sends frames */
	struct frame_reader frames;
	struct buf unread; /* received, while the reader is starved */
	bool unread_end;   /* and the end of the stream after it */
	ev_timer resume;   /* the reader */
	unsigned *counter; /* of open connections, or NULL */
	bool no_body;	   /* the current request is a HEAD */
	double connect_timeout_s, timeout_s;
	bool waiting;	/* a request is queued or sent */
	bool connected; /* the connection has been established */
	bool sent;	/* some of its bytes may have been sent */
	bool reusable;	/* may be used for another request */
	/*
	 * The kernel has reported the end of the connection to a write, so
	 * reads can't tell a reset from an orderly end.
	 */
	bool write_failed;
	unsigned served;
	/* Since the request was sent: */
	size_t body_bytes;     /* received of bodies */
	size_t overhead_bytes; /* received besides bodies */
	unsigned skipped;      /* responses that weren't the final one */
};

int http_client_open(struct http_client *c, struct ev_loop *loop,
		     const struct sockaddr_in *sa, double connect_timeout_s,
		     struct http_limits limits,
		     const struct http_client_ops *ops, void *priv);
int http_client_open_tunnel(struct http_client *c, struct ev_loop *loop,
			    const struct sockaddr_in *proxy, struct lstr head,
			    double connect_timeout_s, struct http_limits limits,
			    const struct http_client_ops *ops, void *priv);
void http_client_send(struct http_client *c, struct lstr bytes,
		      double timeout_s, bool head_request);
void http_client_send_body(struct http_client *c, struct lstr head,
			   struct lstr body, double timeout_s,
			   bool head_request);
void http_client_count(struct http_client *c, unsigned *counter);
bool http_client_linger(struct http_client *c, double timeout_s);
void http_client_close(struct http_client *c);

#endif
