/*
 * Datagrams between entry instances: heartbeats, and the changes of the list
 * of backend servers that one instance read for all. msgpack over UDP: a
 * datagram that is lost is made good by the next one or by a read of the
 * store, and there is no connection that could fall silent.
 */
#ifndef MP_MEMBER_GOSSIP_H
#define MP_MEMBER_GOSSIP_H

#include <msgpack.h>

#include "core/backend.h"
#include "core/drain_news.h"
#include "core/limit_news.h"
#include "core/limit_want.h"
#include "core/peer_load.h"
#include "member/hubs.h"
#include "member/peers.h"
#include "misc/buf.h"

enum gossip_kind {
	GOSSIP_HEARTBEAT = 1,
	GOSSIP_FEED = 2,
	GOSSIP_LOAD = 11,	   /* requests out; its sender is an id only */
	GOSSIP_ROSTER = 4,	   /* who lives, as a hub hears it */
	GOSSIP_INFO_REQUEST = 5,   /* asks who an id of a roster is */
	GOSSIP_ROSTER_DIGEST = 8,  /* the roster hasn't changed: its digest */
	GOSSIP_ROSTER_REQUEST = 9, /* asks for the whole roster */
	GOSSIP_INFO = 6,	   /* what another instance said of itself */
	GOSSIP_CRASHES = 10,	   /* requests under which servers ended */
	GOSSIP_GRANT_REQUEST = 13, /* asks for a send that another may make */
	GOSSIP_GRANT = 14,    /* gives one up; their senders are ids only */
	GOSSIP_DRAINING = 15, /* servers that leave; its sender is an id only */
	GOSSIP_LIMITS = 12,   /* limits of servers; its sender is an id only */
};

/* Kinds of changes on the wire. */
enum { CHANGE_PLAIN, CHANGE_MISSING, CHANGE_UNCONFIRMED };

/* One record of the list of backend servers. */
struct backend_change {
	struct store_position pos;
	bool removed; /* only entry.id is meant */
	/*
	 * Only entry.id is meant: the store has come back from a copy that
	 * lacks it, so it is gone unless it is written again in time.
	 */
	bool missing;
	/*
	 * The copy has it though it had left: it is back unless it is removed
	 * again in time.
	 */
	bool unconfirmed;
	struct backend_entry entry;
};

/* What instances tell each other of a request under which servers ended. */
enum crash_notice_kind {
	CRASH_NOTICE_CRASHED = 1,    /* a server ended under it */
	CRASH_NOTICE_ANSWERED = 2,   /* a server has answered it */
	CRASH_NOTICE_QUARANTINE = 3, /* it is refused */
};

struct crash_notice {
	enum crash_notice_kind kind;
	uint64_t digest; /* of the request */
	uint32_t detail; /* backend_start_hash(), or terms of quarantine */
};

/* News that fit one datagram, 16 bytes each. */
enum { CRASH_NOTICES_MAX = 64 };

/* The list's changes between two places. */
struct backend_feed {
	/*
	 * Covers records from <= pos < to. Where `to` is of a later era, those
	 * of `from` to it as a whole, and those of its own from `listed` on.
	 */
	struct store_position from, listed_from, to;
	uint32_t
		age_ms; /* since the store was asked; AGE_UNKNOWN in parts but the last */
	uint32_t removal_delay_ms; /* removals are held back this much longer */
	GArray *changes;	   /* struct backend_change, by pos */
};

struct gossip_message {
	enum gossip_kind kind;
	struct peer_info sender;
	struct backend_feed feed; /* of GOSSIP_FEED */
	struct peer_load load;	  /* of GOSSIP_LOAD */
	struct roster roster;	  /* of GOSSIP_ROSTER */
	uint32_t info_id;	  /* of GOSSIP_INFO_REQUEST: the id asked for */
	uint32_t digest;	  /* of GOSSIP_ROSTER_DIGEST */
	struct peer_info info;	  /* of GOSSIP_INFO */
	struct limit_news limits; /* of GOSSIP_LIMITS */
	struct drain_news drain;  /* of GOSSIP_DRAINING */
	struct limit_call call;	  /* of GOSSIP_GRANT_REQUEST and GOSSIP_GRANT */
	GArray *crashes;	  /* of GOSSIP_CRASHES: struct crash_notice */
};

/* Fits an Ethernet frame, so that no datagram comes in pieces. */
enum { GOSSIP_MAX = 1400 };

void gossip_write_heartbeat(struct buf *out, const struct peer_info *self);
guint gossip_feed_first(const struct backend_feed *feed,
			struct store_position told, guint changes_max);
guint gossip_write_feed(struct buf *out, const struct peer_info *self,
			const struct backend_feed *feed, guint begin);
void gossip_write_load(struct buf *out, const struct peer_load *load);
guint gossip_write_roster(struct buf *out, const struct peer_info *self,
			  const struct roster *roster, guint begin);
void gossip_write_info_request(struct buf *out, const struct peer_info *self,
			       uint32_t id);
void gossip_write_roster_digest(struct buf *out, const struct peer_info *self,
				uint32_t digest);
void gossip_write_roster_request(struct buf *out, const struct peer_info *self);
void gossip_write_info(struct buf *out, const struct peer_info *self,
		       const struct peer_info *person);
void gossip_write_crashes(struct buf *out, const struct peer_info *self,
			  const struct crash_notice *news, unsigned n);
void gossip_write_limits(struct buf *out, const struct limit_news *news);
void gossip_write_drain(struct buf *out, const struct drain_news *news);
void gossip_write_grant(struct buf *out, const struct limit_call *call);
bool gossip_has_sender_info(const struct gossip_message *m);
int gossip_read(struct lstr bytes, struct gossip_message *m);
void gossip_pack_change(msgpack_packer *pk, const struct backend_change *c);
bool gossip_read_change(const msgpack_object *o, struct backend_change *out);
void gossip_message_clear(struct gossip_message *m);

#endif
