/* Messages between an instance and the holders of a workspace's quota. */
#ifndef MP_CORE_QUOTA_MESSAGE_H
#define MP_CORE_QUOTA_MESSAGE_H

#include <stdint.h>

enum quota_op {
	/* To a holder. */
	QUOTA_ASK = 1,	     /* requests a grant */
	QUOTA_ASK_LATE = 6,  /* the same for one that will be late */
	QUOTA_GIVE_BACK = 2, /* the granted request never ran */
	/* From a holder. */
	QUOTA_GRANT = 3,
	QUOTA_EMPTY = 4,
	QUOTA_NOT_HELD = 5, /* the instance isn't a holder in its own view */
};

struct quota_message {
	uint32_t from, to; /* peer_id() */
	uint32_t op;	   /* enum quota_op */
	uint32_t workspace;
	uint32_t serial;  /* of the request for a grant */
	uint32_t stamp;	  /* of the grant, see quota_bucket_grant() */
	uint32_t wait_ms; /* of QUOTA_EMPTY: until there are tokens */
	uint32_t turn_ms; /* of QUOTA_EMPTY: when the caller may come back */
};

#endif
