/*
 * Datagrams to and from the other entry instances: heartbeats, the roster, the
 * questions who somebody is, and whatever else the control thread sends them.
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
	unsigned joins;		 /* peers that came, or came back, so far */
	bool joined;		 /* a peer is new; it hasn't heard of changes */
	uint32_t roster_digest;	 /* of the last one sent */
	int64_t roll_changed_ms; /* it was another then */
	int64_t rolled_ms;	 /* this instance's last roster; 0: none */
	uint64_t bytes_in, bytes_out;
	/* A message that is not only about who lives. */
	void (*received)(void *priv, const struct gossip_message *m);
	void *priv;
};

int peer_channel_open(struct peer_channel *ch, struct ev_loop *loop,
		      const char *listen, const struct peer_info *self,
		      void (*received)(void *priv,
				       const struct gossip_message *m),
		      void *priv);
void peer_channel_tick(struct peer_channel *ch, int64_t now_ms);
void peer_channel_send_live(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms);
void peer_channel_send_plain(struct peer_channel *ch, const struct buf *b,
			     int64_t now_ms);
void peer_channel_send_hubs(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms);
void peer_channel_call(struct peer_channel *ch, struct limit_call *call,
		       int64_t now_ms);
void peer_channel_beat_live(struct peer_channel *ch, int64_t now_ms);
void peer_channel_beat_all(struct peer_channel *ch, int64_t now_ms);

#endif
