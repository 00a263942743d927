/*
 * The entry instances of the system as one of them knows them: from their
 * records in the platform's store and from their heartbeats. Decisions on
 * values only; the datagrams are in member/gossip.h.
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
	PEER_LOST_MS = 10 * 1000, /* unheard of for so long: taken as gone */
};

/* In the place of an age that nobody confirmed in the store's present era. */
#define AGE_UNKNOWN UINT32_MAX

/* How far an instance knows the configuration. */
struct config_progress {
	struct store_position pos; /* records before it are taken in */
	uint32_t age_ms;	   /* it knew then that these are all */
	uint64_t version;	   /* the newest that it knows; 0: none */
	uint32_t digest;	   /* of that version's record */
};

/* What an instance says of itself. */
struct peer_info {
	char name[PEER_NAME_MAX];
	char dc[PEER_NAME_MAX];
	char caller_addr[PEER_ADDR_MAX]; /* where callers connect */
	char own_addr[PEER_ADDR_MAX]; /* where those of the own interface do */
	struct sockaddr_in addr;      /* where its peers reach it */
	uint64_t boot_id;	      /* random, one for each start */
	bool leaving;		      /* it is stopping as planned */
	bool ready;		      /* it knows what it needs to serve */
	uint64_t store_era;	      /* the highest that it has heard of */
	uint64_t records_era;	      /* its own records stand there in it */
	struct config_progress config;
};

struct peer {
	struct peer_info info;
	int64_t added_ms;     /* since when */
	int64_t heartbeat_ms; /* its last heartbeat; 0: never */
	uint32_t id;	      /* peer_id() of its name */
	bool roster_ready;    /* as the roster says */
	bool in_roster;	      /* the last roster that covers it names it */
	int64_t roster_ms;    /* when one last did; 0: never */
	int64_t sent_ms;      /* our last datagram to it; 0: none yet */
	bool hub;	      /* heartbeats go to it, see member/hubs.h */
	bool logged_alive;    /* alive, as far as the log has told */
};

/* What callers are told of an instance. */
struct peer_endpoint {
	char name[PEER_NAME_MAX], dc[PEER_NAME_MAX];
	char caller_addr[PEER_ADDR_MAX], own_addr[PEER_ADDR_MAX];
};

/* One that lives and stays, as a hub hears it. */
struct roster_entry {
	uint32_t id; /* peer_id() of its name; 0: nobody */
	bool ready;  /* it can serve */
};

struct peer_table {
	struct peer_info self;
	GPtrArray *peers;	    /* struct peer *, ordered by name */
	int64_t roster_received_ms; /* when a part of a roster last came; 0: never */
	struct roster_entry
		self_in_roster; /* how a roster named this instance */
};

void peers_init(struct peer_table *t, const struct peer_info *self);
struct peer *peers_add(struct peer_table *t, const struct peer_info *info,
		       int64_t now_ms);
bool peers_note_heartbeat(struct peer_table *t, const struct peer_info *info,
			  int64_t now_ms);
bool peer_alive(const struct peer *p, int64_t now_ms);
uint32_t peer_id(const char *name);
int64_t peer_last_seen_ms(const struct peer *p);
struct peer *peers_find(const struct peer_table *t, const char *name);
const struct peer *peers_next_lost(struct peer_table *t, int64_t now_ms);
unsigned peers_rank(const struct peer_table *t, int64_t now_ms);
unsigned peers_startup_rank(const struct peer_table *t, int64_t now_ms);
unsigned peers_count_ready(const struct peer_table *t, int64_t now_ms);
uint64_t peers_records_era(const struct peer_table *t);
unsigned peers_count(const struct peer_table *t, int64_t now_ms);
GArray *peers_sharers(const struct peer_table *t, uint32_t stop_ms,
		      int64_t now_ms);
GArray *peers_for_callers(const struct peer_table *t, int64_t now_ms);

const struct peer *peers_pick_source(const struct peer_table *t, unsigned turn,
				     int64_t now_ms);

#endif
