/*
 * The control thread of an entry instance: the platform's store, the peers
 * and the signals. It owns what the instance believes of the system and
 * sends changes to the traffic thread.
 */
#ifndef MP_CONTROL_CONTROL_H
#define MP_CONTROL_CONTROL_H

#include "control/backend_watch.h"
#include "control/config_watch.h"
#include "control/crash_watch.h"
#include "control/feeder.h"
#include "control/introduce.h"
#include "control/member_record.h"
#include "control/peer_channel.h"
#include "control/record_check.h"
#include "control/start.h"
#include "core/peer_load.h"
#include "misc/mailbox.h"
#include "options/instance.h"

/* Messages to the traffic thread; the receiver owns the data. */
enum to_traffic {
	TO_TRAFFIC_CONFIG = 1,	   /* struct config * */
	TO_TRAFFIC_BACKEND = 2,	   /* struct backend_change * */
	TO_TRAFFIC_PEERS = 3,	   /* struct peer_view * */
	TO_TRAFFIC_LOAD = 5,	   /* struct peer_load * */
	TO_TRAFFIC_STOP = 4,	   /* nothing: stop as planned */
	TO_TRAFFIC_VERDICT = 7,	   /* struct verdict * */
	TO_TRAFFIC_LIMITS = 8,	   /* struct limit_news * */
	TO_TRAFFIC_LIMIT_CALL = 9, /* struct limit_call * */
	TO_TRAFFIC_DRAIN = 10,	   /* struct drain_news * */
	TO_TRAFFIC_BOUNDS = 6,	   /* struct bounds *, of changed settings */
};

/* Messages from the traffic thread; the receiver owns the data. */
enum from_traffic {
	FROM_TRAFFIC_STOPPED = 1,    /* nothing: all is served */
	FROM_TRAFFIC_CRASH = 3,	     /* struct crash_notice * */
	FROM_TRAFFIC_LOAD = 2,	     /* struct peer_load *, without a name */
	FROM_TRAFFIC_LIMITS = 4,     /* struct limit_news *, without a name */
	FROM_TRAFFIC_DRAIN = 6,	     /* struct drain_news *, without a name */
	FROM_TRAFFIC_LIMIT_CALL = 5, /* struct limit_call *, without `from` */
};

/* What the traffic thread needs of the peers. */
struct peer_view {
	unsigned instances; /* that share the system's allowances */
	GArray *named; /* struct peer_endpoint, those that callers may use */
	/* struct limit_sharer, see peers_sharers(); empty: not known yet */
	GArray *sharers;
};

/* What the traffic thread reads of the control thread, by atomic loads. */
struct control_view {
	int64_t fresh_ms; /* the list of backend servers is as of then */
	uint64_t cpu_us;
	uint64_t bytes_in, bytes_out; /* store and peers, bodies */
	uint64_t store_calls;
	uint64_t store_era;	/* 0: none named */
	uint64_t config_offset; /* records before it are taken in */
	uint64_t config_era;	/* in this era */
	int64_t config_ms;	/* the newest version is known as of then */
};

struct control {
	struct ev_loop *loop;
	struct instance_settings settings; /* in force */
	struct settings_source settings_source;
	struct mailbox *out;
	struct mailbox in; /* from the traffic thread: it has stopped */
	struct peer_channel peers;
	struct peer_view last_view;
	struct feeder feeder;
	ev_timer tick;
	ev_timer era_risen; /* at once, but not from within a call */
	uint64_t era_told;  /* the configuration's, as peers were told */
	ev_signal term, interrupt, hup;
	struct store_endpoint store;
	struct config_source source;
	struct config_watch config;
	struct backend_watch backends;
	struct member_record record;
	struct introduce introduce;
	struct crash_watch crashes;
	struct record_check records;
	int64_t started_ms;
	bool met;  /* a peer was heard since the start */
	bool knew; /* it has known what it needs to serve, and may serve */
	int64_t stopping_ms; /* 0: not stopping */
	struct control_view view;
};

int control_init(struct control *c, const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct config_source *source, struct mailbox *out);
void control_run(struct control *c);
void control_tell_traffic(struct control *c, int kind, void *data);

#endif
