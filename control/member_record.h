/*
 * This instance's record among those of all instances in the platform's store.
 * It is written at each startup, so that instances find each other; the others'
 * are read once. From then on, heartbeats show which instances are alive.
 * Verdicts on requests that crash servers are stored beside them, see
 * control/crash_record.h.
 */
#ifndef MP_CONTROL_MEMBER_RECORD_H
#define MP_CONTROL_MEMBER_RECORD_H

#include "member/peers.h"
#include "platform/store.h"

struct member_record {
	struct ev_loop *loop;
	struct store_channel store;
	ev_timer retry;
	void (*on_members)(void *priv); /* the members' records were read */
	void (*on_verdicts)(void *priv, const GArray *notices);
	void *priv;
	struct peer_table *peers;
	bool written, listed;
	int64_t listed_ms;
	unsigned failures;
};

void member_record_start(struct member_record *m, struct ev_loop *loop,
			 struct store_endpoint *store, struct peer_table *peers,
			 void (*on_members)(void *priv),
			 void (*on_verdicts)(void *priv, const GArray *notices),
			 void *priv);

#endif
