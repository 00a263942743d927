#include <math.h>

#include "core/latency_model.h"
#include "core/mechanisms.h"

/*
 * Half-life of what is learned. How a service's servers stand crowds changes
 * with releases and neighbours; work differs by a third from request to
 * request, so that shorter memories wander.
 */
static const double HALF_LIFE_MS = 30000;

/* Answers that the prior counts for. */
static const double PRIOR_WEIGHT = 10;

/* No answer says more than this, in either direction. */
static const double RATIO_MAX = 20;

/*
 * Upper ends of the steps of reported slow-down, in percent. Within a step
 * servers are taken to exaggerate, or play down, alike.
 */
static const unsigned SLOWDOWN_STEP_MAX_PCT[LATENCY_SLOWDOWN_STEPS - 1] = {
	120, 250, 600};

/* Targets are set at about three times the usual time. */
static const double TARGET_PER_WORK = 3;

/*
 * Answers of servers that had other work, or were slow, say less of the usual
 * time: it takes a factor that is learned at the same time to get at it.
 */
static const double CORRECTED_SAMPLE_WEIGHT = 0.3;

/* Until answers tell, a quarter is expected to take this much of the usual. */
static const double P75_TO_MEDIAN = 1.25;

/*
 * Quantiles follow each answer by a step, at first by more: a class that works
 * five times as long as expected is known after some 30 answers.
 */
static const double STEP_MIN = 0.03;
static const double STEP_INITIAL = 0.1;
static const double STEP_DECAY = 0.1; /* of itself at each answer */

/*
 * What a server as most are now offers: the better quarter, as a request looks
 * at several before it starts. When all turn slow at once it is known after a
 * few dozen servers seen, which one instance sees in a second.
 */
static const double TYPICAL_QUANTILE = 0.25;
static const double TYPICAL_STEP = 0.15;

/*
 * Room counts as short when a tenth of some two dozen servers seen had none:
 * with two asked each time, one request in a hundred finds both full by then.
 */
static const double FULL_EWMA_WEIGHT = 0.05;
static const double FULL_SHARE_SHORT = 0.1;

/*
 * With all slots at work a server may do a little less than with fewer. Up to
 * this share the slot is still of use: a request that starts now waits less.
 */
static const double THROUGHPUT_SHARE_MIN = 0.85;

/* A crowd that gets this much more done is worth its longer work. */
static const double THROUGHPUT_GAIN_MIN = 1.02;

static double fade(const struct decayed_mean *m, int64_t now_ms)
{
	double age = (double)(now_ms - m->at_ms);

	return age > 0 ? exp2(-age / HALF_LIFE_MS) : 1;
}

static void note(struct decayed_mean *m, double ratio, int64_t now_ms)
{
	double left = fade(m, now_ms);
	double bounded = fmin(fmax(ratio, 1 / RATIO_MAX), RATIO_MAX);

	m->log_sum = m->log_sum * left + log(bounded);
	m->weight = m->weight * left + 1;
	m->at_ms = now_ms;
}

/* The mean with a prior of 1. */
static double value(const struct decayed_mean *m, int64_t now_ms)
{
	double left = fade(m, now_ms);

	return exp(m->log_sum * left / (m->weight * left + PRIOR_WEIGHT));
}

/* The step of a server with active_requests of its slots taken; a full one the last. */
static unsigned load_step(unsigned active_requests, unsigned slots)
{
	unsigned n = active_requests < slots ? active_requests : slots;

	if (n == 0)
		n = 1;
	if (slots > LATENCY_LOAD_STEPS)
		n = (n * LATENCY_LOAD_STEPS + slots - 1) / slots;
	return n > LATENCY_LOAD_STEPS ? LATENCY_LOAD_STEPS - 1 : n - 1;
}

/* A single request is what others are measured by: its factor is 1. */
static double crowd(const struct service_model *m, unsigned active_requests,
		    unsigned slots, int64_t now_ms)
{
	unsigned step = load_step(active_requests, slots);

	return step && mechanisms.learn ? value(&m->by_load[step], now_ms) : 1;
}

static unsigned slowdown_step(unsigned slowdown_pct)
{
	unsigned i = 0;

	while (i < LATENCY_SLOWDOWN_STEPS - 1 &&
	       slowdown_pct > SLOWDOWN_STEP_MAX_PCT[i])
		i++;
	return i;
}

/* The usual speed, as reported, is what other reports are measured by. */
static double told(const struct service_model *m, unsigned slowdown_pct,
		   int64_t now_ms)
{
	unsigned step = slowdown_step(slowdown_pct);

	if (!slowdown_pct)
		return 1;
	return slowdown_pct / 100.0 *
	       (step ? value(&m->by_slowdown[step], now_ms) : 1);
}

/* work_model_init() starts a class of which only its target is known. */
void work_model_init(struct work_model *w, uint32_t target_ms)
{
	w->median_ms = target_ms / TARGET_PER_WORK;
	w->p75_ms = w->median_ms * P75_TO_MEDIAN;
	w->mean_ms = w->median_ms;
	w->samples = 0;
}

/* Moves a quantile: `above` of the answers are to take longer. */
static void follow(double *quantile, double ms, double above, double step)
{
	*quantile *= ms > *quantile ? 1 + step * (1 - above) : 1 - step * above;
}

/* `sure`: no factor but 1 had to be taken out of ms. */
static void update_work_model(struct work_model *w, double ms, bool sure)
{
	double step = STEP_INITIAL / (1 + STEP_DECAY * w->samples);
	double spread = w->p75_ms / w->median_ms;

	if (step < STEP_MIN)
		step = STEP_MIN;
	if (!sure)
		step *= CORRECTED_SAMPLE_WEIGHT;
	w->samples++;
	follow(&w->median_ms, ms, 0.5, 2 * step);
	follow(&spread, ms / w->median_ms, 0.25, 2 * step);
	w->p75_ms = w->median_ms * fmax(spread, 1);
	w->mean_ms *= pow(ms / w->mean_ms, step);
}

/*
 * latency_record() takes in that a request of class w took `ms` at a server that
 * stood as v says when it started.
 */
void latency_record(struct service_model *m, struct work_model *w,
		    const struct server_view *v, double ms, int64_t now_ms)
{
	unsigned crowded = load_step(v->active_requests, v->slots);
	unsigned slowed = slowdown_step(v->slowdown_pct);
	double by_told = told(m, v->slowdown_pct, now_ms);
	double by_crowd = crowd(m, v->active_requests, v->slots, now_ms);
	double by_warm = v->warming_up ? value(&m->warm_up, now_ms) : 1;
	double all = by_told * by_crowd * by_warm;
	double ratio;

	ms = fmax(ms, 1);
	ratio = ms / (w->mean_ms * all);
	if (crowded)
		note(&m->by_load[crowded], ratio * by_crowd, now_ms);
	if (slowed)
		note(&m->by_slowdown[slowed],
		     ratio * by_told * 100 / v->slowdown_pct, now_ms);
	if (v->warming_up)
		note(&m->warm_up, ratio * by_warm, now_ms);
	update_work_model(w, ms / all, !crowded && !slowed && !v->warming_up);
}

/*
 * latency_factor() expects how many times its usual time a request takes that
 * starts at a server that stands as v says.
 */
double latency_factor(const struct service_model *m,
		      const struct server_view *v, int64_t now_ms)
{
	if (!mechanisms.learn)
		return v->slowdown_pct ? v->slowdown_pct / 100.0 : 1;
	double f = told(m, v->slowdown_pct, now_ms) *
		   crowd(m, v->active_requests, v->slots, now_ms);

	return v->warming_up ? f * value(&m->warm_up, now_ms) : f;
}

/*
 * latency_record_server() takes in what a server offers whose load was just seen, as
 * latency_factor() gives it, and whether it has room.
 */
void latency_record_server(struct service_model *m, double factor,
			   bool has_capacity)
{
	m->full_share +=
		FULL_EWMA_WEIGHT * ((has_capacity ? 0 : 1) - m->full_share);
	if (m->typical_factor <= 0)
		m->typical_factor = 1;
	follow(&m->typical_factor, factor, 1 - TYPICAL_QUANTILE, TYPICAL_STEP);
}

/*
 * latency_capacity_short() tells whether room is short: of the servers seen lately
 * more had none than chance would have it on a calm day.
 */
bool latency_capacity_short(const struct service_model *m)
{
	return m->full_share > FULL_SHARE_SHORT;
}

/*
 * latency_typical_factor() tells at how many times the usual time a request can
 * start when it looks around: what the better servers offer lately. Above 1 all
 * are slow, and waiting for a quick one is vain.
 */
double latency_typical_factor(const struct service_model *m)
{
	return m->typical_factor > 1 ? m->typical_factor : 1;
}

/* What n requests at once get done, beside one alone. */
static double throughput(const struct service_model *m, unsigned n,
			 unsigned slots, int64_t now_ms)
{
	return n / crowd(m, n, slots, now_ms);
}

/*
 * latency_best_concurrency() says with how many requests a server gets most done; of several
 * numbers that are alike the lowest.
 */
unsigned latency_best_concurrency(const struct service_model *m, unsigned slots,
				  int64_t now_ms)
{
	double most = 0;
	unsigned best = 0;

	for (unsigned n = 1; n <= slots; n++) {
		double done = throughput(m, n, slots, now_ms);

		if (done <= most * THROUGHPUT_GAIN_MIN)
			continue;
		most = done;
		best = n;
	}
	return best;
}

/*
 * latency_max_concurrency() says how many requests a server with so many slots is to have
 * at work: as many as it does most with, or nearly. Never more than it has
 * slots: a request waits better here, where the first server with room takes
 * it, and a server whose queue is full may never answer.
 */
unsigned latency_max_concurrency(const struct service_model *m, unsigned slots,
				 int64_t now_ms)
{
	double most = 0;
	unsigned room = slots;

	for (unsigned n = 1; n <= slots; n++)
		most = fmax(most, throughput(m, n, slots, now_ms));
	while (room > 1 &&
	       throughput(m, room, slots, now_ms) < THROUGHPUT_SHARE_MIN * most)
		room--;
	return room;
}
