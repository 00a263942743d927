/*
 * Detection of requests that crash backend servers. Such a request may crash
 * each server that executes it, and return under a new id at any instance. The
 * evidence is kept by its digest, and is the same on all instances once they
 * have exchanged it.
 *
 * Most requests that were at a server when it crashed were only executed
 * alongside the cause, so one crash proves nothing. A request is quarantined,
 * that is refused by all instances, after crashes of three different servers,
 * unless another request was at all of these too. The crashes are then no
 * longer held against other requests. An answer clears a request at any time.
 * There is no I/O here, and the time is an argument.
 */
#ifndef MP_CORE_CRASH_TRACKER_H
#define MP_CORE_CRASH_TRACKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum { CRASH_SERVERS_MAX = 8 };

/* Crashes and quarantine of one request. */
struct crash_case {
	uint64_t digest;
	uint32_t servers[CRASH_SERVERS_MAX]; /* backend_start_hash() */
	unsigned nservers;
	bool quarantined;
	unsigned periods;      /* quarantine periods so far */
	int64_t last_crash_ms; /* when the last one became known here */
	int64_t due_ms; /* of the decision or the period's end; 0: none */
};

enum crash_change {
	CRASH_SUSPECTED,   /* one more server crashed */
	CRASH_QUARANTINED, /* all instances refuse it */
	CRASH_TRIAL,	   /* one copy may be sent to a server */
	CRASH_RELEASED,	   /* answered, or another request is the cause */
	CRASH_EXPIRED,	   /* no reports for a long time */
};

struct crash_tracker {
	GHashTable *cases; /* digest -> struct crash_case * */
	/* Digest -> int64_t *, when it was answered, if that was of late. */
	GHashTable *answers;
	void (*changed)(void *priv, const struct crash_case *c,
			enum crash_change what, int64_t now_ms);
	void *priv;
};

void crash_tracker_init(struct crash_tracker *t,
			void (*changed)(void *priv, const struct crash_case *c,
					enum crash_change what, int64_t now_ms),
			void *priv);
void crash_tracker_free(struct crash_tracker *t);
const struct crash_case *crash_tracker_find(const struct crash_tracker *t,
					    uint64_t digest);
void crash_tracker_add_crash(struct crash_tracker *t, uint64_t digest,
			     uint32_t server, int64_t at_ms, int64_t now_ms);
void crash_tracker_quarantine(struct crash_tracker *t, uint64_t digest,
			      unsigned periods, int64_t now_ms);
void crash_tracker_add_answer(struct crash_tracker *t, uint64_t digest,
			      int64_t at_ms, int64_t now_ms);
void crash_tracker_decide(struct crash_tracker *t, int64_t now_ms);
void crash_tracker_tick(struct crash_tracker *t, bool runs_trials,
			int64_t now_ms);
int64_t crash_tracker_due_ms(const struct crash_tracker *t);

#endif
