/*
 * Quarantine state that the traffic thread applies to requests, and the
 * requests that were answered recently, against which no crash is held. The
 * evidence is kept by the control thread, see core/crash_tracker.h.
 */
#ifndef MP_CORE_QUARANTINE_H
#define MP_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Answers remembered, 8 bytes each: those of the last ten seconds at 100 per
 * second, which is more than an instance has at the target size.
 */
enum { ANSWERED_SLOTS = 1024 };

enum verdict_kind {
	VERDICT_CLEAR,	 /* not suspected */
	VERDICT_SUSPECT, /* a server crashed while it had it */
	VERDICT_REFUSE,	 /* quarantined: refused */
	VERDICT_TRIAL,	 /* refused, except for the next copy */
};

struct verdict {
	uint64_t digest;
	enum verdict_kind kind;
	int64_t until_ms; /* end of the period, of VERDICT_REFUSE */
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
