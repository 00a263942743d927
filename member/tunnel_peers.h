/*
 * The instances through which this one may tunnel to backend servers: all that
 * callers are given, with what is known of their tunnels. No I/O.
 */
#ifndef MP_MEMBER_TUNNEL_PEERS_H
#define MP_MEMBER_TUNNEL_PEERS_H

#include "member/peers.h"

struct tunnel_peer {
	char name[PEER_NAME_MAX], dc[PEER_NAME_MAX];
	struct sockaddr_in addr; /* where it serves tunnels */
	bool listed;		 /* still alive and not leaving */
	unsigned refs;		 /* connections through it */
	GHashTable *records;	 /* service -> struct tunnel_record * */
};

struct tunnel_peers {
	GPtrArray *list; /* struct tunnel_peer * */
	char self[PEER_NAME_MAX];
	char dc[PEER_NAME_MAX];
	unsigned turn;	 /* of tunnels to unproven peers */
	int port_offset; /* of the tunnels' port from the peers' port */
};

/* Where to look for a peer first. */
enum tunnel_scope {
	TUNNEL_NEAR, /* in the own data centre: cheaper and faster */
	TUNNEL_FAR,  /* elsewhere: less likely to have lost the same links */
};

void tunnel_peers_init(struct tunnel_peers *t, const char *self, const char *dc,
		       int port_offset);
void tunnel_peers_update(struct tunnel_peers *t, const GArray *named);
struct tunnel_peer *tunnel_peers_pick(struct tunnel_peers *t,
				      const void *service,
				      enum tunnel_scope scope, GRand *rand,
				      int64_t now_ms);
void tunnel_peer_ref(struct tunnel_peer *p);
void tunnel_peer_unref(struct tunnel_peer *p);
void tunnel_peer_failed(struct tunnel_peer *p, const void *service,
			int64_t now_ms);
void tunnel_peer_worked(struct tunnel_peer *p, const void *service,
			int64_t now_ms);

#endif
