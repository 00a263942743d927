/*
 * Detection of duplicate calls. A caller that sends the same idempotency key
 * again (after a lost response or a double click) must not make the action run
 * twice. The instance keeps each key that it has routed: a duplicate gets the
 * first call's outcome instead of a second run. The key of a call that
 * certainly did not run is dropped, so that the call may be repeated. Answers are
 * kept within a limit of memory, the oldest ones are dropped first; their keys
 * stay, so that the action isn't repeated.
 *
 * The table is in one instance's memory: a duplicate that is sent to another
 * instance or after a restart is not detected here (docs/PROOFS.md).
 */
#ifndef MP_CORE_DEDUP_H
#define MP_CORE_DEDUP_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

#include "misc/lstr.h"

/* Outcome of a call as reported to its caller. */
enum call_outcome {
	CALL_DONE,    /* it ran, the answer is known */
	CALL_NOT_RUN, /* it did not run and never will */
	CALL_UNKNOWN, /* it may have run */
};

enum dedup_state {
	DEDUP_RUNNING,
	DEDUP_DONE,
	DEDUP_UNKNOWN,
};

struct dedup {
	pthread_mutex_t lock;
	GHashTable *keys; /* "service/key" -> struct dedup_rec * */
	GQueue order;	  /* keys, oldest first, for eviction */
	GQueue answers;	  /* records with an answer, oldest first */
	unsigned max_keys;
	size_t bytes, max_bytes; /* of answers; 0: no limit */
};

struct dedup_result {
	enum dedup_state state;
	/*
	 * The first call's answer if DEDUP_DONE, to be freed with g_free();
	 * NULL if it isn't kept any more.
	 */
	char *body;
	size_t len;
};

void dedup_init(struct dedup *d, unsigned max_keys, size_t max_bytes);
void dedup_free(struct dedup *d);
bool dedup_begin(struct dedup *d, const char *service, const char *key,
		 struct dedup_result *first);
void dedup_end(struct dedup *d, const char *service, const char *key,
	       enum call_outcome outcome, struct lstr body);

#endif
