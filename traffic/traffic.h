/*
 * The traffic thread of an entry instance: callers' requests, the directory
 * and readiness questions, and the metrics. It alone touches what is here.
 */
#ifndef MP_TRAFFIC_TRAFFIC_H
#define MP_TRAFFIC_TRAFFIC_H

#include <ev.h>

#include "control/control.h"
#include "core/admit.h"
#include "core/ask_budget.h"
#include "core/backend.h"
#include "core/config.h"
#include "core/dedup.h"
#include "core/limit_news.h"
#include "core/caller_timeout.h"
#include "core/quarantine.h"
#include "http/server.h"
#include "misc/hist.h"

/* Requests of one kind: those of a service with the same target time. */
struct class_stats {
	char *name;
	struct work_model work; /* how long its requests take */
	struct caller_timeout caller_timeout;
	uint64_t requests, served, late, refused, unknown, failed, gone;
	uint64_t sends, hedges, retries, broken;
	struct hist latency; /* of served ones, microseconds */
};

struct traffic_counters {
	uint64_t asks, ask_failures, foreign_answers, no_config, no_route;
	uint64_t no_room, directory;
	uint64_t end_checks, ends_seen, quarantined;
	uint64_t limits_bad;		       /* limits that are no number */
	uint64_t limits_given, limits_granted; /* sends, to and by peers */
	uint64_t backoffs;		       /* asked for by servers */
	uint64_t withdrawn;	 /* sends, right before they left */
	uint64_t invalid_values; /* values of answers that were refused */
};

struct traffic {
	struct ev_loop *loop;
	const struct instance_settings *settings; /* as at the start */
	struct bounds bounds;			  /* in force */
	struct mailbox in;
	struct mailbox *control;
	const struct control_view *control_view;
	struct http_server front, ready, directory, metrics, own;
	struct config *config;
	struct backend_set backends;
	struct peer_loads peer_loads;
	ev_timer limits_timer, drain_timer;
	ev_timer share_timer;
	bool share_pending;
	struct peer_view peers;
	unsigned most_instances; /* that lived at once, in this lifetime */
	struct budget_rule budget_rule;
	struct ask_rule ask_rule;
	struct ask_budget asks;
	GRand *rand;
	uint32_t lifetime; /* names this start of the process in logs */
	char *via;	   /* and to servers; NULL: it isn't named to them */
	int64_t started_ms;
	struct caller_timeout_spread spread;
	int64_t trouble_ms;  /* a request was last refused or failed then */
	GHashTable *classes; /* name -> struct class_stats * */
	struct traffic_counters counters;
	unsigned open_requests;
	uint64_t picks; /* by policies, so far */
	struct dedup dedup;
	struct quarantine quarantine;
	const struct deploy *deploy; /* of the own interface, or NULL */
	bool stopping;
	ev_timer stop_timer;
	int64_t stopping_ms;
};

int traffic_init(struct traffic *t, const struct instance_settings *s,
		 const struct deploy *deploy, const struct control_view *view,
		 struct mailbox *control);
void *traffic_run(void *traffic);
unsigned traffic_servers(struct traffic *t);
struct class_stats *traffic_class(struct traffic *t, const char *service,
				  uint32_t target_ms);

#endif
