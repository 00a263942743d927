/*
 * State that one start of a backend server has announced in its responses: a
 * request limit, a backoff, or that it is draining. It is keyed by id and start
 * instead of being part of the list entry, because an entry may expire and
 * return while the server keeps running.
 *
 * State without an entry is kept as long as any of it is in effect, for up to
 * SERVER_STATE_UNLISTED_MAX starts; the least recently listed is evicted first.
 */
#ifndef MP_CORE_SERVER_STATE_H
#define MP_CORE_SERVER_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/limit_share.h"
#include "core/server_limit.h"
#include "core/slow_start.h"

enum {
	BACKEND_NAME_MAX = 64,
	SERVER_STATE_UNLISTED_MAX = 1024,
};

/* A server's advertised limit and this instance's share of it. */
struct backend_limit {
	struct server_limit advertised;
	struct limit_share share;
	double published_per_s;	     /* as last logged and sent to peers */
	int64_t next_publish_ms;     /* when to confirm it to peers again */
	unsigned end_publishes_left; /* announcements of its end */
	int64_t next_probe_ms;	     /* earliest probe without a share */
	int64_t borrowed_until_ms;   /* expiry of a send that a peer gave up */
	bool probe_allowed; /* one send, to test whether the limit has ended */
};

struct server_states;

struct server_state {
	char id[BACKEND_NAME_MAX];
	/* Distinguishes starts under the same id; 0: unknown. */
	uint64_t server_start_ms;
	struct server_states *owner;
	unsigned refs;
	bool unlisted;		     /* unreferenced, queued for eviction */
	bool superseded;	     /* a later start of the server is known */
	struct backend_limit *limit; /* NULL: never advertised */
	struct slow_start *slow_start; /* NULL: its service has none */
	bool seen_unlimited; /* has answered here without advertising a limit */
	bool limit_invalid;  /* the last limit wasn't a number; for the log */
	bool invalid_logged;
	bool draining;		       /* announced by the server; permanent */
	unsigned drain_publishes_left; /* announcements of it to peers */
	int64_t next_drain_publish_ms;
	int64_t backoff_until_ms; /* requested by the server; 0: never */
	int64_t resume_ms;	  /* backoff_until_ms plus local jitter */
	bool resuming; /* no request has been answered since the backoff */
};

struct server_states {
	GHashTable *by_start; /* struct server_state *, by id and start */
	GQueue unlisted;      /* unreferenced states, most recent first */
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
