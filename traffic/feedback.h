/*
 * Applies what responses say about their backend server: limit, backoff, draining.
 * Responses that nobody waits for any more count as well.
 */
#ifndef MP_TRAFFIC_FEEDBACK_H
#define MP_TRAFFIC_FEEDBACK_H

#include "platform/exchange.h"
#include "traffic/traffic.h"

/* A response from a server's address. */
struct feedback {
	struct response_info info;
	bool awaited;	 /* it answers what was last sent on its connection */
	bool question;	 /* which was a load question */
	int64_t sent_ms; /* and left then */
};

void feedback_apply(struct traffic *t, struct backend *b,
		    const struct feedback *f);

#endif
