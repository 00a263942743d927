/* Responses of a simulated server whose head tells no length of the body. */
#ifndef MP_STAND_UNFRAMED_H
#define MP_STAND_UNFRAMED_H

#include "http/server.h"

void unframed_reply(struct http_conn *c, struct ev_loop *loop,
		    struct lstr headers, struct lstr body);

void chunked_reply(struct http_conn *c, struct lstr headers, struct lstr body);

#endif
