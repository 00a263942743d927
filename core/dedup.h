/*
 * Duplicate submissions of protected calls. A caller that sends the same
 * idempotency key again (after a lost answer, from a second tap) must not
 * make the action run twice. The entry remembers each key it has routed:
 * while the call runs and after it, a duplicate gets the first call's
 * outcome instead of a second run. A key whose call surely did not run is
 * forgotten, so it may be sent again.
 *
 * The table lives in one entry's memory: a duplicate sent to another
 * entry, or after a restart, is not caught here (docs/PROOFS.md).
 */
#ifndef MP_CORE_DEDUP_H
#define MP_CORE_DEDUP_H

#include <pthread.h>
#include <stdbool.h>

#include <glib.h>

/* What a caller is told of a call. */
enum call_outcome {
	CALL_DONE,    /* here is the answer */
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
	unsigned max_keys;
};

struct dedup_result {
	enum dedup_state state;
	char *body; /* the first call's answer when DONE; g_free it */
};

void dedup_init(struct dedup *d, unsigned max_keys);
void dedup_free(struct dedup *d);
bool dedup_begin(struct dedup *d, const char *service, const char *key,
		 struct dedup_result *seen);
void dedup_end(struct dedup *d, const char *service, const char *key,
	       enum call_outcome oc, const char *body);

#endif
