#include <math.h>

#include "stand/work.h"

enum {
	QUEUE_PER_SLOT = 2, /* queue length per slot */
	SLOW_START_MS = 2000,
	SLOW_START_FACTOR = 2,
	NOISE_PERIOD_MS = 300,
	NOISE_PCT = 25, /* chance of a noisy neighbour per period */
	NOISE_FACTOR = 4,
};

/* Jobs take longer when more than this share of the slots is in use. */
static const double KNEE_SHARE = 0.8;
static const double KNEE_FACTOR = 1.7;

/* work_init() prepares an idle server. */
void work_init(struct work *w, unsigned slots, double work_ms, uint32_t seed,
	       int64_t now_ms)
{
	*w = (struct work){
		.slots = slots,
		.queue_max = slots * QUEUE_PER_SLOT,
		.work_ms = work_ms,
		.started_ms = now_ms,
	};
	g_queue_init(&w->waiting);
	w->rand = g_rand_new_with_seed(seed);
	w->ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* work_admit() starts, queues or rejects a job. */
enum work_admission work_admit(struct work *w, void *job)
{
	w->calls++;
	if (w->running < w->slots) {
		w->running++;
		return WORK_RUN;
	}
	if (w->waiting.length >= w->queue_max) {
		w->refused++;
		return WORK_FULL;
	}
	g_queue_push_tail(&w->waiting, job);
	return WORK_WAIT;
}

/* work_finish() ends a running job. Returns the job to run next, or NULL. */
void *work_finish(struct work *w)
{
	void *next = g_queue_pop_head(&w->waiting);

	if (!next)
		w->running--;
	return next;
}

/* work_cancel() removes a job from the queue. */
void work_cancel(struct work *w, void *job)
{
	g_queue_remove(&w->waiting, job);
}

/* work_turn_cold() makes jobs take longer for some time, as after a start. */
void work_turn_cold(struct work *w, int64_t for_ms, int64_t now_ms)
{
	w->started_ms = now_ms - SLOW_START_MS + for_ms;
}

/* work_record_run() records a run of the job with this key. */
void work_record_run(struct work *w, const char *key)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(w->ran, key));

	g_hash_table_replace(w->ran, g_strdup(key), GINT_TO_POINTER(n + 1));
}

/* work_slowdown_pct() returns the current run time; 100 is typical. */
unsigned work_slowdown_pct(struct work *w, int64_t now_ms)
{
	if (w->quiet)
		return 100;
	if (now_ms - w->noise_checked_ms >= NOISE_PERIOD_MS) {
		w->noise_checked_ms = now_ms;
		if (g_rand_int_range(w->rand, 0, 100) < NOISE_PCT)
			w->noise_until_ms = now_ms + NOISE_PERIOD_MS;
	}
	return now_ms < w->noise_until_ms ? 100 * NOISE_FACTOR : 100;
}

/* work_duration_ms() returns a random run time for a job that starts now. */
double work_duration_ms(struct work *w, int64_t now_ms)
{
	double f = work_slowdown_pct(w, now_ms) / 100.0;

	if (!w->quiet && now_ms - w->started_ms < SLOW_START_MS)
		f *= SLOW_START_FACTOR;
	if (w->running > KNEE_SHARE * w->slots)
		f *= KNEE_FACTOR;
	return w->work_ms * f * (0.5 - 0.5 * log(1.0 - g_rand_double(w->rand)));
}
