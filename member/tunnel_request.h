/*
 * The request with which an entry instance asks another one for a tunnel to a
 * backend server: CONNECT (RFC 9110, 9.3.6) with the server's id as its target,
 * which each instance resolves by its own list. Both sides name the frames
 * that they know, so that instances of versions without them stay compatible.
 */
#ifndef MP_MEMBER_TUNNEL_REQUEST_H
#define MP_MEMBER_TUNNEL_REQUEST_H

#include <stdint.h>

#include "http/message.h"

/* Statuses of the answer other than 200. */
enum tunnel_status {
	TUNNEL_UNKNOWN_SERVER = 404, /* or one that takes nothing now */
	/* The server refuses connections, and so do others of its service. */
	TUNNEL_SERVICE_REFUSES = 500,
	/* The server refuses connections; others of its service don't. */
	TUNNEL_SERVER_REFUSES = 502,
	TUNNEL_UNAVAILABLE = 503, /* or the service isn't reached either */
	TUNNEL_SERVER_SILENT = 504,
};

struct tunnel_request {
	struct lstr backend; /* id of the server */
	struct lstr from;    /* name of the asking instance */
	uint64_t id;	     /* random, for logs of both */
	bool framed; /* the asking instance reads frames, see http/frames.h */
};

void tunnel_request_write(struct buf *out, const struct tunnel_request *r);
int tunnel_request_read(const struct http_message *m,
			struct tunnel_request *out);
void tunnel_answer_write(struct buf *out, const struct tunnel_request *r);
bool tunnel_answer_is_framed(const struct http_message *m);

#endif
