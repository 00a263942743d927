/*
 * What an instance asks of the others when all servers of a service are in need and
 * it holds too little of their limits for its callers, while others hold more than
 * theirs use: that they give up a send that they may make, and grant it to this one.
 *
 * A grant is given up before it is told, so that whatever becomes of it the sum over
 * all instances doesn't grow: a lost one is a send less. One that comes late counts
 * no more, as its giver may have earned another by then.
 */
#ifndef MP_CORE_LIMIT_WANT_H
#define MP_CORE_LIMIT_WANT_H

#include <stdbool.h>
#include <stdint.h>

/* What it has asked for one service. Times are by a clock that never stops. */
struct limit_borrow {
	uint32_t serial; /* of the last question */
	int64_t requested_ms;
	int64_t backoff_ms; /* until the next, as questions bring nothing */
	unsigned failures;  /* questions in a row that brought nothing */
	uint32_t lender;    /* gave last; 0: nobody yet */
};

/* A question for a send, or the grant of one, between two instances. */
struct limit_borrow_msg {
	bool grant;
	uint32_t from, to; /* peer_id(); to: 0: of a question, nobody named */
	uint32_t
		resource; /* the service by its hash; the server by its start */
	uint32_t serial;  /* of the question */
};

bool limit_borrow_is_due(const struct limit_borrow *w, int64_t now_ms);
int64_t limit_borrow_deadline_ms(const struct limit_borrow *w);
uint32_t limit_borrow_request(struct limit_borrow *w, int64_t now_ms);
bool limit_borrow_accept(struct limit_borrow *w, uint32_t serial,
			 uint32_t giver, int64_t now_ms);
int64_t limit_grant_expiry_ms(int64_t now_ms);

#endif
