/* Connections of http/server.h; private to http/. */
#ifndef MP_HTTP_CONN_H
#define MP_HTTP_CONN_H

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
	struct http_conn *next, *prev;
	int fd;
	ev_io io;
	ev_timer timer;
	ev_tstamp opened;
	ev_tstamp head_at;    /* when the request's head was complete */
	ev_tstamp body_until; /* when its body must be complete */
	ev_tstamp linger_until;
	bool had_request;
	enum conn_state state;
	struct http_reader reader;
	struct buf in, out;
	size_t scanned; /* bytes of `in` searched for the end of the head */
	bool in_body;	/* the head has been parsed */
	bool keep_alive, head_request, close_after, peer_done;
	void *user;
};

void http_conn_new(struct http_server *s, int fd);
void http_conn_free(struct http_conn *c);
void http_conn_time_out(struct http_conn *c);

#endif
