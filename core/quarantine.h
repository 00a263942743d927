/*
 * The verdicts on requests that the traffic thread goes by, and the requests
 * that were answered lately, which no end is held against. The evidence is
 * the control thread's, see core/crash_tracker.h.
 */
#ifndef MP_CORE_QUARANTINE_H
#define MP_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Answers remembered, 8 bytes each: of 100 a second, which is more than an
 * instance has at the target size, those of the last ten seconds.
 */
enum { ANSWERED_SLOTS = 1024 };

enum verdict_kind {
	VERDICT_CLEAR,	 /* nothing is held against it */
	VERDICT_SUSPECT, /* a server has ended under it */
	VERDICT_REFUSE,	 /* it ends servers: to be refused */
	VERDICT_TRIAL,	 /* to be refused, but for the next copy */
};

struct verdict {
	uint64_t digest;
	enum verdict_kind kind;
	int64_t until_ms; /* the end of its term; of a refused one only */
};

struct quarantine {
	GHashTable *verdicts; /* digest -> struct verdict * */
	uint64_t answered[ANSWERED_SLOTS];
};

void quarantine_init(struct quarantine *q);
void quarantine_set(struct quarantine *q, const struct verdict *v);
enum verdict_kind quarantine_kind(const struct quarantine *q, uint64_t digest);
double quarantine_left_s(const struct quarantine *q, uint64_t digest,
			 int64_t now_ms);
bool quarantine_take_trial(struct quarantine *q, uint64_t digest);
void quarantine_note_answer(struct quarantine *q, uint64_t digest);
bool quarantine_take_answer(struct quarantine *q, uint64_t digest);

#endif
