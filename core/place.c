#include <string.h>

#include "core/availability.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "core/place.h"

/*
 * Added relative latency for each unit of failure score. One recent failure
 * makes a server rank as three times as slow, so that it is used only when the
 * others are nearly full.
 */
static const double FAILURE_SLOWDOWN = 2.0;

/* Weight of one round-trip time in the moving average. */
static const double RTT_EWMA_WEIGHT = 0.1;

/*
 * Latency factor up to which a server counts as fast. A higher bound would
 * include servers that are slow on their last slot, until the model has learned
 * that.
 */
static const double GOOD_ENOUGH_FACTOR = 1.2;

/*
 * Maximum age of a load report used in ranking: a server's speed changes about
 * every 300 ms.
 */
enum { REPORT_FRESH_MS = 250 };

/*
 * Returns b's load: as it last reported, or, if the service's servers don't
 * report load, from the requests that all instances have in flight there and
 * the time of the last probe.
 */
static struct load_report current_load(const struct backend *b, int64_t now_ms)
{
	bool timed = b->load.at_ms && now_ms - b->load.at_ms <= REPORT_FRESH_MS;

	if (service_reports_load(b->service))
		return b->load;
	return (struct load_report){
		.running = b->in_flight + (unsigned)b->peers_in_flight,
		.slots = b->entry.slots ? b->entry.slots : 1,
		.slowdown_pct = timed ? b->load.slowdown_pct : 100,
	};
}

/* place_server_view() returns b's state with one more request. */
struct server_view place_server_view(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b, now_ms);

	return (struct server_view){
		.active_requests = l.running + l.waiting + 1,
		.slots = l.slots,
		.slowdown_pct = l.slowdown_pct,
		.warming_up = b->warm_up_until_ms > now_ms,
	};
}

/* Returns whether the query excludes b. */
static bool is_avoided(const struct place_query *q, const struct backend *b)
{
	for (unsigned i = 0; i < q->navoid; i++) {
		if (q->avoid[i] == b)
			return true;
	}
	return false;
}

/*
 * Probe order: a server's rank is the sum of the terms that apply and a random
 * number below 1, which spreads the instances over equal servers. The lowest
 * ranks are probed first; servers that keep failing come last.
 *
 * Another data centre costs a longer round trip and paid traffic, so the first
 * round probes the own data centre only. Later rounds, when neither of two
 * servers was idle and fast, include the others. Otherwise requests in a busy
 * data centre would wait until all of its servers are known to be full, while
 * another data centre has capacity.
 */
static const double RANK_DEPRIORITIZED = 8;
static const double RANK_FULL = 3;
static const double RANK_OTHER_DC = 0.4;
static const double RANK_SLOW = 1.5;
static const double RANK_WARMING_UP = 0.7;
static const double RANK_PER_OWN_REQUEST = 0.5;
static const double RANK_FAST = -0.5;

/*
 * Servers without an idle connection rank lower, since opening one takes a
 * round trip and briefly a slot. Together with the preference for servers that
 * have just reported, this would keep a server that got nothing for a while out
 * of use, so one selection in ten probes those without a recent report first.
 */
static const double RANK_NO_CONNECTION = 0.8;
static const double RANK_UNREPORTED = -1;
static const double EXPLORE_SHARE = 0.1;

/* Age of a report from which a server is probed first when exploring. */
enum { REPORT_OLD_MS = 1000 };

/* Failure score below which a server counts as healthy. */
static const double HEALTHY_SCORE_MAX = 0.5;

/* Returns the rank term of b's last load report. */
static double report_rank(const struct place_query *q, const struct backend *b,
			  bool explore)
{
	int64_t age_ms = b->load.at_ms ? q->now_ms - b->load.at_ms : INT64_MAX;

	if (!service_reports_load(b->service) &&
	    !place_has_capacity(b, q->now_ms))
		return RANK_FULL;
	if (age_ms > REPORT_FRESH_MS)
		return explore && age_ms > REPORT_OLD_MS ? RANK_UNREPORTED : 0;
	struct server_view v = place_server_view(b, q->now_ms);

	if (!place_has_capacity(b, q->now_ms))
		return RANK_FULL;
	return latency_factor(&b->service->model, &v, q->now_ms) >
			       GOOD_ENOUGH_FACTOR
		       ? RANK_SLOW
		       : RANK_FAST;
}

/* Returns whether b may get a new request, or a probe, for this query. */
static bool is_candidate(const struct place_query *q, const struct backend *b,
			 bool to_probe)
{
	enum send_kind kind = q->hedge ? SEND_HEDGE : SEND_PRIMARY;
	bool usable = to_probe ? backend_may_probe(b, kind, q->now_ms)
			       : backend_is_available(b, kind, q->now_ms);

	if (!usable || is_avoided(q, b))
		return false;
	return !q->own_dc_only || !mechanisms.own_dc ||
	       !strcmp(b->entry.dc, q->dc);
}

/*
 * place_candidates() returns all servers that may get a new request; the caller
 * unrefs the array.
 */
GPtrArray *place_candidates(const struct place_query *q)
{
	const GPtrArray *all = q->service->backends;
	GPtrArray *fit = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		if (is_candidate(q, g_ptr_array_index(all, i), false))
			g_ptr_array_add(fit, g_ptr_array_index(all, i));
	}
	return fit;
}

/* Returns whether the data centres are drawn by their idle servers. */
static bool spill_applies(const struct place_query *q)
{
	return mechanisms.spill && mechanisms.own_dc && !q->own_dc_only &&
	       q->spare_ms > 0 && q->service->spill.n > 1;
}

/* Returns a candidate's rank; the lowest ones are probed first. */
static double probe_rank(const struct place_query *q, const struct backend *b,
			 bool explore)
{
	double rank = g_rand_double(q->rand);
	double score = outlier_score(b, q->now_ms);

	if (outlier_is_deprioritized(b, q->now_ms))
		rank += RANK_DEPRIORITIZED + score;
	else if (score > 0)
		rank += score;
	if (mechanisms.own_dc && !spill_applies(q) &&
	    strcmp(b->entry.dc, q->dc))
		rank += RANK_OTHER_DC;
	if (b->warm_up_until_ms > q->now_ms)
		rank += RANK_WARMING_UP;
	if (!b->idle_conns && !explore && mechanisms.idle_first)
		rank += RANK_NO_CONNECTION;
	rank += RANK_PER_OWN_REQUEST * b->in_flight;
	return rank + report_rank(q, b, explore);
}

/* Selects the candidates with the lowest ranks. */
static unsigned select_by_rank(const struct place_query *q, unsigned want,
			       struct backend **out)
{
	double ranks[PLACE_PROBE_MAX];
	unsigned n = 0;
	const GPtrArray *all = q->service->backends;
	bool explore = g_rand_double(q->rand) < EXPLORE_SHARE;

	for (guint i = 0; i < all->len; i++) {
		struct backend *b = g_ptr_array_index(all, i);

		if (!is_candidate(q, b, true))
			continue;
		double rank = probe_rank(q, b, explore);
		unsigned at = n;

		while (at > 0 && ranks[at - 1] > rank)
			at--;
		if (at >= want)
			continue;
		for (unsigned k = n < want ? n : want - 1; k > at; k--) {
			ranks[k] = ranks[k - 1];
			out[k] = out[k - 1];
		}
		ranks[at] = rank;
		out[at] = b;
		if (n < want)
			n++;
	}
	return n;
}

/* Fills `weights` with each data centre's part of the probes. */
static void weigh_dcs(const struct place_query *q, double *weights)
{
	const struct spill *s = &q->service->spill;
	const GPtrArray *all = q->service->backends;
	unsigned servers[SPILL_DCS_MAX] = {0};
	const struct spill_dc *own = NULL;

	for (guint i = 0; i < all->len; i++) {
		const struct backend *b = g_ptr_array_index(all, i);

		servers[b->dc_index] += is_candidate(q, b, true) &&
					!outlier_is_deprioritized(b, q->now_ms);
	}
	for (unsigned i = 0; i < s->n; i++) {
		if (!strcmp(s->dcs[i].name, q->dc))
			own = &s->dcs[i];
	}
	for (unsigned i = 0; i < s->n; i++)
		weights[i] = spill_weight(&s->dcs[i], own, servers[i],
					  q->spare_ms, q->now_ms);
}

/* Returns whether b is one of the n servers in list. */
static bool is_listed(struct backend *const *list, unsigned n,
		      const struct backend *b)
{
	for (unsigned i = 0; i < n; i++) {
		if (list[i] == b)
			return true;
	}
	return false;
}

/*
 * Returns the candidate with the lowest rank in a data centre that isn't one of
 * the n in `chosen`, or NULL.
 */
static struct backend *best_in_dc(const struct place_query *q, unsigned dc,
				  struct backend *const *chosen, unsigned n,
				  bool explore)
{
	const GPtrArray *all = q->service->backends;
	struct backend *best = NULL;
	double best_rank = 0;

	for (guint i = 0; i < all->len; i++) {
		struct backend *b = g_ptr_array_index(all, i);
		double rank;

		if (b->dc_index != dc || is_listed(chosen, n, b) ||
		    !is_candidate(q, b, true))
			continue;
		rank = probe_rank(q, b, explore);
		if (best && rank >= best_rank)
			continue;
		best = b;
		best_rank = rank;
	}
	return best;
}

/*
 * Selects servers of data centres that are drawn, see core/spill.h. Selects
 * fewer than `want` if healthy ones run out.
 */
static unsigned select_spilled(const struct place_query *q, unsigned want,
			       struct backend **out)
{
	double weights[SPILL_DCS_MAX] = {0};
	unsigned dcs = q->service->spill.n, n = 0;
	bool explore = g_rand_double(q->rand) < EXPLORE_SHARE;

	weigh_dcs(q, weights);
	while (n < want) {
		unsigned dc = spill_draw(weights, dcs, g_rand_double(q->rand));

		if (dc == dcs)
			return n;
		out[n] = best_in_dc(q, dc, out, n, explore);
		if (out[n])
			n++;
		else
			weights[dc] = 0;
	}
	return n;
}

/*
 * Returns whether b's limit may have ended and the query's request should find
 * out. Only the response to a request tells, and until an instance has learned
 * it, those without a quota of the limit don't use b. A server that was too
 * busy gets time to recover first.
 */
static bool needs_confirmation(const struct place_query *q,
			       const struct backend *b)
{
	return backend_is_limited(b) &&
	       server_limit_is_unconfirmed(&b->state->limit->advertised,
					   q->now_ms) &&
	       !b->busy_conns && is_candidate(q, b, false) &&
	       outlier_score(b, q->now_ms) < HEALTHY_SCORE_MAX &&
	       (q->now_ms - b->load.at_ms > REPORT_OLD_MS ||
		place_is_good_enough(b, q->now_ms));
}

/* Returns a candidate that needs confirmation of its limit, or NULL. */
static struct backend *select_unconfirmed(const struct place_query *q)
{
	const GPtrArray *all = q->service->backends;

	for (guint i = 0; i < all->len; i++) {
		if (needs_confirmation(q, g_ptr_array_index(all, i)))
			return g_ptr_array_index(all, i);
	}
	return NULL;
}

/*
 * place_select_probes() selects up to `want` servers to probe next and stores
 * them in `out`. Returns their number.
 */
unsigned place_select_probes(const struct place_query *q, unsigned want,
			     struct backend **out)
{
	struct backend *unconfirmed = select_unconfirmed(q);
	unsigned n;

	/* Alone: the request goes to whichever server answers first. */
	if (unconfirmed && want) {
		out[0] = unconfirmed;
		return 1;
	}
	if (want > PLACE_PROBE_MAX)
		want = PLACE_PROBE_MAX;
	n = spill_applies(q) ? select_spilled(q, want, out) : 0;
	return n ? n : select_by_rank(q, want, out);
}

/* place_record_rtt() adds the round-trip time of a load probe. */
void place_record_rtt(struct backend *b, double ms)
{
	spill_record_rtt(&b->service->spill.dcs[b->dc_index], ms);
	b->rtt_ms += RTT_EWMA_WEIGHT * (ms - b->rtt_ms);
}

/*
 * place_estimate_ms() returns the expected service time of a request on b,
 * whose normal service time is work_ms, from b's last report, the learned
 * factors and b's queue. The round trip, b->rtt_ms, isn't included.
 */
double place_estimate_ms(const struct backend *b, double work_ms,
			 int64_t now_ms)
{
	struct server_view v = place_server_view(b, now_ms);
	unsigned slots = v.slots ? v.slots : 1;
	double ms = work_ms * latency_factor(&b->service->model, &v, now_ms);

	if (v.active_requests > slots)
		ms += ms * (v.active_requests - slots) / slots;
	return ms;
}

/* place_record_load() adds b's current load to the service's model. */
void place_record_load(struct backend *b, int64_t now_ms)
{
	struct server_view v = place_server_view(b, now_ms);

	latency_record_server(&b->service->model,
			      latency_factor(&b->service->model, &v, now_ms),
			      place_has_capacity(b, now_ms));
	spill_record_report(&b->service->spill.dcs[b->dc_index],
			    place_is_good_enough(b, now_ms), now_ms);
}

/*
 * Relative latency that a request may lose to stay in its data centre, since
 * traffic between data centres is paid for.
 */
static const double OTHER_DC_PENALTY = 0.06;

/*
 * place_rank_ms() ranks servers that are all acceptable for a request: lower is
 * better. It is the expected latency, increased by the failure score. Whether a
 * server is acceptable doesn't depend on the score: where all servers fail now
 * and then, requests would wait for a better one in vain.
 */
double place_rank_ms(const struct backend *b, const char *dc,
		     double estimate_ms, int64_t now_ms)
{
	bool other_dc = mechanisms.own_dc && strcmp(b->entry.dc, dc);
	double penalty = other_dc ? OTHER_DC_PENALTY : 0;

	return (estimate_ms + b->rtt_ms) * (1 + penalty) *
	       (1 + FAILURE_SLOWDOWN * outlier_score(b, now_ms));
}

/*
 * Returns the slots to use of a server. Requests of other instances to a server
 * that doesn't report its load are known with a delay, and two instances may
 * send to it at the same time, so one slot is reserved if it has more than two.
 */
static unsigned usable_slots(const struct backend *b, unsigned slots)
{
	return service_reports_load(b->service) || slots <= 2 ? slots
							      : slots - 1;
}

/* place_has_capacity() returns whether b can take one more request. */
bool place_has_capacity(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b, now_ms);
	unsigned allowed = latency_max_concurrency(
		&b->service->model, usable_slots(b, l.slots), now_ms);

	return l.running + l.waiting + 1 <= allowed;
}

/*
 * place_has_headroom() returns whether b can take one more request without a
 * loss to others: it has a higher throughput with two more requests than with
 * one. Late requests and hedges that take the last useful slot of a server
 * delay others.
 */
bool place_has_headroom(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b, now_ms);
	unsigned best = latency_best_concurrency(
		&b->service->model, usable_slots(b, l.slots), now_ms);

	return l.running + l.waiting + 2 <= best;
}

/*
 * place_is_good_enough() returns whether there is little to gain from waiting
 * for other servers' reports: b has headroom, about its normal speed, and no
 * recent failures. The last slot of a server is never good enough.
 */
bool place_is_good_enough(const struct backend *b, int64_t now_ms)
{
	struct server_view v = place_server_view(b, now_ms);

	return place_has_headroom(b, now_ms) &&
	       latency_factor(&b->service->model, &v, now_ms) <=
		       GOOD_ENOUGH_FACTOR &&
	       outlier_score(b, now_ms) < HEALTHY_SCORE_MAX;
}
