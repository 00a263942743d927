/*
 * Whether a backend server may be sent to now. This is the only check: every way of
 * sending calls it when a server is chosen, and the connection once more before the
 * first byte leaves.
 */
#ifndef MP_CORE_AVAILABILITY_H
#define MP_CORE_AVAILABILITY_H

#include "core/backend.h"

/* What is to be sent. */
enum send_kind {
	SEND_PRIMARY, /* the only copy of its request */
	SEND_HEDGE,   /* another copy is outstanding */
	/* Already chosen and charged to the limit; or a load question. */
	SEND_COMMITTED,
};

/* Why nothing may be sent. */
enum hold {
	HOLD_NONE,
	HOLD_GONE,     /* off the list */
	HOLD_DRAINING, /* announced by the server or its entry */
	HOLD_EXCLUDED, /* by the configuration */
	HOLD_BACKOFF,  /* requested by the server */
	HOLD_RESUMING, /* one at a time after a backoff, until one is answered */
	HOLD_LIMIT,    /* this instance's part of the limit is used up */
	HOLD_UNKNOWN, /* one at a time until it is known whether it has a limit */
};

struct availability {
	enum hold hold;
	int64_t resume_ms; /* of HOLD_BACKOFF */
};

struct availability backend_availability(const struct backend *b,
					 enum send_kind kind, int64_t now_ms);
bool backend_is_available(const struct backend *b, enum send_kind kind,
			  int64_t now_ms);
bool backend_is_draining(const struct backend *b);
bool backend_is_backing_off(const struct backend *b, int64_t now_ms);
int64_t service_resume_ms(const struct service *s, int64_t now_ms);
const char *hold_name(enum hold hold);

#endif
