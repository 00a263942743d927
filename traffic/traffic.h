/*
 * The traffic thread of an entry instance: callers' requests, the directory,
 * readiness checks and metrics. Only this thread accesses its state.
 */
#ifndef MP_TRAFFIC_TRAFFIC_H
#define MP_TRAFFIC_TRAFFIC_H

#include <ev.h>

#include "control/control.h"
#include "core/admit.h"
#include "core/probe_budget.h"
#include "core/backend.h"
#include "core/body_memory.h"
#include "core/config.h"
#include "core/dedup.h"
#include "core/limit_gossip.h"
#include "core/caller_timeout.h"
#include "core/evacuations.h"
#include "core/quarantine.h"
#include "http/pool.h"
#include "http/server.h"
#include "member/tunnel_peers.h"
#include "misc/hist.h"
#include "traffic/early.h"
#include "traffic/quotas.h"

/* Statistics of a request class: a service and a target latency. */
struct class_stats {
	char *name;
	struct work_model work; /* distribution of the work time */
	struct caller_timeout caller_timeout;
	uint64_t requests, served, late, refused, unknown, failed, gone;
	uint64_t sends, hedges, retries, broken;
	struct hist latency; /* of served requests, in microseconds */
};

struct traffic_counters {
	uint64_t probes, probe_failures, foreign_answers, no_config, no_route;
	uint64_t unauthorized; /* without a valid key */
	uint64_t no_capacity, directory_answers;
	uint64_t process_checks, process_ends, quarantined;
	uint64_t limits_bad;		       /* invalid limit values */
	uint64_t limits_given, limits_granted; /* sends, to and by peers */
	/* requests refused: beyond the quota, and as no holder answered */
	uint64_t quota_refused, quota_unreachable;
	uint64_t quota_asks, quota_answers, quota_timeouts, quota_given_back;
	uint64_t quota_renewals; /* of grants that were too old */
	uint64_t backoffs;	 /* requested by servers */
	uint64_t cold_sends;	 /* charged to a slow start */
	uint64_t withdrawn;	 /* sends cancelled before their first byte */
	uint64_t tunnels_opened, tunnel_failures; /* through peers */
	uint64_t tunnels_served, tunnels_refused; /* for peers */
	uint64_t invalid_values; /* other invalid values in responses */
};

struct traffic {
	struct ev_loop *loop;
	const struct instance_settings *settings; /* as of the start */
	struct bounds bounds;			  /* currently in force */
	struct mailbox inbox;
	struct mailbox *control_inbox;
	const struct control_view *control_view;
	struct http_server caller_server, readiness_server, directory_server,
		metrics_server, own_server, tunnel_server;
	struct config *config;
	struct evacuations evacuations;
	struct backend_set backends;
	struct peer_loads peer_loads;
	ev_timer limits_timer, drain_timer;
	ev_timer shortage_timer; /* the next report, see shortage_gossip.h */
	ev_timer inflight_report_timer;
	bool inflight_report_pending;
	struct peer_view peers;
	struct tunnel_peers tunnel_peers;
	unsigned tunnels;	      /* served to peers, open now */
	unsigned tunnels_max;	      /* 0: no limit by the descriptors */
	unsigned upstreams;	      /* connections to servers, open now */
	struct http_pool pool;	      /* of all servers here */
	struct http_pool tunnel_pool; /* of the tunnels' buffers */
	ev_timer path_timer;	      /* while servers are reached by tunnels */
	unsigned max_instances; /* the most seen at once in this lifetime */
	struct budget_params budget_params;
	struct probe_rate probe_rate;
	struct probe_budget probe_limiter;
	GRand *rand;
	uint32_t lifetime; /* random id of this process start, for logs */
	char *via;	   /* instance name sent to servers; NULL: none sent */
	int64_t started_ms;
	struct caller_timeout_spread spread;
	int64_t last_failure_ms; /* last refused or failed request */
	GHashTable *classes;	 /* name -> struct class_stats * */
	struct traffic_counters counters;
	GQueue requests; /* open ones: struct request *, by their `link` */
	GHashTable *workspace_stats; /* by name; NULL: none yet */
	struct early_requests early;
	struct body_memory bodies; /* of callers' requests */
	struct http_body_gate body_gate;
	struct body_memory responses; /* of servers' responses */
	struct http_body_gate response_gate;
	size_t response_max;   /* bytes of one response's body */
	uint64_t policy_picks; /* servers picked by policies so far */
	struct quotas quotas;
	struct dedup dedup;
	struct quarantine quarantine;
	const struct deploy *deploy; /* of the native interface, or NULL */
	bool stopping;
	ev_timer stop_timer;
	int64_t stopping_ms;
};

int traffic_init(struct traffic *t, const struct instance_settings *s,
		 const struct deploy *deploy, const struct control_view *view,
		 struct mailbox *control);
void *traffic_run(void *traffic);
unsigned traffic_count_backends(struct traffic *t);
struct class_stats *traffic_class_stats(struct traffic *t, const char *service,
					uint32_t target_ms);

#endif
