/*
 * What one lifetime of a backend server has announced in its responses: a request
 * limit, a backoff, that it drains. It is kept by id and start rather than with the
 * entry of the list, because an entry may lapse and return while the server runs on.
 *
 * State without an entry is kept as long as anything in it is in force, up to
 * SERVER_STATE_UNLISTED_MAX lifetimes, least recently listed evicted first.
 */
#ifndef MP_CORE_SERVER_STATE_H
#define MP_CORE_SERVER_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/limit_share.h"
#include "core/server_limit.h"

enum {
	BACKEND_NAME_MAX = 64,
	SERVER_STATE_UNLISTED_MAX = 1024,
};

/* What it takes, by its own word, and this instance's part of that. */
struct backend_limit {
	struct server_limit advertised;
	struct limit_share share;
	double published_per_s; /* as it was last logged, and told */
	int64_t next_publish_ms; /* the peers are told again then that it stands */
	unsigned end_publishes_left; /* times that its end is yet to be told */
	int64_t next_probe_ms; /* an instance that holds nothing may look then */
	int64_t borrowed_until_ms; /* a send that a peer gave up counts until then */
	bool probe_allowed; /* it may send one request, to hear whether it ended */
};

struct server_states;

struct server_state {
	char id[BACKEND_NAME_MAX];
	uint64_t
		server_start_ms; /* distinguishes starts under one id; 0: unknown */
	struct server_states *owner;
	unsigned refs;
	bool unlisted;		     /* unreferenced, queued for eviction */
	bool superseded;	     /* a later start of the server is known */
	struct backend_limit *limit; /* NULL: it has never named one */
	bool seen_unlimited; /* it has answered here without naming a limit */
	bool limit_invalid;  /* the last limit was no number; for the log */
	bool invalid_logged;
	bool draining;		       /* announced by the server; permanent */
	unsigned drain_publishes_left; /* announcements to peers still due */
	int64_t next_drain_publish_ms; /* when the next one is */
	int64_t backoff_until_ms;      /* requested by the server; 0: never */
	int64_t resume_ms; /* backoff_until_ms plus this instance's jitter */
	bool resuming;	   /* nothing has been answered since the backoff */
};

struct server_states {
	GHashTable *by_start; /* struct server_state *, by id and start */
	GQueue unlisted;      /* unreferenced ones, most recent first */
};

void server_states_init(struct server_states *all);
struct server_state *server_state_get(struct server_states *all, const char *id,
				      uint64_t server_start_ms);
struct server_state *server_state_find(struct server_states *all,
				       const char *id,
				       uint64_t server_start_ms);
void server_state_release(struct server_state *s);
bool server_state_back_off(struct server_state *s, double backoff_s,
			   double random, int64_t now_ms);
void server_state_answered(struct server_state *s, int64_t sent_ms);

#endif
