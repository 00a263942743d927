/*
 * What answers say of their backend server beside its limit: that it wants no
 * requests for a while, and that it leaves.
 */
#ifndef MP_TRAFFIC_SERVER_WORDS_H
#define MP_TRAFFIC_SERVER_WORDS_H

#include "platform/exchange.h"
#include "traffic/traffic.h"

void server_words_hear(struct traffic *t, struct backend *b,
		       const struct answer_info *info);

#endif
