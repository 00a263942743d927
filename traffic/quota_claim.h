/* What one request has of its workspace's quota. */
#ifndef MP_TRAFFIC_QUOTA_CLAIM_H
#define MP_TRAFFIC_QUOTA_CLAIM_H

#include <ev.h>

#include "core/quota_pick.h"

enum quota_state {
	QUOTA_NONE, /* no quota applies, or nothing is granted */
	QUOTA_ASKING,
	QUOTA_HELD, /* granted */
};

struct quota_claim {
	enum quota_state state;
	uint32_t workspace;
	uint32_t serial;    /* of the current ask */
	uint32_t holder;    /* that granted, or was asked last */
	uint32_t stamp;	    /* of the grant */
	int64_t granted_ms; /* clock that runs in suspend */
	int64_t asked_ms;   /* the last holder */
	int64_t began_ms;   /* the first holder */
	struct quota_asked asked;
	bool late;	     /* the request can't be on time any more */
	bool stalled;	     /* waited once more, see on_timer() */
	bool last_wait;	     /* asks no more, but takes answers */
	unsigned refused;    /* by holders that were asked */
	uint32_t soonest_ms; /* first turn that one of them named */
	ev_timer timer;
};

#endif
