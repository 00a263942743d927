/*
 * Backend servers as one instance knows them: their entries in the platform's
 * list, and what the instance itself has observed of each. The list arrives as
 * changes, so that a long list costs nothing while it doesn't change.
 */
#ifndef MP_CORE_BACKEND_H
#define MP_CORE_BACKEND_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/budget.h"
#include "core/latency_model.h"
#include "core/limit_borrow.h"
#include "core/path.h"
#include "core/probe_times.h"
#include "core/reach.h"
#include "core/retry_reserve.h"
#include "core/server_state.h"
#include "core/shortage.h"
#include "core/spill.h"
#include "misc/lstr.h"

/* An entry of the platform's list of backend servers. */
struct backend_entry {
	char id[BACKEND_NAME_MAX];
	char service[BACKEND_NAME_MAX]; /* that the server belongs to */
	char dc[BACKEND_NAME_MAX];	/* data centre */
	struct sockaddr_in addr;
	unsigned slots;		  /* requests processed concurrently */
	bool draining;		  /* about to stop: accepts no new requests */
	uint32_t warm_up_ms;	  /* remaining time of its slow start */
	uint64_t server_start_ms; /* by the server's clock; 0: unknown */
	uint64_t sequence;	  /* version of the entry since that start */
};

/* The last load report of a backend server. */
struct load_report {
	unsigned running, waiting, slots;
	unsigned slowdown_pct; /* current service time; 100 is normal */
	int64_t at_ms;	       /* when the report arrived; 0: never */
};

struct service;
struct place_policy;

/* Which share of a server's limit a send is charged to. */
enum limit_charge {
	LIMIT_CHARGE_NONE, /* the server has no limit */
	LIMIT_CHARGE_OWN,
	LIMIT_CHARGE_PEER,  /* a send that a peer gave up */
	LIMIT_CHARGE_PROBE, /* no share: tests whether the limit has ended */
};

struct backend {
	struct backend_entry entry;
	struct service *service;
	uint32_t start_hash;	    /* backend_start_hash() of entry */
	uint32_t id_hash;	    /* peer_load_hash() of entry.id */
	unsigned dc_index;	    /* of its data centre in service->spill */
	struct server_state *state; /* announced by this start of the server */
	unsigned refs;
	bool gone; /* no longer listed: gets no new requests */
	int64_t warm_up_until_ms;
	struct load_report load;
	double rtt_ms;	      /* moving average over load probes */
	unsigned in_flight;   /* requests from this instance */
	int peers_in_flight;  /* from other instances, see core/peer_load.h */
	uint64_t last_picked; /* counter value at the last pick */
	bool excluded;	      /* from new requests, by the configuration */
	bool evacuated;	      /* its data centre is */
	double failure_score; /* decayed failures, see core/outlier.h */
	int64_t failure_score_ms; /* when failure_score was computed */
	bool deprioritized;	  /* as last logged */
	bool unreachable;	  /* the last load probe failed; for the log */
	bool process_ended;	  /* known for certain */
	struct server_path path;
	void *crash_check; /* traffic/: pending check of process_ended */
	void *idle_conns;  /* traffic/: idle connections */
	void *busy_conns;  /* traffic/: those with a pending or held response */
};

/* Whether a service's backend servers report their load. */
enum load_support { LOAD_UNKNOWN, LOAD_REPORTED, LOAD_NOT_REPORTED };

struct service {
	char name[BACKEND_NAME_MAX];
	GPtrArray *backends; /* struct backend *, the listed ones */
	enum load_support load_support;
	struct probe_times probe_times; /* of servers that report no load */
	struct reach reach;		/* over direct connections */
	struct service_paths paths;
	struct slow_start_bound slow_start;
	struct retry_budget budget;
	struct retry_wants retry_wants;
	struct budget_stats retry_stats; /* since this process started */
	const struct place_policy *policy;
	struct service_model model; /* learned from the servers' answers */
	struct spill spill;	    /* state of its data centres */
	/* When a request that could meet its target last found no capacity. */
	int64_t capacity_missed_ms;
	struct shortage shortage;
	int64_t shortage_ms; /* when it was logged to begin; 0: none */
	GQueue waiting; /* requests without a server, highest priority first */
	struct limit_borrow borrow; /* sends requested from peers */
	int64_t last_turn_ms; /* latest turn given out, see retry_after.h */
};

struct backend_set {
	GHashTable *services; /* name -> struct service * */
	GHashTable *by_id;    /* id -> struct backend * */
	struct server_states states;
	/* Called on removal; `ended`: b's process is known to have ended. */
	void (*on_gone)(void *priv, struct backend *b, bool ended);
	void *priv;
};

void backend_set_init(struct backend_set *s,
		      void (*on_gone)(void *priv, struct backend *b,
				      bool ended),
		      void *priv);
bool service_reports_load(const struct service *s);
bool service_is_probed(const struct service *s);
struct service *backend_set_service(struct backend_set *s, struct lstr name);
void backend_set_put(struct backend_set *s, const struct backend_entry *e,
		     int64_t now_ms);
void backend_set_remove(struct backend_set *s, const char *id);
uint32_t backend_start_hash(const struct backend_entry *e);
bool backend_entry_is_older(const struct backend_entry *a,
			    const struct backend_entry *b);
bool backend_entry_is_newer(const struct backend_entry *a,
			    const struct backend_entry *b);
bool backend_is_limited(const struct backend *b);
enum slow_start_phase backend_phase(const struct backend *b, int64_t now_ms);
struct backend *backend_ref(struct backend *b);
void backend_unref(struct backend *b);

#endif
