/*
 * The control thread of an entry instance: it talks to the platform's store and
 * to the peers, and handles signals. It owns the instance's view of the system
 * and sends changes to the traffic thread.
 */
#ifndef MP_CONTROL_CONTROL_H
#define MP_CONTROL_CONTROL_H

#include "core/config_spread.h"
#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "control/crash_watch.h"
#include "control/feeder.h"
#include "control/peer_fetch.h"
#include "control/member_join.h"
#include "control/peer_channel.h"
#include "control/record_check.h"
#include "control/stall.h"
#include "control/start.h"
#include "core/peer_load.h"
#include "misc/mailbox.h"
#include "options/instance.h"

/* Messages to the traffic thread; the receiver owns the data. */
enum to_traffic {
	TO_TRAFFIC_CONFIG = 1,	      /* struct config * */
	TO_TRAFFIC_BACKEND = 2,	      /* struct backend_change * */
	TO_TRAFFIC_PEERS = 3,	      /* struct peer_view * */
	TO_TRAFFIC_LOAD = 5,	      /* struct peer_load * */
	TO_TRAFFIC_STOP = 4,	      /* no data: graceful stop */
	TO_TRAFFIC_VERDICT = 7,	      /* struct verdict * */
	TO_TRAFFIC_LIMITS = 8,	      /* struct limit_gossip * */
	TO_TRAFFIC_LIMIT_CALL = 9,    /* struct limit_borrow_msg * */
	TO_TRAFFIC_DRAIN = 10,	      /* struct drain_gossip * */
	TO_TRAFFIC_BOUNDS = 6,	      /* struct bounds *, of changed settings */
	TO_TRAFFIC_QUOTA_ASK = 20,    /* struct quota_message * */
	TO_TRAFFIC_QUOTA_ANSWER = 21, /* struct quota_message * */
	TO_TRAFFIC_EVACUATIONS = 11,  /* struct evacuations * */
	TO_TRAFFIC_SHORTAGE = 22,     /* struct shortage_gossip * */
};

/* Messages from the traffic thread; the receiver owns the data. */
enum from_traffic {
	FROM_TRAFFIC_STOPPED = 1,    /* no data: all requests are done */
	FROM_TRAFFIC_CRASH = 3,	     /* struct crash_notice * */
	FROM_TRAFFIC_LOAD = 2,	     /* struct peer_load *, sender not set */
	FROM_TRAFFIC_LIMITS = 4,     /* struct limit_gossip *, sender not set */
	FROM_TRAFFIC_DRAIN = 6,	     /* struct drain_gossip *, sender not set */
	FROM_TRAFFIC_QUOTA_ASK = 20, /* struct quota_message *, no sender */
	FROM_TRAFFIC_QUOTA_ANSWER = 21, /* struct quota_message *, no sender */
	FROM_TRAFFIC_SHORTAGE = 22, /* struct shortage_gossip *, no sender */
	FROM_TRAFFIC_LIMIT_CALL =
		5, /* struct limit_borrow_msg *, `from` not set */
};

/* What the traffic thread needs to know of the peers. */
struct peer_view {
	unsigned instances; /* number that share the system's limits */
	GArray *named; /* struct peer_endpoint, instances that callers may use */
	/*
	 * struct limit_instance, see peers_limit_participants(); empty until
	 * known
	 */
	GArray *participants;
};

/* What the store is called for. */
enum store_user {
	STORE_USER_CONFIG,
	STORE_USER_BACKENDS,
	STORE_USER_JOIN,
	STORE_USER_VERDICTS,
	STORE_USER_RECORDS,
	STORE_USERS
};

/* Values that the traffic thread reads by atomic loads. */
struct control_view {
	int64_t fresh_ms; /* the backend list is complete as of then */
	uint64_t cpu_us;
	uint64_t bytes_in,
		bytes_out; /* to and from store and peers, bodies only */
	uint64_t store_calls;
	uint64_t store_calls_by[STORE_USERS];
	uint64_t store_era;	/* 0: the store named none */
	uint64_t config_offset; /* records before it are applied */
	uint64_t config_era;	/* era of that position */
	int64_t config_ms; /* time as of which the configuration is current */
};

struct control {
	struct ev_loop *loop;
	struct instance_settings settings; /* currently in force */
	struct settings_source settings_source;
	struct mailbox *out;
	struct mailbox in; /* messages from the traffic thread */
	struct peer_channel peers;
	struct peer_view last_view;
	struct feeder feeder;
	ev_timer tick;
	ev_timer era_timer; /* handles a new era outside the store callback */
	uint64_t era_announced; /* last era sent to peers */
	ev_signal term, interrupt, hup;
	struct store_endpoint store;
	struct config_source source;
	struct config_watch config;
	struct backend_watch backends;
	struct member_join join;
	struct peer_fetch peer_fetch;
	struct crash_watch crashes;
	struct record_check records;
	struct stall stall;
	int64_t started_ms;
	struct config_spread spread;
	struct peer_info reporter; /* of the version that is being spread */
	bool seen_peer;		   /* a peer sent something since startup */
	bool list_logged;	   /* the first list of backend servers was */
	bool can_serve;	     /* configuration and list were complete once */
	int64_t stopping_ms; /* when stopping began; 0: not stopping */
	struct control_view view;
};

int control_init(struct control *c, const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct config_source *source, struct mailbox *out);
void control_run(struct control *c);
void control_send_traffic(struct control *c, int kind, void *data);

#endif
