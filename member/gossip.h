/*
 * Datagrams between entry instances: heartbeats, membership, and updates on
 * backend servers, among them the changes of the backend list that one instance
 * reads on behalf of all. Encoded as msgpack over UDP. A lost datagram is made
 * up for by the next one or by a read of the store, and there is no connection
 * that could hang.
 */
#ifndef MP_MEMBER_GOSSIP_H
#define MP_MEMBER_GOSSIP_H

#include <msgpack.h>

#include "core/backend.h"
#include "core/drain_gossip.h"
#include "core/limit_gossip.h"
#include "core/limit_borrow.h"
#include "core/peer_load.h"
#include "core/quota_message.h"
#include "core/shortage_gossip.h"
#include "member/hubs.h"
#include "member/peers.h"
#include "misc/buf.h"

enum gossip_kind {
	GOSSIP_HEARTBEAT = 1,
	GOSSIP_FEED = 2,
	GOSSIP_LOAD = 11,	  /* requests in flight; sender is an id only */
	GOSSIP_ROSTER = 4,	  /* live instances, as known to a hub */
	GOSSIP_INFO_REQUEST = 18, /* requests the instances with these ids */
	GOSSIP_ROSTER_DIGEST = 8, /* the roster is unchanged */
	GOSSIP_ROSTER_REQUEST = 9, /* requests the full roster */
	GOSSIP_JOIN = 16, /* from a non-member: requests peers that can serve */
	GOSSIP_INFO = 17, /* live instances */
	GOSSIP_CRASHES = 10,	   /* requests that crashed backends */
	GOSSIP_GRANT_REQUEST = 13, /* requests a send from a peer */
	GOSSIP_GRANT = 14,	   /* gives up a send; both: sender is an id */
	GOSSIP_DRAINING = 15,	   /* draining backends; sender is an id only */
	GOSSIP_RELAY = 19,	   /* a message to forward in the data centre */
	GOSSIP_QUOTA_ASK = 20,	   /* to the holder of a quota */
	GOSSIP_QUOTA_ANSWER = 21,  /* from it; both: sender is an id */
	GOSSIP_LIMITS = 12,	   /* backends' limits; sender is an id only */
	GOSSIP_SHORTAGE = 22,	   /* who found no room; sender is an id */
};

/* Values of a change's kind field on the wire. */
enum { CHANGE_PLAIN, CHANGE_MISSING, CHANGE_UNCONFIRMED };

/* One change of the list of backend servers. */
struct backend_change {
	struct store_position pos;
	bool removed; /* only entry.id is set */
	/*
	 * The store was restored from a copy that lacks this record: the server
	 * is removed unless it is written again in time. Only entry.id is set.
	 */
	bool missing;
	/*
	 * The restored copy has this record although it had been removed
	 * before: the server is back unless it is removed again in time.
	 */
	bool unconfirmed;
	struct backend_entry entry;
};

/*
 * What instances report to each other about a request that may crash servers.
 */
enum crash_notice_kind {
	CRASH_NOTICE_CRASHED = 1,    /* a server ended while running it */
	CRASH_NOTICE_ANSWERED = 2,   /* a server has answered it */
	CRASH_NOTICE_QUARANTINE = 3, /* it is quarantined */
};

struct crash_notice {
	enum crash_notice_kind kind;
	uint64_t digest; /* of the request */
	uint32_t detail; /* backend_start_hash() or quarantine terms */
	uint32_t age_ms; /* of what it tells */
};

/* Notices that fit into one datagram, at 21 bytes each. */
enum { CRASH_NOTICES_MAX = 48 };

/* The changes of the backend list between two positions of the store. */
struct backend_feed {
	/*
	 * Covers the records with from <= pos < to. If `to` is of a later era
	 * than `from`, everything before the era of `to` is covered, and that
	 * era starting at listed_from.
	 */
	struct store_position from, listed_from, to;
	/*
	 * Time since the store was queried. AGE_UNKNOWN in all parts but the
	 * last.
	 */
	uint32_t age_ms;
	/*
	 * The sender's list has had no gap for so long. AGE_UNKNOWN: it has one
	 * now.
	 */
	uint32_t covered_ms;
	bool after_gap;	 /* the store may have been away before that */
	GArray *changes; /* struct backend_change, ordered by pos */
};

struct gossip_message {
	enum gossip_kind kind;
	struct peer_info sender;
	struct backend_feed feed;   /* of GOSSIP_FEED */
	struct peer_load load;	    /* of GOSSIP_LOAD */
	struct roster roster;	    /* of GOSSIP_ROSTER */
	GArray *ids;		    /* of GOSSIP_INFO_REQUEST: uint32_t */
	uint32_t digest;	    /* of GOSSIP_ROSTER_DIGEST */
	GArray *infos;		    /* of GOSSIP_INFO: struct peer_report */
	struct buf relayed;	    /* of GOSSIP_RELAY: the message */
	struct limit_gossip limits; /* of GOSSIP_LIMITS */
	struct drain_gossip drain;  /* of GOSSIP_DRAINING */
	struct shortage_gossip shortage; /* of GOSSIP_SHORTAGE */
	struct limit_borrow_msg
		call; /* of GOSSIP_GRANT_REQUEST and GOSSIP_GRANT */
	struct quota_message quota; /* of GOSSIP_QUOTA_ASK and _ANSWER */
	GArray *crashes;	    /* of GOSSIP_CRASHES: struct crash_notice */
};

enum {
	/* Fits an Ethernet frame, so that datagrams are not fragmented. */
	GOSSIP_MAX = 1400,
	/* Of a message that a relay forwards, so that it fits in another. */
	GOSSIP_RELAYED_MAX = GOSSIP_MAX - 190,
};

void gossip_write_heartbeat(struct buf *out, const struct peer_info *self);
guint gossip_feed_first(const struct backend_feed *feed,
			struct store_position sent_to, guint changes_max);
guint gossip_write_feed(struct buf *out, const struct peer_info *self,
			const struct backend_feed *feed, guint begin);
void gossip_write_changes(struct buf *out, const struct peer_info *self,
			  const struct backend_feed *feed,
			  struct store_position since);
void gossip_write_load(struct buf *out, const struct peer_load *load);
guint gossip_write_roster(struct buf *out, const struct peer_info *self,
			  const struct roster *roster, guint begin);
guint gossip_write_info_request(struct buf *out, const struct peer_info *self,
				const GArray *ids, guint begin);
void gossip_write_relay(struct buf *out, const struct peer_info *self,
			struct lstr message);
void gossip_write_join(struct buf *out, const struct peer_info *self);
void gossip_write_roster_digest(struct buf *out, const struct peer_info *self,
				uint32_t digest);
void gossip_write_roster_request(struct buf *out, const struct peer_info *self);
unsigned gossip_write_info(struct buf *out, const struct peer_info *self,
			   const struct peer_report *reports, unsigned n);
void gossip_write_crashes(struct buf *out, const struct peer_info *self,
			  const struct crash_notice *notices, unsigned n);
void gossip_write_limits(struct buf *out, const struct limit_gossip *update);
void gossip_write_drain(struct buf *out, const struct drain_gossip *update);
void gossip_write_shortage(struct buf *out,
			   const struct shortage_gossip *update);
void gossip_write_grant(struct buf *out, const struct limit_borrow_msg *call);
void gossip_write_quota(struct buf *out, const struct quota_message *m);
bool gossip_read_quota(const msgpack_object *fields, size_t n,
		       struct quota_message *m);
bool gossip_has_sender_info(const struct gossip_message *m);
int gossip_read(struct lstr bytes, struct gossip_message *m);
void gossip_pack_info(msgpack_packer *pk, const struct peer_info *p);
bool gossip_read_info(const msgpack_object *o, struct peer_info *p);
void gossip_pack_change(msgpack_packer *pk, const struct backend_change *c);
bool gossip_read_change(const msgpack_object *o, struct backend_change *out);
void gossip_message_clear(struct gossip_message *m);

#endif
