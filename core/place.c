#include <string.h>

#include "core/availability.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "core/place.h"

/*
 * What a unit of remembered failure is worth in time: one recent failure
 * makes a server look three times as slow, so that it is used when the
 * others are nearly full, and not before.
 */
static const double FAILURE_SLOWDOWN = 2.0;

/* How much one measured way to a server says beside the earlier ones. */
static const double RTT_EWMA_WEIGHT = 0.1;

/*
 * Up to this many times the usual time a server counts as quick. With more, one
 * whose last slot is slow does so until that is learned.
 */
static const double GOOD_ENOUGH_FACTOR = 1.2;

/*
 * How busy b is: by its report, or, if the service's servers make none, by
 * the requests that the instances together have there.
 */
static struct load_report current_load(const struct backend *b)
{
	if (service_reports_load(b->service))
		return b->load;
	return (struct load_report){
		.running = b->in_flight + (unsigned)b->peers_in_flight,
		.slots = b->entry.slots ? b->entry.slots : 1,
		.slowdown_pct = 100,
	};
}

/* place_server_view() tells how b stands for one more request. */
struct server_view place_server_view(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b);

	return (struct server_view){
		.active_requests = l.running + l.waiting + 1,
		.slots = l.slots,
		.slowdown_pct = l.slowdown_pct,
		.warming_up = b->warm_up_until_ms > now_ms,
	};
}

static bool is_avoided(const struct place_query *q, const struct backend *b)
{
	for (unsigned i = 0; i < q->navoid; i++) {
		if (q->avoid[i] == b)
			return true;
	}
	return false;
}

/*
 * Reports younger than this still say something: a server's speed changes
 * about every 300 ms.
 */
enum { REPORT_FRESH_MS = 250 };

/*
 * Whom to ask first: ranks add up and the lowest go first. A random part
 * below 1 spreads instances over servers that are alike; the steps below say
 * what goes before what. Another data centre costs a round trip and paid
 * bytes, so the first round asks in the own one only. Later rounds, when
 * neither of two was idle and quick, also ask elsewhere, so that a busy data
 * centre doesn't wait until all of its servers are known to be full beside one
 * that has room. A server that keeps failing comes last.
 */
static const double RANK_DEPRIORITIZED = 8;
static const double RANK_FULL = 3;
static const double RANK_OTHER_DC = 0.4;
static const double RANK_SLOW = 1.5;
static const double RANK_WARMING_UP = 0.7;
static const double RANK_PER_OWN_REQUEST = 0.5;
static const double RANK_FAST = -0.5;

/*
 * A server without an idle connection is asked after those with one: opening
 * one takes a round trip and a moment of a slot. One ask in ten leaves that
 * out, so that a server that has just joined is known within a second.
 */
static const double RANK_NO_CONNECTION = 0.8;
static const double EXPLORE_SHARE = 0.1;

/* Remembered failure up to which a server counts as sound. */
static const double HEALTHY_SCORE_MAX = 0.5;

/* What a remembered report says for or against asking b now. */
static double report_rank(const struct place_query *q, const struct backend *b)
{
	if (!b->load.at_ms || q->now_ms - b->load.at_ms > REPORT_FRESH_MS)
		return 0;
	struct server_view v = place_server_view(b, q->now_ms);

	if (!place_has_capacity(b, q->now_ms))
		return RANK_FULL;
	return latency_factor(&b->service->model, &v, q->now_ms) >
			       GOOD_ENOUGH_FACTOR
		       ? RANK_SLOW
		       : RANK_FAST;
}

/* Tells whether b may get new work for this query. */
static bool is_candidate(const struct place_query *q, const struct backend *b)
{
	enum send_kind kind = q->hedge ? SEND_HEDGE : SEND_PRIMARY;

	if (is_avoided(q, b) || !backend_is_available(b, kind, q->now_ms))
		return false;
	return !q->own_dc_only || !mechanisms.own_dc ||
	       !strcmp(b->entry.dc, q->dc);
}

/* place_candidates() lists them all; unref the array after use. */
GPtrArray *place_candidates(const struct place_query *q)
{
	const GPtrArray *all = q->service->backends;
	GPtrArray *fit = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		if (is_candidate(q, g_ptr_array_index(all, i)))
			g_ptr_array_add(fit, g_ptr_array_index(all, i));
	}
	return fit;
}

/* Orders candidates: lower is asked first; ties are broken at random. */
static double probe_rank(const struct place_query *q, const struct backend *b,
			 bool explore)
{
	double rank = g_rand_double(q->rand);
	double trouble = outlier_score(b, q->now_ms);

	if (outlier_is_deprioritized(b, q->now_ms))
		rank += RANK_DEPRIORITIZED + trouble;
	else if (trouble > 0)
		rank += trouble;
	if (mechanisms.own_dc && strcmp(b->entry.dc, q->dc))
		rank += RANK_OTHER_DC;
	if (b->warm_up_until_ms > q->now_ms)
		rank += RANK_WARMING_UP;
	if (!b->idle_conns && !explore && mechanisms.idle_first)
		rank += RANK_NO_CONNECTION;
	rank += RANK_PER_OWN_REQUEST * b->in_flight;
	return rank + report_rank(q, b);
}

/*
 * place_select_probes() picks up to `want` servers to ask next, those of the own
 * data centre first. Returns how many it wrote to out.
 */
unsigned place_select_probes(const struct place_query *q, unsigned want,
			     struct backend **out)
{
	double ranks[PLACE_PROBE_MAX];
	unsigned n = 0;
	const GPtrArray *all = q->service->backends;
	bool explore = g_rand_double(q->rand) < EXPLORE_SHARE;

	if (want > PLACE_PROBE_MAX)
		want = PLACE_PROBE_MAX;
	for (guint i = 0; i < all->len; i++) {
		struct backend *b = g_ptr_array_index(all, i);

		if (!is_candidate(q, b))
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

/* place_record_rtt() learns from a question how long the way to b takes. */
void place_record_rtt(struct backend *b, double ms)
{
	b->rtt_ms += RTT_EWMA_WEIGHT * (ms - b->rtt_ms);
}

/*
 * place_estimate_ms() expects how long b works on a request, from its last
 * report, what such reports have meant and its queue. The way there comes on
 * top: b->rtt_ms.
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

/* place_record_load() learns from b's present load what servers offer. */
void place_record_load(struct backend *b, int64_t now_ms)
{
	struct server_view v = place_server_view(b, now_ms);

	latency_record_server(&b->service->model,
			      latency_factor(&b->service->model, &v, now_ms),
			      place_has_capacity(b, now_ms));
}

/*
 * Bytes between data centres are paid for: to save them a request may take
 * this much longer.
 */
static const double OTHER_DC_PENALTY = 0.06;

/*
 * place_rank_ms() orders servers of which each suits: lower is better. It is
 * the time expected, longer by what is remembered of failures. These don't
 * count for whether a server suits: where all fail now and then, requests
 * would wait for better ones in vain.
 */
double place_rank_ms(const struct backend *b, const char *dc,
		     double estimate_ms, int64_t now_ms)
{
	bool elsewhere = mechanisms.own_dc && strcmp(b->entry.dc, dc);
	double away = elsewhere ? OTHER_DC_PENALTY : 0;

	return (estimate_ms + b->rtt_ms) * (1 + away) *
	       (1 + FAILURE_SLOWDOWN * outlier_score(b, now_ms));
}

/*
 * What others have at a server that tells no load is known late: two instances
 * may send there at the same time. So a slot is left for such, where there
 * are more than two.
 */
static unsigned usable_slots(const struct backend *b, unsigned slots)
{
	return service_reports_load(b->service) || slots <= 2 ? slots
							      : slots - 1;
}

/* place_has_capacity() tells whether one more request may be sent to b. */
bool place_has_capacity(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b);
	unsigned room = latency_max_concurrency(
		&b->service->model, usable_slots(b, l.slots), now_ms);

	return l.running + l.waiting + 1 <= room;
}

/*
 * place_has_headroom() tells whether b has room that nobody misses: with two
 * requests more it still gets more done than with one. Late requests and
 * second sends that take a server's last good slot cost others a start.
 */
bool place_has_headroom(const struct backend *b, int64_t now_ms)
{
	struct load_report l = current_load(b);
	unsigned best = latency_best_concurrency(
		&b->service->model, usable_slots(b, l.slots), now_ms);

	return l.running + l.waiting + 2 <= best;
}

/*
 * place_is_good_enough() tells whether waiting for the answers of others can gain
 * little: b has room to spare, is expected to work at about its usual speed,
 * and has not failed lately. A server's last slot is not prompt.
 */
bool place_is_good_enough(const struct backend *b, int64_t now_ms)
{
	struct server_view v = place_server_view(b, now_ms);

	return place_has_headroom(b, now_ms) &&
	       latency_factor(&b->service->model, &v, now_ms) <=
		       GOOD_ENOUGH_FACTOR &&
	       outlier_score(b, now_ms) < HEALTHY_SCORE_MAX;
}
