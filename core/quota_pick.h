/*
 * Which holder of a workspace's quota an instance asks next. Answers the load
 * of a workspace at many instances: what an instance has heard of a holder
 * decides whether it is worth asking, so that a workspace far beyond its quota
 * costs few messages, and a holder that doesn't answer costs few waits.
 */
#ifndef MP_CORE_QUOTA_PICK_H
#define MP_CORE_QUOTA_PICK_H

#include "core/limit_share.h"
#include "core/quota.h"

enum {
	QUOTA_ASKS_MAX = 6, /* holders asked for one request */
	/*
	 * The same while requests of the workspace are refused: its tokens are
	 * found by some of the many requests anyway.
	 */
	QUOTA_ASKS_PRESSED = 2,
	QUOTA_PRESSED_MS = 500, /* how long that holds after a refusal */
};

struct quota_holder {
	uint32_t id; /* peer_id() */
	bool reachable;
	int64_t empty_until_ms;	 /* it has refused until then */
	int64_t silent_until_ms; /* it left a question unanswered */
};

/* The holders of one quota, as this instance sees them. */
struct quota_holders {
	struct quota_holder list[QUOTA_HOLDERS_MAX];
	unsigned n;
	uint32_t self;	    /* peer_id() of this instance */
	int64_t refused_ms; /* last refusal by all that were asked; 0: none */
};

/* The holders asked for one request. */
struct quota_asked {
	uint32_t ids[QUOTA_ASKS_MAX];
	unsigned n;
};

void quota_holders_set(struct quota_holders *h, uint32_t workspace, unsigned k,
		       const struct limit_instances *instances);
struct quota_holder *quota_holders_find(struct quota_holders *h, uint32_t id);
struct quota_holder *quota_holders_pick(struct quota_holders *h,
					const struct quota_asked *asked,
					int64_t now_ms, uint32_t random);
void quota_holders_refused(struct quota_holders *h, int64_t now_ms);
int64_t quota_holders_empty_ms(const struct quota_holders *h, int64_t now_ms);

#endif
