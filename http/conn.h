/* A connection of http/server.h from the inside: http/ alone includes this. */
#ifndef MP_HTTP_CONN_H
#define MP_HTTP_CONN_H

#include "http/server.h"

enum conn_state {
	CONN_IDLE,     /* no byte of a request yet */
	CONN_READING,  /* a request has begun */
	CONN_HANDLING, /* a request waits for its reply */
	CONN_WRITING,  /* a reply is being written */
	CONN_LINGER,   /* all written; waits for the peer's close */
};

struct http_conn {
	struct http_server *server;
	struct http_conn *next, *prev;
	int fd;
	ev_io io;
	ev_timer timer;
	ev_tstamp opened;
	bool had_request;
	enum conn_state state;
	struct http_reader reader;
	struct buf in, out;
	size_t scanned; /* bytes of `in` looked at for the head's end */
	bool in_body;	/* the head went to the reader */
	bool keep_alive, head_request, close_after, peer_done;
	void *user;
};

void http_conn_new(struct http_server *s, int fd);
void http_conn_free(struct http_conn *c);

#endif
