#include <math.h>
#include <string.h>

#include <glib.h>

#include "core/spill.h"

/* Weight of one report: the mean of about the last twenty. */
static const double REPORT_WEIGHT = 0.05;

/*
 * Without reports a data centre's servers count as idle again after a few of
 * these, so that it is looked at.
 */
static const double FORGET_HALF_LIFE_MS = 2000;

/* Weight of one round-trip time in the moving average. */
static const double RTT_WEIGHT = 0.1;

/*
 * A round trip that takes this share of a request's spare time makes a data
 * centre useless; one for the probe and one for the request are needed.
 */
static const double WAY_SHARE_MAX = 0.1;

/*
 * By how much more of a data centre's servers must be idle than of the own
 * one's; a smaller difference is within the error of a mean of twenty reports.
 */
static const double GAIN_MIN = 0.1;

/*
 * With this multiple of its work time to spare a request is on time on a busy
 * server as well.
 */
static const double SPARE_WORKS_MAX = 4;

/* Remaining weight of a data centre that is too far or full. */
static const double WEIGHT_MIN = 0.002;

/*
 * spill_index() returns the entry of a data centre, which is added if it is
 * new.
 */
unsigned spill_index(struct spill *s, const char *dc)
{
	for (unsigned i = 0; i < s->n; i++) {
		if (!strcmp(s->dcs[i].name, dc))
			return i;
	}
	if (s->n == SPILL_DCS_MAX)
		return SPILL_DCS_MAX - 1;
	s->dcs[s->n].idle = 1;
	g_strlcpy(s->dcs[s->n].name, dc, sizeof(s->dcs[s->n].name));
	return s->n++;
}

/* Returns the share of idle servers; without reports it returns to 1. */
static double idle_share(const struct spill_dc *d, int64_t now_ms)
{
	double age = (double)(now_ms - d->at_ms);

	return 1 - (1 - d->idle) * exp2(-age / FORGET_HALF_LIFE_MS);
}

/* spill_record_report() adds a report of one of the servers. */
void spill_record_report(struct spill_dc *d, bool idle, int64_t now_ms)
{
	double share = idle_share(d, now_ms);

	d->idle = share + REPORT_WEIGHT * ((idle ? 1 : 0) - share);
	d->at_ms = now_ms;
}

/* spill_record_rtt() adds the round-trip time of a probe. */
void spill_record_rtt(struct spill_dc *d, double ms)
{
	d->rtt_ms =
		d->rtt_ms > 0 ? d->rtt_ms + RTT_WEIGHT * (ms - d->rtt_ms) : ms;
}

/*
 * spill_record_timeout() notes a probe that wasn't answered within ms. Until
 * one is, the data centre may be farther away than that.
 */
void spill_record_timeout(struct spill_dc *d, double ms)
{
	if (d->rtt_ms <= 0)
		d->rtt_ms = ms;
}

/*
 * spill_spare_ms() returns how much time a request can lose on its way to
 * another data centre; 0 if it should not look for idle servers there. That is
 * so if it is late, or if it has time enough for a busy server of the own one.
 */
double spill_spare_ms(double target_ms, double spent_ms, double work_ms)
{
	double ms = target_ms - spent_ms - work_ms;

	return ms > 0 && ms < SPARE_WORKS_MAX * work_ms ? ms : 0;
}

/* Returns which part of a data centre's weight the way to it leaves. */
static double nearness(double way_ms, double spare_ms)
{
	double way_max = WAY_SHARE_MAX * spare_ms;

	if (way_ms <= 0)
		return 1;
	return way_ms < way_max ? 1 - way_ms / way_max : 0;
}

/*
 * spill_weight() returns the part of the probes that a data centre should get,
 * relative to others: by its servers, and by how many more of them are idle
 * than in the own one. spare_ms: what remains of the request's target after its
 * usual service time.
 */
double spill_weight(const struct spill_dc *d, const struct spill_dc *own,
		    unsigned servers, double spare_ms, int64_t now_ms)
{
	double idle = idle_share(d, now_ms);
	double gain;

	if (!own || d == own)
		return servers * fmax(idle, WEIGHT_MIN);
	gain = idle - idle_share(own, now_ms) - GAIN_MIN;
	return servers *
	       fmax(gain * nearness(d->rtt_ms - own->rtt_ms, spare_ms),
		    WEIGHT_MIN);
}

/*
 * spill_draw() returns an index with a probability in proportion to its weight;
 * random is from 0 to 1. Returns n if all weights are 0.
 */
unsigned spill_draw(const double *weights, unsigned n, double random)
{
	double sum = 0, at;
	unsigned last = n;

	for (unsigned i = 0; i < n; i++)
		sum += weights[i];
	at = random * sum;
	for (unsigned i = 0; i < n; i++) {
		if (weights[i] <= 0)
			continue;
		last = i;
		if (at < weights[i])
			return i;
		at -= weights[i];
	}
	return last;
}
