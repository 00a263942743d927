/*
 * Records of verdicts on requests that crash servers. They are kept beside the
 * instances' records in the platform's store: an instance reads both in one
 * listing at startup, so verdicts survive restarts of all processes at no extra
 * call. Few are ever written; each write is retried until it succeeds.
 */
#ifndef MP_CONTROL_CRASH_RECORD_H
#define MP_CONTROL_CRASH_RECORD_H

#include <glib.h>

#include "member/gossip.h"
#include "platform/store.h"

struct crash_record {
	struct ev_loop *loop;
	struct store_channel store;
	const struct peer_info *self;
	ev_timer retry;
	GQueue pending; /* struct crash_notice *, the first is being written */
	unsigned failures;
};

void crash_record_start(struct crash_record *r, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct peer_info *self);
void crash_record_batch(struct buf *batch, const struct peer_info *self,
			const struct crash_notice *notice);
bool crash_record_is_pending(const struct crash_record *r, uint64_t digest);
void crash_record_put(struct crash_record *r,
		      const struct crash_notice *notice);

#endif
