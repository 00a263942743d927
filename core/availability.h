/*
 * Decides whether a request may be sent to a backend server now. This is the
 * only such check: every kind of send calls it when a server is chosen, and the
 * connection calls it again before it writes the first byte.
 */
#ifndef MP_CORE_AVAILABILITY_H
#define MP_CORE_AVAILABILITY_H

#include "core/backend.h"

enum send_kind {
	SEND_PRIMARY, /* the only copy of its request */
	SEND_HEDGE,   /* another copy is outstanding */
	/* Already chosen and charged to the limits, or a load probe. */
	SEND_COMMITTED,
	/* Already chosen, not charged to the slow start as it seemed over. */
	SEND_UNCHARGED,
};

/* Why a server must not be sent to. */
enum hold {
	HOLD_NONE,
	HOLD_GONE,	 /* no longer listed */
	HOLD_DRAINING,	 /* announced by the server or by its list entry */
	HOLD_EXCLUDED,	 /* by the configuration */
	HOLD_EVACUATED,	 /* its data centre is */
	HOLD_BACKOFF,	 /* requested by the server */
	HOLD_RESUMING,	 /* one request at a time until the first answer after a
			  backoff */
	HOLD_LIMIT,	 /* this instance's share of the limit is used up */
	HOLD_UNKNOWN,	 /* one request at a time until it is known whether the
			  server has a limit */
	HOLD_SLOW_START, /* cold; this instance's share of the rate is used up */
	HOLD_UNREPORTED, /* may be cold: needs a probe first */
};

struct availability {
	enum hold hold;
	int64_t resume_ms; /* end of the backoff, for HOLD_BACKOFF */
};

struct availability backend_availability(const struct backend *b,
					 enum send_kind kind, int64_t now_ms);
bool backend_is_available(const struct backend *b, enum send_kind kind,
			  int64_t now_ms);
bool backend_is_draining(const struct backend *b);
bool backend_is_backing_off(const struct backend *b, int64_t now_ms);
bool backend_may_probe(const struct backend *b, enum send_kind kind,
		       int64_t now_ms);
bool service_is_usable(const struct service *s, int64_t now_ms);
int64_t service_resume_ms(const struct service *s, int64_t now_ms);
const char *hold_name(enum hold hold);

#endif
