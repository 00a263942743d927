/*
 * Applies the state that responses report of their backend server: limit,
 * backoff and draining. Responses that no request waits for any more count as
 * well.
 */
#ifndef MP_TRAFFIC_FEEDBACK_H
#define MP_TRAFFIC_FEEDBACK_H

#include "platform/exchange.h"
#include "traffic/traffic.h"

/* A response from a server's address. */
struct feedback {
	struct response_info info;
	bool solicited;	 /* response to the last request on the connection */
	bool probe;	 /* that request was a load probe */
	int64_t sent_ms; /* when that request was sent */
};

void feedback_apply(struct traffic *t, struct backend *b,
		    const struct feedback *f);

#endif
