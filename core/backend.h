/*
 * Backend servers as one instance knows them: what the platform's list says
 * of each, and what this instance sees itself. The list comes as changes, so
 * that its size costs nothing while it stands still.
 */
#ifndef MP_CORE_BACKEND_H
#define MP_CORE_BACKEND_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/budget.h"
#include "core/latency_model.h"
#include "core/limit_want.h"
#include "core/server_state.h"
#include "misc/lstr.h"

/* An entry of the platform's list of backend servers. */
struct backend_entry {
	char id[BACKEND_NAME_MAX];	/* one backend server */
	char service[BACKEND_NAME_MAX]; /* the service it belongs to */
	char dc[BACKEND_NAME_MAX];	/* its data centre */
	struct sockaddr_in addr;
	unsigned slots;		  /* requests that it works on at once */
	bool draining;		  /* takes no new work soon */
	uint32_t warm_up_ms;	  /* it stays slow this much longer */
	uint64_t server_start_ms; /* its start, by its clock; 0: not told */
	uint64_t sequence;	  /* numbers what it says, from its start on */
};

/* What a backend server last said of its load. */
struct load_report {
	unsigned running, waiting, slots;
	unsigned slowdown_pct; /* how long work takes now; 100 is usual */
	int64_t at_ms;	       /* when it arrived here; 0: never */
};

struct service;
struct place_policy;

/* Whose part of a server's limit a send is taken from. */
enum limit_charge {
	LIMIT_CHARGE_NONE, /* it names none */
	LIMIT_CHARGE_OWN,
	LIMIT_CHARGE_PEER,  /* that gave it up */
	LIMIT_CHARGE_PROBE, /* nobody's: to hear whether the limit has ended */
};

struct backend {
	struct backend_entry entry;
	struct service *service;
	uint32_t start_hash;	    /* backend_start_hash() of its entry */
	struct server_state *state; /* what this start has said */
	unsigned refs;
	bool gone; /* off the list: no new work */
	int64_t warm_up_until_ms;
	struct load_report load;
	double rtt_ms;	      /* there and back, as questions showed */
	unsigned in_flight;   /* requests of this instance that it has */
	int peers_in_flight;  /* of the others, see core/peer_load.h */
	uint64_t last_picked; /* a running number: when it last was */
	bool excluded;	      /* the configuration gives it no new work */
	double failure_score; /* decayed failures, see core/outlier.h */
	int64_t failure_score_ms;
	bool deprioritized; /* what was last logged of it */
	bool unreachable;   /* the last question failed; for the log */
	bool process_ended; /* its process is known to be gone */
	void *end_check;  /* the traffic side finds out whether it has ended */
	void *idle_conns; /* the traffic side's idle connections */
	void *busy_conns; /* those that wait for an answer or hold one */
};

/* Whether a service's backend servers report their load. */
enum load_support { LOAD_UNKNOWN, LOAD_REPORTED, LOAD_NOT_REPORTED };

struct service {
	char name[BACKEND_NAME_MAX];
	GPtrArray *backends; /* struct backend *, those on the list */
	enum load_support load_support;
	struct retry_budget budget;
	struct budget_account account; /* of this lifetime */
	const struct place_policy *policy;
	struct service_model model; /* what its servers' answers showed */
	int64_t capacity_missed_ms; /* room was missed by then, see core/admit.h */
	GQueue waiting;		/* requests that found no room, best first */
	struct limit_want want; /* what is asked of peers, see there */
	int64_t last_turn_ms; /* turns up to then are promised, see retry_after */
};

struct backend_set {
	GHashTable *services; /* name -> struct service * */
	GHashTable *by_id;    /* id -> struct backend * */
	struct server_states states;
	/* b is off the list; `ended`: its process is known to be gone. */
	void (*on_gone)(void *priv, struct backend *b, bool ended);
	void *priv;
};

void backend_set_init(struct backend_set *s,
		      void (*on_gone)(void *priv, struct backend *b,
				      bool ended),
		      void *priv);
bool service_reports_load(const struct service *s);
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
struct backend *backend_ref(struct backend *b);
void backend_unref(struct backend *b);

#endif
