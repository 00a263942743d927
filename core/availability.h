/*
 * What a backend server takes from this instance now. Whatever it has said or the
 * list and the configuration say of it, every way of sending asks here, right before
 * the bytes leave.
 */
#ifndef MP_CORE_AVAILABILITY_H
#define MP_CORE_AVAILABILITY_H

#include "core/backend.h"

/* What is to be sent. */
enum send_kind {
	SEND_ALONE,  /* no other copy of the request is out */
	SEND_BESIDE, /* one is */
	/* Chosen, and taken from the server's limit, or a question for its load. */
	SEND_CHOSEN,
};

/* Why it takes nothing. */
enum hold {
	HOLD_NONE,
	HOLD_GONE,    /* off the list */
	HOLD_LEAVING, /* by its own word or its entry's */
	HOLD_DRAINED, /* by the configuration */
	HOLD_REST,    /* it has asked for rest */
	HOLD_RETURN,  /* one at a time after a rest, until it has answered */
	HOLD_LIMIT,   /* nothing left of its limit */
	HOLD_UNKNOWN, /* one at a time until it has said whether it has one */
};

struct availability {
	enum hold hold;
	int64_t back_ms; /* of HOLD_REST: this instance returns then */
};

struct availability backend_availability(const struct backend *b,
					 enum send_kind kind, int64_t now_ms);
bool backend_takes(const struct backend *b, enum send_kind kind,
		   int64_t now_ms);
bool backend_is_leaving(const struct backend *b);
int64_t service_back_ms(const struct service *s, int64_t now_ms);
const char *hold_name(enum hold hold);

#endif
