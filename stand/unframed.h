/* Responses of a simulated server with unusual or invalid heads. */
#ifndef MP_STAND_UNFRAMED_H
#define MP_STAND_UNFRAMED_H

#include "http/server.h"

void unframed_reply(struct http_conn *c, struct ev_loop *loop,
		    struct lstr headers, struct lstr body);

void bad_head_reply(struct http_conn *c, unsigned kind, struct lstr headers,
		    struct lstr body);
void chunked_reply(struct http_conn *c, struct lstr headers, struct lstr body);

#endif
