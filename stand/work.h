/*
 * Execution model of a simulated backend server: slots, a short queue, varying
 * speed, and a record of the requests that ran. No network I/O.
 */
#ifndef MP_STAND_WORK_H
#define MP_STAND_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* State of the model. */
struct work {
	unsigned slots, queue_max;
	unsigned running;
	GQueue waiting; /* jobs of the caller */
	double work_ms; /* typical run time */
	int64_t started_ms, noise_until_ms, noise_checked_ms;
	bool quiet;	 /* no slow start, no noisy neighbour */
	GHashTable *ran; /* key -> number of runs */
	GRand *rand;
	uint64_t calls, refused, probes;
	uint64_t late; /* requests after LEAVE_GRACE_MS of the drain */
};

/* Whether a job starts, waits in the queue or is rejected. */
enum work_admission { WORK_RUN, WORK_WAIT, WORK_FULL };

void work_init(struct work *w, unsigned slots, double work_ms, uint32_t seed,
	       int64_t now_ms);
enum work_admission work_admit(struct work *w, void *job);
void *work_finish(struct work *w);
void work_cancel(struct work *w, void *job);
void work_turn_cold(struct work *w, int64_t for_ms, int64_t now_ms);
void work_record_run(struct work *w, const char *key);
double work_duration_ms(struct work *w, int64_t now_ms);
unsigned work_slowdown_pct(struct work *w, int64_t now_ms);

#endif
