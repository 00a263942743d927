/*
 * How a backend server stand-in works: slots, a short queue, speed that
 * shifts, and the record of what ran. No network here.
 */
#ifndef MP_STAND_WORK_H
#define MP_STAND_WORK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct work {
	unsigned slots, queue_max;
	unsigned running;
	GQueue waiting; /* of the owner's jobs */
	double work_ms;
	int64_t started_ms, noise_until_ms, noise_checked_ms;
	bool quiet;	 /* no slow start, no noisy neighbour */
	GHashTable *ran; /* key -> count of runs */
	GRand *rand;
	uint64_t calls, refused, probes, late;
};

enum work_admission { WORK_RUN, WORK_WAIT, WORK_FULL };

void work_init(struct work *w, unsigned slots, double work_ms, uint32_t seed,
	       int64_t now_ms);
enum work_admission work_admit(struct work *w, void *job);
void *work_finish(struct work *w);
void work_cancel(struct work *w, void *job);
void work_record_run(struct work *w, const char *key);
double work_duration_ms(struct work *w, int64_t now_ms);
unsigned work_slowdown_pct(struct work *w, int64_t now_ms);

#endif
