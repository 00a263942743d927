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
#include "traffic/request_queue.h"

enum {
	PROBES_FIRST_ROUND = 2, /* servers of the own data centre asked first */
	PROBES_LATER_ROUND = 3, /* servers asked in each later round */
	PROBE_ROUNDS = 2,
	/*
	 * Once a server with room has answered, the others get this long:
	 * two round trips between data centres and a handshake.
	 */
	FURTHER_ANSWERS_MS = 5,
	/*
	 * A round without any answer ends after this; a lost packet is
	 * repeated after 200 ms, so longer waits bring nothing.
	 */
	PROBE_ROUND_MS = 30,
};

/*
 * After a request that could be on time has missed room, others that can't
 * leave it to such for so long: a few waits, and the pause in which callers
 * that were refused come back.
 */
enum { SATURATION_MS = 400 };

/*
 * An extra send is taken from the budget before a server is looked for, and
 * given back if none is found: between lie questions and waits, in which others
 * ask the budget. Of eight requests refused in the same milliseconds all were
 * sent again where four were allowed, as none had spent when the last asked.
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
		budget_give_back(&r->service->budget);
	r->budget_reserved = false;
}

/*
 * request_select_end() ends the select_reason at hand, if there is one. The caller
 * may send at once: what was reserved is there until others have had their turn.
 */
void request_select_end(struct request *r)
{
	request_queue_remove(r);
	release_budget(r);
	probes_release(r);
	r->select_reason = SELECT_NONE;
	r->wait_until_ms = 0;
}

/* Fills `out` with the servers that this select_reason may not ask again. */
static unsigned excluded_backends(const struct request *r, struct backend **out)
{
	unsigned n = 0;

	for (unsigned i = 0; i < r->nsends; i++)
		out[n++] = r->sends[i].backend;
	for (unsigned i = 0; i < r->nprobes; i++)
		out[n++] = r->probes[i]->backend;
	return n;
}

/* Asks the servers of the next round; false when none is left to ask. */
static bool start_probe_round(struct request *r, int64_t now_ms)
{
	struct backend *avoid[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
	struct backend *chosen[PLACE_ASK_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = avoid,
		.navoid = excluded_backends(r, avoid),
		.own_dc_only = r->probe_round == 0,
		.second = r->select_reason == SELECT_HEDGE,
		.now_ms = now_ms,
		.rand = r->traffic->rand,
	};
	unsigned want =
		r->probe_round == 0 ? PROBES_FIRST_ROUND : PROBES_LATER_ROUND;
	unsigned n = place_choose(&q, want, chosen);
	bool first = r->nprobes == 0 && r->wait_count == 0;

	n = ask_budget_take(&r->traffic->probe_budget, &r->traffic->ask_rule,
			    traffic_count_backends(r->traffic), n,
			    first ? 1 : 0, now_ms);

	for (unsigned i = 0; i < n; i++)
		probe_start(r, chosen[i]);
	r->probe_round++;
	r->round_end_ms = now_ms + PROBE_ROUND_MS;
	return n > 0;
}

/*
 * request_service_is_saturated() tells whether requests of the service that could be on
 * time have found no room lately.
 */
bool request_service_is_saturated(const struct request *r, int64_t now_ms)
{
	return r->service->pressed_ms &&
	       now_ms - r->service->pressed_ms < SATURATION_MS;
}

/* Tells whether the request goes to a server that told its load. */
static bool is_eligible(const struct request *r, const struct backend *b,
			double estimate_ms, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);
	bool told = service_tells_load(r->service);
	struct admit_server s = {
		.work_ms = estimate_ms,
		.way_ms = b->way_ms,
		.has_room = place_has_room(b, now_ms),
		.has_spare = place_has_spare(b, now_ms),
	};

	if (!backend_takes(b,
			   r->select_reason == SELECT_HEDGE ? SEND_HEDGE
							    : SEND_PRIMARY,
			   now_ms))
		return false;
	if (r->select_reason == SELECT_HEDGE && r->rescue)
		return admit_takes_rescue(
			&s, request_service_is_saturated(r, now_ms));
	if (r->select_reason == SELECT_HEDGE && !told) {
		/*
		 * The first went to a server of unknown speed, and each keeps a
		 * slot free anyway.
		 */
		s.has_spare = s.has_room;
		return admit_takes_second(&view, &s, false);
	}
	if (r->select_reason == SELECT_HEDGE)
		return admit_takes_second(
			&view, &s, request_service_is_saturated(r, now_ms));
	return admit_takes(&view, &s, request_service_is_saturated(r, now_ms));
}

/* Finds the best server that answered and suits; NULL: none. */
static struct probe *best_probe(struct request *r, int64_t now_ms)
{
	struct probe *best = NULL;
	double best_rank = 0;

	for (unsigned i = 0; i < r->nprobes; i++) {
		struct probe *a = r->probes[i];
		double ms;

		if (!a->upstream || !a->answered)
			continue;
		ms = place_estimate_ms(a->backend, r->stats->work.usual_ms,
				       now_ms);
		double rank = place_rank_ms(
			a->backend, r->traffic->settings->dc, ms, now_ms);

		if ((best && rank >= best_rank) ||
		    !is_eligible(r, a->backend, ms, now_ms))
			continue;
		best = a;
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

/* Sends to the chosen server on the connection that answered. */
static void send_on_probe(struct request *r, struct probe *a)
{
	struct upstream *u = a->upstream;
	struct backend *b = backend_ref(a->backend);

	a->upstream = NULL;
	request_select_end(r);
	request_send(r, b, u);
	backend_unref(b);
}

/* Lists the servers that may get the request; unref the array after use. */
static GPtrArray *candidates(const struct request *r)
{
	struct backend *avoid[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
	struct place_query q = {.service = r->service,
				.avoid = avoid,
				.navoid = excluded_backends(r, avoid),
				.second = r->select_reason == SELECT_HEDGE,
				.now_ms = clock_ms()};

	return place_candidates(&q);
}

/* The service's policy picks among those that take new work. */
static struct backend *pick_by_policy(struct request *r)
{
	const struct place_policy *p = r->service->policy;
	GPtrArray *fit = candidates(r);
	struct backend *b = NULL;

	if (fit->len)
		b = fit->pdata[p->pick(p->priv, (struct backend **)fit->pdata,
				       fit->len, r->traffic->rand)];
	if (b)
		b->picked = ++r->traffic->policy_picks;
	g_ptr_array_unref(fit);
	return b;
}

/*
 * Servers that tell no load: the admission decides on what the instances
 * together have there. Of several that suit as well one at random.
 */
static struct backend *pick_without_load(struct request *r, int64_t now_ms)
{
	GPtrArray *fit = candidates(r);
	struct backend *best = NULL;
	double best_rank = 0;

	for (guint i = 0; i < fit->len; i++) {
		struct backend *b = fit->pdata[i];
		double ms =
			place_estimate_ms(b, r->stats->work.usual_ms, now_ms);
		/* A tie-break that is small beside any real difference. */
		double rank =
			place_rank_ms(b, r->traffic->settings->dc, ms, now_ms) +
			g_rand_double(r->traffic->rand);

		if ((best && rank >= best_rank) ||
		    !is_eligible(r, b, ms, now_ms))
			continue;
		best = b;
		best_rank = rank;
	}
	g_ptr_array_unref(fit);
	return best;
}

/* Places without asking for load. */
static void select_without_probes(struct request *r, int64_t now_ms)
{
	/* A connection that was quiet for long may be closed unseen. */
	int64_t since = r->route->idempotent ? 0 : now_ms;
	struct backend *b;
	struct upstream *u;

	probes_release(r);
	b = r->service->policy->asks ? pick_without_load(r, now_ms)
				     : pick_by_policy(r);
	u = b ? upstream_get(r->traffic, b, since) : NULL;
	if (!u) {
		request_queue_wait(r, now_ms);
		return;
	}
	request_select_end(r);
	request_send(r, b, u);
}

/* A verdict came while it was being placed: it ends, or its copy isn't sent. */
static void abort_quarantined(struct request *r)
{
	request_select_end(r);
	if (request_is_in_flight(r))
		request_arm_timer(r);
	else
		request_reject_quarantined(r);
}

/*
 * request_select_step() chooses as soon as it is clear enough, and else waits
 * for more answers; called whenever one has come or a time is over.
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
	if (!r->service->policy->asks || !service_tells_load(r->service)) {
		select_without_probes(r, now_ms);
		return;
	}
	best = best_probe(r, now_ms);
	if (best && place_is_prompt(best->backend, now_ms)) {
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

/* request_select_on_timer() goes on when the time of a round or wait is over. */
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

/*
 * request_offer_capacity() gives room that a server has just told of to the first
 * request that waits for some.
 */
void request_offer_capacity(struct traffic *t, struct backend *b)
{
	struct service *s = b->service;
	int64_t now_ms = clock_ms();
	struct upstream *u;

	for (GList *l = s->waiting.head; l; l = l->next) {
		struct request *r = l->data;
		struct backend *avoid[REQUEST_PROBES_MAX + REQUEST_SENDS_MAX];
		unsigned n = excluded_backends(r, avoid);
		bool used = false;

		for (unsigned i = 0; i < n; i++)
			used = used || avoid[i] == b;
		double ms =
			place_estimate_ms(b, r->stats->work.usual_ms, now_ms);

		if (used || request_is_quarantined(r) ||
		    !is_eligible(r, b, ms, now_ms))
			continue;
		u = upstream_get(t, b, 0);
		if (!u)
			return;
		request_select_end(r);
		request_send(r, b, u);
		return;
	}
}

/*
 * request_select() begins to look for a backend server. A request that was sent
 * before needs request_may_send_again() to have said so just now.
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
	if (why != SELECT_HEDGE && !request_is_quarantined(r) &&
	    request_queue_is_behind(r, now_ms))
		request_queue_wait(r, now_ms);
	else
		request_select_step(r, now_ms);
}
