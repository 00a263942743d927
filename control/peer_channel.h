/*
 * Datagrams to and from the other entry instances: heartbeats, the roster of
 * live instances, requests for a member's details, and other messages of the
 * control thread.
 */
#ifndef MP_CONTROL_PEER_CHANNEL_H
#define MP_CONTROL_PEER_CHANNEL_H

#include <ev.h>

#include "member/gossip.h"

struct peer_channel {
	struct ev_loop *loop;
	struct peer_table peers;
	int sock;
	ev_io io;
	unsigned joins;		   /* peers that joined or returned so far */
	bool has_new_peer;	   /* a peer joined since the last feed */
	bool relaying;		   /* a relayed message is being handled */
	unsigned roster_turn;	   /* number of rosters sent */
	uint32_t roster_digest;	   /* of the last roster sent */
	int64_t roster_changed_ms; /* when that digest last changed */
	int64_t last_roster_ms;	   /* when the last roster was sent; 0: never */
	uint64_t bytes_in, bytes_out;
	/* Called for each message that was received. */
	void (*received)(void *priv, const struct gossip_message *m);
	void *priv;
};

int peer_channel_open(struct peer_channel *ch, struct ev_loop *loop,
		      const char *listen, const struct peer_info *self,
		      void (*received)(void *priv,
				       const struct gossip_message *m),
		      void *priv);
void peer_channel_tick(struct peer_channel *ch, int64_t now_ms);
void peer_channel_send(struct peer_channel *ch, const struct buf *b,
		       struct peer *p, int64_t now_ms);
void peer_channel_send_live(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms);
void peer_channel_distribute(struct peer_channel *ch, const struct buf *b,
			     unsigned turn, bool new_direct, int64_t now_ms);
void peer_channel_send_plain(struct peer_channel *ch, const struct buf *b,
			     const char *dc, int64_t now_ms);
void peer_channel_send_sample(struct peer_channel *ch, const struct buf *b,
			      unsigned max, int64_t now_ms);
void peer_channel_send_hubs(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms);
void peer_channel_send_quota(struct peer_channel *ch, struct quota_message *m);
void peer_channel_send_limit_call(struct peer_channel *ch,
				  struct limit_borrow_msg *call,
				  int64_t now_ms);
unsigned peer_channel_discard(struct peer_channel *ch);
void peer_channel_send_join(struct peer_channel *ch,
			    const struct sockaddr_in *to);
void peer_channel_greet(struct peer_channel *ch, int64_t now_ms);
void peer_channel_heartbeat_live(struct peer_channel *ch, int64_t now_ms);
void peer_channel_heartbeat_all(struct peer_channel *ch, int64_t now_ms);

#endif
