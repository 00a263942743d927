/*
 * Makes this instance a member of the deployment when it starts: gets the
 * members from a peer or, if none is found, from their records in the
 * platform's store, see member/join.h. From then on, heartbeats show which
 * instances are alive. The first instance by name writes the records, see
 * control/record_check.h. Verdicts on requests that crash servers are stored
 * beside them, see control/crash_record.h.
 */
#ifndef MP_CONTROL_MEMBER_JOIN_H
#define MP_CONTROL_MEMBER_JOIN_H

#include "control/peer_channel.h"
#include "member/join.h"
#include "member/snapshot.h"
#include "platform/store.h"

struct member_join {
	struct ev_loop *loop;
	struct store_channel store;
	struct peer_channel *channel;
	void (*on_members)(void *priv); /* the members are known */
	void (*on_record)(void *priv, const struct peer_info *p);
	void (*on_verdicts)(void *priv, const GArray *notices);
	void *priv;
	struct join plan;
	GArray *seeds;	   /* struct sockaddr_in */
	int64_t asked_ms;  /* when the last seed was asked */
	unsigned failures; /* of listings, consecutive */
};

void member_join_start(struct member_join *m, struct ev_loop *loop,
		       struct store_endpoint *store,
		       struct peer_channel *channel, GArray *seeds,
		       bool is_seed, bool first_start,
		       void (*on_members)(void *priv),
		       void (*on_record)(void *priv, const struct peer_info *p),
		       void (*on_verdicts)(void *priv, const GArray *notices),
		       void *priv);
bool member_join_tick(struct member_join *m, bool fetching, int64_t now_ms);
void member_join_apply(struct member_join *m, const struct snapshot *s,
		       int64_t now_ms);
void member_join_fetch_failed(struct member_join *m);

#endif
