/*
 * Evidence of whether this instance reaches the servers of a service itself. A
 * link of this instance that fails looks like the failure of a server; several
 * different servers that fail in a row, with none that answers in between, more
 * likely share a cause.
 */
#ifndef MP_CORE_REACH_H
#define MP_CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

struct backend;

/* Outcome of using a direct connection to a server. */
enum reach_outcome {
	REACH_OPENED,	   /* a new connection: the first response */
	REACH_ANSWERED,	   /* an older connection: a response */
	REACH_OPEN_FAILED, /* a new connection: failed without a response */
	REACH_HUNG,	   /* an older connection: a probe wasn't answered */
};

/* Failures of one kind in a row, each at another server than the last. */
struct reach_failures {
	unsigned servers;
	const struct backend *last; /* only compared */
	int64_t at_ms;		    /* of the last failure */
	int err;		    /* its negative errno */
};

struct reach {
	struct reach_failures open, hung;
	int64_t lost_ms;     /* since when no server is reached; 0: one is */
	int64_t answered_ms; /* last response on a direct connection */
};

void reach_record(struct backend *b, enum reach_outcome outcome, int err,
		  int64_t now_ms);
bool reach_is_lost(const struct reach *r);
bool reach_is_hung(const struct reach *r);
bool reach_is_refused(const struct reach *r);

#endif
