/*
 * Borrowing of sends between instances. When all servers of a service have
 * limits and this instance's quotas are too small for its callers, while others
 * hold more than they use, it requests that they give up a send and grant it
 * to this one.
 *
 * A lender gives up a send before it grants it, so the sum over all instances
 * never grows: if the grant is lost, there is one send less. A late grant is
 * ignored, as its lender may have got another token by then.
 */
#ifndef MP_CORE_LIMIT_BORROW_H
#define MP_CORE_LIMIT_BORROW_H

#include <stdbool.h>
#include <stdint.h>

/* Requests for one service. Times are of a clock that also runs in suspend. */
struct limit_borrow {
	uint32_t serial; /* of the last request */
	int64_t requested_ms;
	int64_t backoff_ms; /* delay of the next request */
	unsigned failures;  /* requests in a row without a grant */
	uint32_t lender;    /* peer_id() of the last one; 0: none yet */
};

/* Message between two instances: a request for a send, or its grant. */
struct limit_borrow_msg {
	bool grant;
	uint32_t from, to; /* peer_id(); request to 0: any peer */
	/*
	 * Of a request the service's hash, of a grant the server's start hash.
	 */
	uint32_t resource;
	uint32_t serial; /* of the request */
};

bool limit_borrow_is_due(const struct limit_borrow *b, int64_t now_ms);
int64_t limit_borrow_deadline_ms(const struct limit_borrow *b);
uint32_t limit_borrow_request(struct limit_borrow *b, int64_t now_ms);
bool limit_borrow_accept(struct limit_borrow *b, uint32_t serial,
			 uint32_t lender, int64_t now_ms);
int64_t limit_grant_expiry_ms(int64_t now_ms);

#endif
