/*
 * What answers say of their backend server: its limit, that it wants no requests for a
 * while, that it leaves. Also answers that nobody waits for any more count.
 */
#ifndef MP_TRAFFIC_SERVER_WORDS_H
#define MP_TRAFFIC_SERVER_WORDS_H

#include "platform/exchange.h"
#include "traffic/traffic.h"

/* An answer that has come from a server's address. */
struct server_answer {
	struct answer_info info;
	bool awaited;	 /* it answers what was sent last there */
	bool question;	 /* that was a question for health and load */
	int64_t sent_ms; /* it was sent then */
};

void server_words_hear(struct traffic *t, struct backend *b,
		       const struct server_answer *a);

#endif
