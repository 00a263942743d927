#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/hedge.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "core/policy.h"
#include "misc/clock.h"
#include "traffic/probe.h"
#include "traffic/quotas.h"
#include "traffic/request_queue.h"
#include "traffic/shortage_gossip.h"

enum {
	PROBES_FIRST_ROUND = 2, /* servers of the own data centre */
	PROBES_LATER_ROUND = 3, /* servers in each later round */
	PROBE_ROUNDS = 2,
	/*
	 * After a server with capacity has answered, the remaining probes get
	 * this long: two round trips between data centres and a handshake.
	 */
	FURTHER_ANSWERS_MS = 5,
	/*
	 * A round without any answer ends after this. A lost packet is
	 * retransmitted after 200 ms, so waiting longer doesn't help.
	 */
	PROBE_ROUND_MS = 30,
	/* Queued requests that get a new grant of their quota at once. */
	RENEWALS_AT_ONCE = 3,
};

/*
 * After a request that could have been on time found no capacity, requests that
 * can't be on time leave the capacity to others for this long: a few rechecks
 * and the pause after which refused callers return.
 */
enum { SATURATION_MS = 400 };

/*
 * Charges an extra send to the budget before a server is selected; it is
 * released if none is found. Probes and waits lie in between, and other
 * requests check the budget meanwhile: without the reservation all of eight
 * requests refused within the same milliseconds were sent again where four were
 * allowed, as none had spent when the last one checked.
 */
static void reserve_budget(struct request *r)
{
	if (!r->nsends)
		return;
	budget_spend(&r->service->budget);
	r->budget_reserved = true;
}

static void release_budget(struct request *r)
{
	if (r->budget_reserved)
		budget_refund(&r->service->budget);
	r->budget_reserved = false;
}

/*
 * Ends the current selection, if any. The caller may send immediately: no other
 * request runs before it, so the released budget is still there.
 */
void request_select_end(struct request *r)
{
	request_queue_remove(r);
	release_budget(r);
	probes_release(r);
	r->select_reason = SELECT_NONE;
	r->wait_until_ms = 0;
}

/* Fills `out` with the servers that are already probed or sent to. */
static unsigned excluded_backends(const struct request *r, struct backend **out)
{
	unsigned n = 0;

	for (unsigned i = 0; i < r->nsends; i++)
		out[n++] = r->sends[i].backend;
	for (unsigned i = 0; i < r->nprobes; i++)
		out[n++] = r->probes[i]->backend;
	return n;
}

/* Returns what the request can lose on its way to another data centre. */
static double spare_ms(const struct request *r, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);

	return spill_spare_ms(view.target_ms, view.spent_ms, view.median_ms);
}

/* Starts the next probe round; returns false if no server is left to probe. */
static bool start_probe_round(struct request *r, int64_t now_ms)
{
	struct backend *excluded[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
	struct backend *servers[PLACE_PROBE_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = excluded,
		.navoid = excluded_backends(r, excluded),
		.own_dc_only = r->probe_round == 0,
		.spare_ms = spare_ms(r, now_ms),
		.hedge = r->select_reason == SELECT_HEDGE,
		.now_ms = now_ms,
		.rand = r->traffic->rand,
	};
	unsigned count =
		r->probe_round == 0 ? PROBES_FIRST_ROUND : PROBES_LATER_ROUND;
	unsigned n = place_select_probes(&q, count, servers);
	bool first = r->nprobes == 0 && r->wait_count == 0;

	n = probe_budget_take(
		&r->traffic->probe_limiter, &r->traffic->probe_rate,
		traffic_count_backends(r->traffic), n, first ? 1 : 0, now_ms);

	for (unsigned i = 0; i < n; i++)
		probe_start(r, servers[i]);
	r->probe_round++;
	r->round_end_ms = now_ms + PROBE_ROUND_MS;
	return n > 0;
}

/*
 * Returns whether requests of the service that could be on time have found no
 * capacity recently.
 */
bool request_service_is_saturated(const struct request *r, int64_t now_ms)
{
	return r->service->capacity_missed_ms &&
	       now_ms - r->service->capacity_missed_ms < SATURATION_MS;
}

/* Returns whether the request may be sent to b. */
static bool is_eligible(const struct request *r, const struct backend *b,
			double estimate_ms, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);
	bool reports_load = service_reports_load(r->service);
	struct admit_server s = {
		.work_ms = estimate_ms,
		.rtt_ms = b->rtt_ms,
		.has_capacity = place_has_capacity(b, now_ms),
		.has_headroom = place_has_headroom(b, now_ms),
	};

	if (!backend_is_available(b,
				  r->select_reason == SELECT_HEDGE
					  ? SEND_HEDGE
					  : SEND_PRIMARY,
				  now_ms))
		return false;
	if (r->select_reason == SELECT_HEDGE && r->rescue)
		return admit_accepts_rescue(
			&s, request_service_is_saturated(r, now_ms));
	if (r->select_reason == SELECT_HEDGE && !reports_load) {
		/*
		 * The first copy went to a server of unknown speed, and each
		 * server keeps a slot free anyway.
		 */
		s.has_headroom = s.has_capacity;
		return admit_accepts_hedge(&view, &s, false);
	}
	if (r->select_reason == SELECT_HEDGE)
		return admit_accepts_hedge(
			&view, &s, request_service_is_saturated(r, now_ms));
	return admit_accepts(&view, &s,
			     request_service_is_saturated(r, now_ms));
}

/* Returns the best eligible server that has answered a probe, or NULL. */
static struct probe *best_probe(struct request *r, int64_t now_ms)
{
	struct probe *best = NULL;
	double best_rank = 0;

	for (unsigned i = 0; i < r->nprobes; i++) {
		struct probe *p = r->probes[i];
		double ms;

		if (!p->upstream || !p->answered)
			continue;
		ms = place_estimate_ms(p->backend, r->stats->work.median_ms,
				       now_ms);
		double rank = place_rank_ms(
			p->backend, r->traffic->settings->dc, ms, now_ms);

		if ((best && rank >= best_rank) ||
		    !is_eligible(r, p->backend, ms, now_ms))
			continue;
		best = p;
		best_rank = rank;
	}
	return best;
}

static bool has_pending_probe(const struct request *r)
{
	for (unsigned i = 0; i < r->nprobes; i++) {
		if (r->probes[i]->pending)
			return true;
	}
	return false;
}

/* Sends the request on the connection of an answered probe. */
static void send_on_probe(struct request *r, struct probe *p)
{
	struct upstream *u = p->upstream;
	struct backend *b;

	if (!quotas_allow_send(r))
		return;
	b = backend_ref(p->backend);
	p->upstream = NULL;
	request_select_end(r);
	request_send(r, b, u);
	backend_unref(b);
}

/*
 * Returns the servers that may get the request; unref the array after use. If
 * only the load in the own data centre is known, these are preferred.
 */
static GPtrArray *candidates(const struct request *r)
{
	struct backend *excluded[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = excluded,
		.navoid = excluded_backends(r, excluded),
		.own_dc_only = peer_loads_are_local(r->traffic->max_instances),
		.hedge = r->select_reason == SELECT_HEDGE,
		.now_ms = clock_ms()};
	GPtrArray *servers = place_candidates(&q);

	if (servers->len || !q.own_dc_only)
		return servers;
	g_ptr_array_unref(servers);
	q.own_dc_only = false;
	return place_candidates(&q);
}

/* Picks one of the candidates by the service's load-balancing policy. */
static struct backend *pick_by_policy(struct request *r)
{
	const struct place_policy *p = r->service->policy;
	GPtrArray *servers = candidates(r);
	struct backend *b = NULL;

	if (servers->len)
		b = servers->pdata[p->pick(p->priv,
					   (struct backend **)servers->pdata,
					   servers->len, r->traffic->rand)];
	if (b)
		b->last_picked = ++r->traffic->policy_picks;
	g_ptr_array_unref(servers);
	return b;
}

/*
 * Picks a server of a service that doesn't report load. Admission uses the
 * in-flight counts of all instances; ties are broken at random.
 */
static struct backend *pick_without_load(struct request *r, int64_t now_ms)
{
	GPtrArray *servers = candidates(r);
	struct backend *best = NULL;
	double best_rank = 0;

	for (guint i = 0; i < servers->len; i++) {
		struct backend *b = servers->pdata[i];
		double ms =
			place_estimate_ms(b, r->stats->work.median_ms, now_ms);
		/* Random tie-break, small against any real difference. */
		double rank =
			place_rank_ms(b, r->traffic->settings->dc, ms, now_ms) +
			g_rand_double(r->traffic->rand);

		if ((best && rank >= best_rank) ||
		    !is_eligible(r, b, ms, now_ms))
			continue;
		best = b;
		best_rank = rank;
	}
	g_ptr_array_unref(servers);
	return best;
}

/* Selects a server without probing. */
static void select_without_probes(struct request *r, int64_t now_ms)
{
	/*
	 * Only for idempotent requests: an idle connection may be closed
	 * unnoticed.
	 */
	int64_t idle_since_ms = r->route->idempotent ? 0 : now_ms;
	struct backend *b;
	struct upstream *u;

	probes_release(r);
	b = r->service->policy->probes_load ? pick_without_load(r, now_ms)
					    : pick_by_policy(r);
	if (b && !quotas_allow_send(r))
		return;
	u = b ? upstream_get(r->traffic, b, idle_since_ms) : NULL;
	if (!u) {
		request_queue_wait(r, now_ms);
		return;
	}
	request_select_end(r);
	request_send(r, b, u);
}

/*
 * Handles a quarantine verdict during the selection: the request is rejected,
 * or, if a copy is in flight, no further copy is sent.
 */
static void abort_quarantined(struct request *r)
{
	request_select_end(r);
	if (request_is_in_flight(r))
		request_arm_timer(r);
	else
		request_reject_quarantined(r);
}

/*
 * Selects a server as soon as the probe answers suffice, else waits for more.
 * Called after each answer and when a round or wait has ended.
 */
void request_select_step(struct request *r, int64_t now_ms)
{
	struct probe *best;

	if (r->select_reason == SELECT_NONE || r->wait_until_ms)
		return;
	if (request_is_quarantined(r)) {
		abort_quarantined(r);
		return;
	}
	if (!service_is_probed(r->service)) {
		select_without_probes(r, now_ms);
		return;
	}
	best = best_probe(r, now_ms);
	if (best && place_is_good_enough(best->backend, now_ms)) {
		send_on_probe(r, best);
		return;
	}
	if (has_pending_probe(r) && now_ms < r->round_end_ms) {
		if (best && r->round_end_ms > now_ms + FURTHER_ANSWERS_MS)
			r->round_end_ms = now_ms + FURTHER_ANSWERS_MS;
		request_arm_timer(r);
		return;
	}
	while (r->probe_round < PROBE_ROUNDS) {
		if (!start_probe_round(r, now_ms))
			continue;
		request_arm_timer(r);
		return;
	}
	if (best)
		send_on_probe(r, best);
	else
		request_queue_wait(r, now_ms);
}

/* Continues the selection when a probe round or wait has ended. */
void request_select_on_timer(struct request *r, int64_t now_ms)
{
	if (r->wait_until_ms && now_ms >= r->wait_until_ms &&
	    !request_queue_yield(r, now_ms)) {
		r->wait_until_ms = 0;
		r->round_end_ms = now_ms;
	}
	if (r->wait_until_ms)
		request_arm_timer(r);
	else
		request_select_step(r, now_ms);
}

/* Returns whether the request was sent to b or is probing it. */
static bool has_tried(const struct request *r, const struct backend *b)
{
	struct backend *excluded[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
	unsigned n = excluded_backends(r, excluded);

	for (unsigned i = 0; i < n; i++) {
		if (excluded[i] == b)
			return true;
	}
	return false;
}

/*
 * Probes b, which seems to have capacity but may be cold, for the first queued
 * request that it suits.
 */
static void probe_for_queue(struct traffic *t, struct backend *b,
			    int64_t now_ms)
{
	for (GList *l = b->service->waiting.head; l; l = l->next) {
		struct request *r = l->data;

		if (!r->wait_until_ms || has_tried(r, b))
			continue;
		if (!probe_budget_take(&t->probe_limiter, &t->probe_rate,
				       traffic_count_backends(t), 1, 0, now_ms))
			return;
		r->wait_until_ms = 0;
		/* The delay of the next check isn't doubled for this. */
		if (r->wait_count)
			r->wait_count--;
		r->probe_round = PROBE_ROUNDS;
		r->round_end_ms = now_ms + PROBE_ROUND_MS;
		probe_start(r, b);
		request_arm_timer(r);
		return;
	}
}

/*
 * Sends the first suitable queued request to b, which has just reported
 * capacity.
 */
void request_offer_capacity(struct traffic *t, struct backend *b)
{
	struct service *s = b->service;
	int64_t now_ms = clock_ms();
	unsigned renewing = 0;
	struct upstream *u;

	if (backend_availability(b, SEND_PRIMARY, now_ms).hold ==
	    HOLD_UNREPORTED) {
		probe_for_queue(t, b, now_ms);
		return;
	}
	for (GList *l = s->waiting.head; l; l = l->next) {
		struct request *r = l->data;
		double ms =
			place_estimate_ms(b, r->stats->work.median_ms, now_ms);

		if (has_tried(r, b) || request_is_quarantined(r) ||
		    !is_eligible(r, b, ms, now_ms))
			continue;
		if (!quotas_allow_send(r)) {
			if (++renewing == RENEWALS_AT_ONCE)
				return;
			continue;
		}
		u = upstream_get(t, b, 0);
		if (!u)
			return;
		request_select_end(r);
		request_send(r, b, u);
		return;
	}
}

/*
 * Starts a server selection. A request that was sent before needs a positive
 * request_may_send_again() immediately before.
 */
void request_select(struct request *r, enum select_reason why)
{
	int64_t now_ms = clock_ms();

	probes_release(r);
	reserve_budget(r);
	r->select_reason = why;
	r->probe_round = 0;
	r->wait_until_ms = 0;
	r->wait_count = 0;
	r->select_start_ms = now_ms;
	r->round_end_ms = now_ms;
	if (why == SELECT_FIRST)
		shortage_gossip_count(r, false, now_ms);
	if (why != SELECT_HEDGE && !request_is_quarantined(r) &&
	    request_queue_is_behind(r, now_ms))
		request_queue_wait(r, now_ms);
	else
		request_select_step(r, now_ms);
}
