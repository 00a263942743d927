/*
 * Requests under which backend servers ended. A request may end each server
 * that begins to run it, and come again with a new id at any instance; what
 * is known of it is kept here by its digest, and is the same on all instances
 * once they have told each other.
 *
 * Most requests that were at a server when it ended only ran beside the cause,
 * so an end is no proof. A request is quarantined, that is refused by all,
 * after ends of three different servers, unless another one was at all of
 * these too; the others are then cleared of those ends. An answer clears a
 * request at any time. Decisions on values; the time is an argument.
 */
#ifndef MP_CORE_CRASH_LEDGER_H
#define MP_CORE_CRASH_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum { CRASH_SERVERS_MAX = 8 };

/* What is known of one request. */
struct crash_case {
	uint64_t digest;
	uint32_t servers
		[CRASH_SERVERS_MAX]; /* backend_start_hash() of servers */
	unsigned nservers;
	bool quarantined;
	unsigned periods;      /* of quarantine so far, with a trial between */
	int64_t last_crash_ms; /* or when it was told of, if that is later */
	int64_t due_ms; /* to be judged, or the term's end; 0: nothing due */
};

enum crash_change {
	CRASH_SUSPECTED,   /* one more server has ended under it */
	CRASH_QUARANTINED, /* to be refused */
	CRASH_TRIAL,	   /* one copy may go to a server, to find out */
	CRASH_RELEASED,	   /* it was answered, or another one is the cause */
	CRASH_EXPIRED,	   /* nothing was heard of it for long */
};

struct crash_tracker {
	GHashTable *cases; /* digest -> struct crash_case * */
	void (*changed)(void *priv, const struct crash_case *c,
			enum crash_change what, int64_t now_ms);
	void *priv;
};

void crash_tracker_init(struct crash_tracker *l,
			void (*changed)(void *priv, const struct crash_case *c,
					enum crash_change what, int64_t now_ms),
			void *priv);
void crash_tracker_free(struct crash_tracker *l);
const struct crash_case *crash_tracker_find(const struct crash_tracker *l,
					    uint64_t digest);
void crash_tracker_add_crash(struct crash_tracker *l, uint64_t digest,
			     uint32_t server, int64_t now_ms);
void crash_tracker_quarantine(struct crash_tracker *l, uint64_t digest,
			      unsigned terms, int64_t now_ms);
void crash_tracker_add_answer(struct crash_tracker *l, uint64_t digest,
			      int64_t now_ms);
void crash_tracker_decide(struct crash_tracker *l, int64_t now_ms);
void crash_tracker_tick(struct crash_tracker *l, bool tries, int64_t now_ms);
int64_t crash_tracker_due_ms(const struct crash_tracker *l);

#endif
