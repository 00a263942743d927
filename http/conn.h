/* Connections of http/server.h; private to http/. */
#ifndef MP_HTTP_CONN_H
#define MP_HTTP_CONN_H

#include "http/pool.h"
#include "http/server.h"

enum conn_state {
	CONN_IDLE,     /* waiting for a request */
	CONN_READING,  /* receiving a request */
	CONN_HANDLING, /* the handler has the request */
	CONN_WRITING,  /* sending a reply */
	CONN_LINGER,   /* reply sent; waiting for the peer to close */
};

struct http_conn {
	struct http_server *server;
	/* In the order of `since`: the next one has been waiting longer. */
	struct http_conn *next, *prev;
	int fd;
	ev_io io;
	ev_timer timer;
	double opened;
	double since;	    /* of its last request, or reply to one */
	double head_at;	    /* when the request's head was complete */
	double body_until;  /* when its body must be complete */
	double reply_until; /* when its reply must have been taken */
	double taken_at;    /* when a part of it was taken last */
	double linger_until;
	bool had_request;
	enum conn_state state;
	struct http_reader reader;
	struct buf in;
	struct buf out;	  /* unsent bytes of the reply's head */
	size_t out_sent;  /* of it */
	struct lstr body; /* unsent bytes of the reply's body */
	struct http_message
		*source; /* that owns the body, or NULL: `out` does */
	size_t scanned;	 /* bytes of `in` searched for the end of the head */
	size_t request_bytes; /* of the head of the request being handled */
	size_t held;	      /* accounted to the server's pool */
	bool in_body;	      /* the head has been parsed */
	bool keep_alive, head_request, close_after, peer_done;
	void *user;
};

void http_conn_new(struct http_server *s, int fd);
void http_conn_free(struct http_conn *c);
void http_conn_reset(struct http_conn *c);
void http_conn_time_out(struct http_conn *c);
void http_conn_notify_closed(struct http_conn *c);

/* In http/pool.c. */
void http_conn_account(struct http_conn *c);
void http_conn_close_for(struct http_conn *c, enum http_shortage why);

/* For http/reply.c. */
void http_conn_idle(struct http_conn *c);
void http_conn_renew(struct http_conn *c);
void http_conn_watch(struct http_conn *c, int events);
void http_conn_set_timer(struct http_conn *c, double timeout_s);
void http_conn_write(struct http_conn *c);
void http_conn_linger(struct http_conn *c);
void http_conn_drop_reply(struct http_conn *c);

#endif
