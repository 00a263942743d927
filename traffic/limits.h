/*
 * What backend servers say of how many requests a second they take: taken in
 * from their answers, and told in the log.
 */
#ifndef MP_TRAFFIC_LIMITS_H
#define MP_TRAFFIC_LIMITS_H

#include "platform/exchange.h"
#include "traffic/request.h"

void limits_answer(struct traffic *t, struct backend *b,
		   const struct answer_info *info, int64_t asked_ms,
		   enum limit_source source);
void limits_log_send(const struct request *r, const struct send *s);

#endif
