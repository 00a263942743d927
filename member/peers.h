/*
 * The entry instances of the deployment as known to one of them, from their
 * records in the platform's store and from their heartbeats. No I/O;
 * times are passed in, and datagrams are encoded in member/gossip.h.
 */
#ifndef MP_MEMBER_PEERS_H
#define MP_MEMBER_PEERS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "platform/store_position.h"

enum {
	PEER_NAME_MAX = 64,
	PEER_ADDR_MAX = 32,
	/*
	 * Three heartbeats, sent twice a second, plus transit: a dead instance
	 * disappears from the responses to callers within two seconds.
	 */
	PEER_ALIVE_MS = 1700,
	PEER_LOST_MS = 10 * 1000, /* without a sign of life: presumed gone */
	/*
	 * A silent instance may be cut off and still be serving: now and then a
	 * region is partitioned for an hour.
	 */
	PEER_PARTITION_MAX_MS = 2 * 3600 * 1000,
};

/* Age of data that has not been confirmed in the store's current era. */
#define AGE_UNKNOWN UINT32_MAX

/* How far an instance has read the configuration. */
struct config_progress {
	struct store_position pos; /* all records before it have been read */
	uint32_t age_ms;	   /* since these were known to be all */
	uint64_t version;	   /* newest known one; 0: none */
	uint32_t digest;	   /* of that version's record */
};

/* What an instance announces about itself. */
struct peer_info {
	char name[PEER_NAME_MAX];
	char dc[PEER_NAME_MAX];
	char caller_addr[PEER_ADDR_MAX]; /* where callers connect */
	char own_addr[PEER_ADDR_MAX];	 /* listener of the own interface */
	struct sockaddr_in addr;	 /* for datagrams of peers */
	uint64_t boot_id;		 /* random, changes with each start */
	bool leaving;			 /* planned shutdown in progress */
	bool ready;			 /* has all it needs to serve */
	uint64_t store_era;		 /* highest era known to it */
	uint64_t records_era;		 /* era that has its own records */
	struct config_progress config;
};

struct peer {
	struct peer_info info;
	int64_t added_ms;     /* when it was added to the table */
	int64_t heartbeat_ms; /* last heartbeat received; 0: never */
	int64_t returned_ms;  /* first heartbeat of this period alive */
	uint32_t id;	      /* peer_id() of its name */
	bool roster_ready;    /* according to the roster */
	bool roster_relayed;  /* the roster's sender doesn't hear it itself */
	bool in_roster;	      /* the latest roster covering its id lists it */
	int64_t roster_ms;    /* sign of life by one or by a report; 0: none */
	int64_t sent_ms;      /* last datagram sent to it; 0: none yet */
	bool hub;	      /* receives heartbeats, see member/hubs.h */
	bool contact;	      /* likewise while no roster arrives */
	bool logged_alive;    /* alive according to the log */
};

/* The addresses of an instance that callers are given. */
struct peer_endpoint {
	char name[PEER_NAME_MAX], dc[PEER_NAME_MAX];
	char caller_addr[PEER_ADDR_MAX], own_addr[PEER_ADDR_MAX];
	struct sockaddr_in peer_addr; /* as in struct peer_info */
};

/* An instance that is alive and not leaving, as known to a hub. */
struct roster_entry {
	uint32_t id;  /* peer_id() of its name; 0: none */
	bool ready;   /* can serve requests */
	bool relayed; /* the hub knows of it by others only */
};

/* Whether an instance hears others, and why it may not. */
enum contact_state {
	CONTACT_HEARD,	 /* at least one peer is alive */
	CONTACT_SILENT,	 /* all peers fell silent a moment ago */
	CONTACT_ALONE,	 /* the store answers, but no peer is heard */
	CONTACT_CUT_OFF, /* neither the store nor a peer is heard */
};

struct peer_table {
	struct peer_info self;
	GPtrArray *peers;     /* struct peer *, ordered by name */
	int64_t joined_ms;    /* when the members became known; 0: not yet */
	bool joined_by_store; /* from the store, and not from a peer */
	enum contact_state contact; /* see member/contact.h */
	int64_t listening_ms;	    /* receives since then; 0: not yet */
	int64_t roster_received_ms; /* last one received; 0: none yet */
	struct roster_entry self_in_roster; /* as in the last roster */
};

void peers_init(struct peer_table *t, const struct peer_info *self);
struct peer *peers_add(struct peer_table *t, const struct peer_info *info,
		       int64_t now_ms);
bool peers_note_heartbeat(struct peer_table *t, const struct peer_info *info,
			  int64_t now_ms);
bool peer_is_heard(const struct peer *p, int64_t now_ms);
bool peer_alive(const struct peer *p, int64_t now_ms);
uint32_t peer_id(const char *name);
int64_t peer_last_sign_ms(const struct peer *p);
int64_t peer_last_seen_ms(const struct peer *p);
struct peer *peers_find(const struct peer_table *t, const char *name);
const struct peer *peers_next_lost(struct peer_table *t, int64_t now_ms);
unsigned peers_rank(const struct peer_table *t, int64_t now_ms);
unsigned peers_dc_rank(const struct peer_table *t, int64_t now_ms);
unsigned peers_count_alive(const struct peer_table *t, int64_t now_ms);
unsigned peers_count_ready(const struct peer_table *t, int64_t now_ms);
uint64_t peers_records_era(const struct peer_table *t);
unsigned peers_count(const struct peer_table *t, int64_t now_ms);
GArray *peers_limit_participants(const struct peer_table *t, uint32_t stop_ms,
				 int64_t now_ms);

/* An instance as another one describes it. */
struct peer_report {
	struct peer_info info;
	uint32_t sign_age_ms; /* of its last sign; AGE_UNKNOWN: not alive */
};

struct peer_report peer_describe(const struct peer *p, int64_t now_ms);
GArray *peers_reports(const struct peer_table *t, int64_t now_ms);
void peers_note_report(struct peer_table *t, const struct peer_report *report,
		       int64_t now_ms);
unsigned peers_list_sources(const struct peer_table *t, const char *dc,
			    unsigned turn, int64_t now_ms, unsigned max,
			    const struct peer_info **out);
const struct peer_info *peers_pick_source(const struct peer_table *t,
					  unsigned turn, int64_t now_ms);

#endif
