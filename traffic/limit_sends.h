/*
 * Charges sends against the limits that backend servers set, and lets instances
 * give up sends for each other.
 */
#ifndef MP_TRAFFIC_LIMIT_SENDS_H
#define MP_TRAFFIC_LIMIT_SENDS_H

#include "traffic/request.h"

void limit_sends_charge(struct send *s);
void limit_sends_finish(struct send *s, int64_t now_ms);
int64_t limit_sends_request_grant(struct traffic *t, struct service *s,
				  int64_t now_ms);
void limit_sends_peer_message(struct traffic *t,
			      const struct limit_borrow_msg *call);

#endif
