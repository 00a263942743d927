/*
 * Requests that arrive before the first configuration, while the instance
 * starts. It has one within a second, unless the store and the peers are away,
 * and a refused caller would come back too late to be on time. So they are held
 * for a moment, then started in the order in which they came, or refused.
 */
#ifndef MP_TRAFFIC_EARLY_H
#define MP_TRAFFIC_EARLY_H

#include <stdbool.h>

#include <ev.h>
#include <glib.h>

#include "http/server.h"
#include "platform/exchange.h"

struct traffic;

struct early_requests {
	GQueue held; /* struct early_request * */
	ev_timer timer;
};

bool early_hold(struct traffic *t, struct http_conn *c, struct http_message *m,
		const struct request_info *call);
bool early_caller_left(struct traffic *t, const struct http_conn *c);
void early_refuse_all(struct traffic *t);

#endif
