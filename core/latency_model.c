#include <math.h>

#include "core/latency_model.h"
#include "core/mechanisms.h"

/*
 * Half-life of samples. How servers behave under load changes with releases and
 * with their neighbours. Service times of requests vary by a third, so a
 * shorter half-life makes the means noisy.
 */
static const double HALF_LIFE_MS = 30000;

/* Weight of the prior, in answers. */
static const double PRIOR_WEIGHT = 10;

/* Clamps the ratio of a single answer, in both directions. */
static const double RATIO_MAX = 20;

/*
 * Upper bounds of the steps of reported slowdown. Within a step the ratio of
 * actual to reported slowdown is assumed to be constant.
 */
static const unsigned SLOWDOWN_STEP_MAX_PCT[LATENCY_SLOWDOWN_STEPS - 1] = {
	120, 250, 600};

/* Targets are usually about three times the median. */
static const double TARGET_TO_MEDIAN = 3;

/*
 * Weight of an answer from a loaded or slow server. Its time has to be
 * corrected by factors that are learned at the same time.
 */
static const double CORRECTED_SAMPLE_WEIGHT = 0.3;

/* Initial ratio of the 75th percentile to the median. */
static const double P75_TO_MEDIAN = 1.25;

/*
 * Each answer moves the quantiles by a relative step that starts large and
 * shrinks with the number of answers: a class that takes five times as long as
 * expected is learned within about 30 answers.
 */
static const double STEP_MIN = 0.03;
static const double STEP_INITIAL = 0.1;
static const double STEP_DECAY = 0.1; /* per answer */

/*
 * The typical factor is a lower quantile, since a request probes several
 * servers before it starts. If all servers become slow at once, it follows
 * within a few dozen reports, which one instance receives in a second.
 */
static const double TYPICAL_QUANTILE = 0.25;
static const double TYPICAL_STEP = 0.15;

/*
 * Capacity is short when a tenth of about two dozen recently seen servers had
 * none: with two probes a request, one in a hundred then finds both full.
 */
static const double FULL_EWMA_WEIGHT = 0.05;
static const double FULL_SHARE_SHORT = 0.1;

/*
 * Throughput may drop a little with all slots in use. Down to this share of the
 * best throughput a slot is still useful, as its request waits less.
 */
static const double THROUGHPUT_SHARE_MIN = 0.85;

/* Least gain in throughput that makes up for longer service times. */
static const double THROUGHPUT_GAIN_MIN = 1.02;

/* Returns the remaining weight of the samples in m. */
static double decay(const struct decayed_mean *m, int64_t now_ms)
{
	double age = (double)(now_ms - m->at_ms);

	return age > 0 ? exp2(-age / HALF_LIFE_MS) : 1;
}

/* Adds a sample. */
static void add_sample(struct decayed_mean *m, double ratio, int64_t now_ms)
{
	double left = decay(m, now_ms);
	double bounded = fmin(fmax(ratio, 1 / RATIO_MAX), RATIO_MAX);

	m->log_sum = m->log_sum * left + log(bounded);
	m->weight = m->weight * left + 1;
	m->at_ms = now_ms;
}

/* Returns the mean, with a prior of 1. */
static double mean_value(const struct decayed_mean *m, int64_t now_ms)
{
	double left = decay(m, now_ms);

	return exp(m->log_sum * left / (m->weight * left + PRIOR_WEIGHT));
}

/* Returns the load step of a server; a full one has the last. */
static unsigned load_step(unsigned active_requests, unsigned slots)
{
	unsigned n = active_requests < slots ? active_requests : slots;

	if (n == 0)
		n = 1;
	if (slots > LATENCY_LOAD_STEPS)
		n = (n * LATENCY_LOAD_STEPS + slots - 1) / slots;
	return n > LATENCY_LOAD_STEPS ? LATENCY_LOAD_STEPS - 1 : n - 1;
}

/*
 * Returns the factor for a server's load. A single request is the base that
 * other loads are measured against, with a factor of 1.
 */
static double load_factor(const struct service_model *m,
			  unsigned active_requests, unsigned slots,
			  int64_t now_ms)
{
	unsigned step = load_step(active_requests, slots);

	return step && mechanisms.learn ? mean_value(&m->by_load[step], now_ms)
					: 1;
}

/* Returns the step of a reported slowdown. */
static unsigned slowdown_step(unsigned slowdown_pct)
{
	unsigned i = 0;

	while (i < LATENCY_SLOWDOWN_STEPS - 1 &&
	       slowdown_pct > SLOWDOWN_STEP_MAX_PCT[i])
		i++;
	return i;
}

/*
 * Returns the factor for a reported slowdown. The lowest step is the base that
 * the others are measured against, so its reports are taken as they are.
 */
static double slowdown_factor(const struct service_model *m,
			      unsigned slowdown_pct, int64_t now_ms)
{
	unsigned step = slowdown_step(slowdown_pct);

	if (!slowdown_pct)
		return 1;
	return slowdown_pct / 100.0 *
	       (step ? mean_value(&m->by_slowdown[step], now_ms) : 1);
}

/* work_model_init() initialises a class of which only the target is known. */
void work_model_init(struct work_model *w, uint32_t target_ms)
{
	w->median_ms = target_ms / TARGET_TO_MEDIAN;
	w->p75_ms = w->median_ms * P75_TO_MEDIAN;
	w->mean_ms = w->median_ms;
	w->samples = 0;
}

/* Moves a quantile that a share `above` of the answers is to exceed. */
static void update_quantile(double *quantile, double ms, double above,
			    double step)
{
	*quantile *= ms > *quantile ? 1 + step * (1 - above) : 1 - step * above;
}

/*
 * Adds a service time to its class. `uncorrected`: it is as measured, not
 * divided by learned factors.
 */
static void update_work_model(struct work_model *w, double ms, bool uncorrected)
{
	double step = STEP_INITIAL / (1 + STEP_DECAY * w->samples);
	double spread = w->p75_ms / w->median_ms;

	if (step < STEP_MIN)
		step = STEP_MIN;
	if (!uncorrected)
		step *= CORRECTED_SAMPLE_WEIGHT;
	w->samples++;
	update_quantile(&w->median_ms, ms, 0.5, 2 * step);
	update_quantile(&spread, ms / w->median_ms, 0.25, 2 * step);
	w->p75_ms = w->median_ms * fmax(spread, 1);
	w->mean_ms *= pow(ms / w->mean_ms, step);
}

/*
 * latency_record() adds a sample: a request of class w took `ms` on a server
 * that was in state v when the request started.
 */
void latency_record(struct service_model *m, struct work_model *w,
		    const struct server_view *v, double ms, int64_t now_ms)
{
	unsigned load = load_step(v->active_requests, v->slots);
	unsigned slowdown = slowdown_step(v->slowdown_pct);
	double by_slowdown = slowdown_factor(m, v->slowdown_pct, now_ms);
	double by_load = load_factor(m, v->active_requests, v->slots, now_ms);
	double by_warm_up = v->warming_up ? mean_value(&m->warm_up, now_ms) : 1;
	double all = by_slowdown * by_load * by_warm_up;
	double ratio;

	ms = fmax(ms, 1);
	ratio = ms / (w->mean_ms * all);
	if (load)
		add_sample(&m->by_load[load], ratio * by_load, now_ms);
	if (slowdown)
		add_sample(&m->by_slowdown[slowdown],
			   ratio * by_slowdown * 100 / v->slowdown_pct, now_ms);
	if (v->warming_up)
		add_sample(&m->warm_up, ratio * by_warm_up, now_ms);
	update_work_model(w, ms / all, !load && !slowdown && !v->warming_up);
}

/*
 * latency_factor() returns the expected service time of a request that starts
 * on a server in state v, as a multiple of the normal service time of its
 * class.
 */
double latency_factor(const struct service_model *m,
		      const struct server_view *v, int64_t now_ms)
{
	if (!mechanisms.learn)
		return v->slowdown_pct ? v->slowdown_pct / 100.0 : 1;
	double f = slowdown_factor(m, v->slowdown_pct, now_ms) *
		   load_factor(m, v->active_requests, v->slots, now_ms);

	return v->warming_up ? f * mean_value(&m->warm_up, now_ms) : f;
}

/*
 * latency_record_server() adds the latency_factor() of a server whose load was
 * just reported, and whether it has capacity.
 */
void latency_record_server(struct service_model *m, double factor,
			   bool has_capacity)
{
	m->full_share +=
		FULL_EWMA_WEIGHT * ((has_capacity ? 0 : 1) - m->full_share);
	if (m->typical_factor <= 0)
		m->typical_factor = 1;
	update_quantile(&m->typical_factor, factor, 1 - TYPICAL_QUANTILE,
			TYPICAL_STEP);
}

/*
 * latency_capacity_short() returns whether more of the recently seen servers
 * were full than happens by chance under normal load.
 */
bool latency_capacity_short(const struct service_model *m)
{
	return m->full_share > FULL_SHARE_SHORT;
}

/*
 * latency_typical_factor() returns the factor that a request can expect after
 * probing several servers. Above 1 all servers are slow, and waiting for a
 * faster one is of no use.
 */
double latency_typical_factor(const struct service_model *m)
{
	return m->typical_factor > 1 ? m->typical_factor : 1;
}

/* Returns the throughput of n concurrent requests, relative to one. */
static double throughput(const struct service_model *m, unsigned n,
			 unsigned slots, int64_t now_ms)
{
	return n / load_factor(m, n, slots, now_ms);
}

/*
 * latency_best_concurrency() returns the concurrency with the highest
 * throughput; the lowest one if several are about equal.
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
 * latency_max_concurrency() returns how many concurrent requests to allow on a
 * server: as many as give the highest throughput, or nearly so, but no more
 * than it has slots. Further requests are queued here, where the first server
 * with capacity gets them; a server whose own queue is full may never answer.
 */
unsigned latency_max_concurrency(const struct service_model *m, unsigned slots,
				 int64_t now_ms)
{
	double most = 0;
	unsigned allowed = slots;

	for (unsigned n = 1; n <= slots; n++)
		most = fmax(most, throughput(m, n, slots, now_ms));
	while (allowed > 1 && throughput(m, allowed, slots, now_ms) <
				      THROUGHPUT_SHARE_MIN * most)
		allowed--;
	return allowed;
}
