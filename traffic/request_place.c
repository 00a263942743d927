#include <errno.h>
#include <string.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/hedge.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "core/policy.h"
#include "misc/clock.h"
#include "traffic/ask.h"
#include "traffic/request_wait.h"

enum {
	ASK_FIRST = 2,	 /* servers of the own data centre asked first */
	ASK_FURTHER = 3, /* servers asked in each later round */
	ROUNDS = 2,
	/*
	 * Once a server with room has answered, the others get this long:
	 * two round trips between data centres and a handshake.
	 */
	PATIENCE_MS = 5,
	/*
	 * A round without any answer ends after this; a lost packet is
	 * repeated after 200 ms, so longer waits bring nothing.
	 */
	ROUND_MS = 30,
};

/*
 * After a request that could be on time has missed room, others that can't
 * leave it to such for so long: a few waits, and the pause in which callers
 * that were refused come back.
 */
enum { PRESSED_MS = 400 };

/*
 * An extra send is taken from the budget before a server is looked for, and
 * given back if none is found: between lie questions and waits, in which others
 * ask the budget. Of eight requests refused in the same milliseconds all were
 * sent again where four were allowed, as none had spent when the last asked.
 */
static void reserve(struct request *r)
{
	if (!r->nsends)
		return;
	budget_spend(&r->service->budget);
	r->reserved = true;
}

static void give_back(struct request *r)
{
	if (r->reserved)
		budget_give_back(&r->service->budget);
	r->reserved = false;
}

/*
 * request_place_end() ends the placement at hand, if there is one. The caller
 * may send at once: what was reserved is there until others have had their turn.
 */
void request_place_end(struct request *r)
{
	request_wait_end(r);
	give_back(r);
	ask_release(r);
	r->placement = PLACE_NONE;
	r->wait_until_ms = 0;
}

/* Fills `out` with the servers that this placement may not ask again. */
static unsigned avoided(const struct request *r, struct backend **out)
{
	unsigned n = 0;

	for (unsigned i = 0; i < r->nsends; i++)
		out[n++] = r->sends[i].backend;
	for (unsigned i = 0; i < r->nasks; i++)
		out[n++] = r->asks[i]->backend;
	return n;
}

/* Asks the servers of the next round; false when none is left to ask. */
static bool ask_round(struct request *r, int64_t now_ms)
{
	struct backend *avoid[REQUEST_ASKS_MAX + REQUEST_SENDS_MAX];
	struct backend *chosen[PLACE_PROBE_MAX];
	struct place_query q = {
		.service = r->service,
		.dc = r->traffic->settings->dc,
		.avoid = avoid,
		.navoid = avoided(r, avoid),
		.own_dc_only = r->round == 0,
		.hedge = r->placement == PLACE_HEDGE,
		.now_ms = now_ms,
		.rand = r->traffic->rand,
	};
	unsigned want = r->round == 0 ? ASK_FIRST : ASK_FURTHER;
	unsigned n = place_select_probes(&q, want, chosen);
	bool first = r->nasks == 0 && r->waits == 0;

	n = ask_budget_take(&r->traffic->asks, &r->traffic->ask_rule,
			    traffic_servers(r->traffic), n, first ? 1 : 0,
			    now_ms);

	for (unsigned i = 0; i < n; i++)
		ask_start(r, chosen[i]);
	r->round++;
	r->round_ends_ms = now_ms + ROUND_MS;
	return n > 0;
}

/*
 * request_is_pressed() tells whether requests of the service that could be on
 * time have found no room lately.
 */
bool request_is_pressed(const struct request *r, int64_t now_ms)
{
	return r->service->capacity_missed_ms &&
	       now_ms - r->service->capacity_missed_ms < PRESSED_MS;
}

/* Tells whether the request goes to a server that told its load. */
static bool takes(const struct request *r, const struct backend *b,
		  double estimate_ms, int64_t now_ms)
{
	struct admit_request view = request_view(r, now_ms);
	bool told = service_reports_load(r->service);
	struct admit_server s = {
		.work_ms = estimate_ms,
		.rtt_ms = b->rtt_ms,
		.has_capacity = place_has_capacity(b, now_ms),
		.has_headroom = place_has_headroom(b, now_ms),
	};

	if (!backend_is_available(
		    b, r->placement == PLACE_HEDGE ? SEND_HEDGE : SEND_PRIMARY,
		    now_ms))
		return false;
	if (r->placement == PLACE_HEDGE && r->rescue)
		return admit_accepts_rescue(&s, request_is_pressed(r, now_ms));
	if (r->placement == PLACE_HEDGE && !told) {
		/*
		 * The first went to a server of unknown speed, and each keeps a
		 * slot free anyway.
		 */
		s.has_headroom = s.has_capacity;
		return admit_accepts_hedge(&view, &s, false);
	}
	if (r->placement == PLACE_HEDGE)
		return admit_accepts_hedge(&view, &s,
					   request_is_pressed(r, now_ms));
	return admit_accepts(&view, &s, request_is_pressed(r, now_ms));
}

/* Finds the best server that answered and suits; NULL: none. */
static struct ask *best_ask(struct request *r, int64_t now_ms)
{
	struct ask *best = NULL;
	double best_rank = 0;

	for (unsigned i = 0; i < r->nasks; i++) {
		struct ask *a = r->asks[i];
		double ms;

		if (!a->upstream || !a->answered)
			continue;
		ms = place_estimate_ms(a->backend, r->stats->work.median_ms,
				       now_ms);
		double rank = place_rank_ms(
			a->backend, r->traffic->settings->dc, ms, now_ms);

		if ((best && rank >= best_rank) ||
		    !takes(r, a->backend, ms, now_ms))
			continue;
		best = a;
		best_rank = rank;
	}
	return best;
}

static bool any_pending(const struct request *r)
{
	for (unsigned i = 0; i < r->nasks; i++) {
		if (r->asks[i]->pending)
			return true;
	}
	return false;
}

/* Sends to the chosen server on the connection that answered. */
static void take(struct request *r, struct ask *a)
{
	struct upstream *u = a->upstream;
	struct backend *b = backend_ref(a->backend);

	a->upstream = NULL;
	request_place_end(r);
	request_send(r, b, u);
	backend_unref(b);
}

/* Lists the servers that may get the request; unref the array after use. */
static GPtrArray *candidates(const struct request *r)
{
	struct backend *avoid[REQUEST_ASKS_MAX + REQUEST_SENDS_MAX];
	struct place_query q = {.service = r->service,
				.avoid = avoid,
				.navoid = avoided(r, avoid),
				.hedge = r->placement == PLACE_HEDGE,
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
		b->last_picked = ++r->traffic->picks;
	g_ptr_array_unref(fit);
	return b;
}

/*
 * Servers that tell no load: the admission decides on what the instances
 * together have there. Of several that suit as well one at random.
 */
static struct backend *pick_unreported(struct request *r, int64_t now_ms)
{
	GPtrArray *fit = candidates(r);
	struct backend *best = NULL;
	double best_rank = 0;

	for (guint i = 0; i < fit->len; i++) {
		struct backend *b = fit->pdata[i];
		double ms =
			place_estimate_ms(b, r->stats->work.median_ms, now_ms);
		/* A tie-break that is small beside any real difference. */
		double rank =
			place_rank_ms(b, r->traffic->settings->dc, ms, now_ms) +
			g_rand_double(r->traffic->rand);

		if ((best && rank >= best_rank) || !takes(r, b, ms, now_ms))
			continue;
		best = b;
		best_rank = rank;
	}
	g_ptr_array_unref(fit);
	return best;
}

/* Places without asking for load. */
static void place_by_policy(struct request *r, int64_t now_ms)
{
	/* A connection that was quiet for long may be closed unseen. */
	int64_t since = r->route->idempotent ? 0 : now_ms;
	struct backend *b;
	struct upstream *u;

	ask_release(r);
	b = r->service->policy->probes_load ? pick_unreported(r, now_ms)
					    : pick_by_policy(r);
	u = b ? upstream_get(r->traffic, b, since) : NULL;
	if (!u) {
		request_wait(r, now_ms);
		return;
	}
	request_place_end(r);
	request_send(r, b, u);
}

/* A verdict came while it was being placed: it ends, or its copy isn't sent. */
static void place_barred(struct request *r)
{
	request_place_end(r);
	if (request_is_out(r))
		request_arm(r);
	else
		request_bar(r);
}

/*
 * request_place_decide() chooses as soon as it is clear enough, and else waits
 * for more answers; called whenever one has come or a time is over.
 */
void request_place_decide(struct request *r, int64_t now_ms)
{
	struct ask *best;

	if (r->placement == PLACE_NONE || r->wait_until_ms)
		return;
	if (request_is_barred(r)) {
		place_barred(r);
		return;
	}
	if (!r->service->policy->probes_load ||
	    !service_reports_load(r->service)) {
		place_by_policy(r, now_ms);
		return;
	}
	best = best_ask(r, now_ms);
	if (best && place_is_good_enough(best->backend, now_ms)) {
		take(r, best);
		return;
	}
	if (any_pending(r) && now_ms < r->round_ends_ms) {
		if (best && r->round_ends_ms > now_ms + PATIENCE_MS)
			r->round_ends_ms = now_ms + PATIENCE_MS;
		request_arm(r);
		return;
	}
	while (r->round < ROUNDS) {
		if (!ask_round(r, now_ms))
			continue;
		request_arm(r);
		return;
	}
	if (best)
		take(r, best);
	else
		request_wait(r, now_ms);
}

/* request_place_tick() goes on when the time of a round or wait is over. */
void request_place_tick(struct request *r, int64_t now_ms)
{
	if (r->wait_until_ms && now_ms >= r->wait_until_ms &&
	    !request_wait_yields(r, now_ms)) {
		r->wait_until_ms = 0;
		r->round_ends_ms = now_ms;
	}
	if (r->wait_until_ms)
		request_arm(r);
	else
		request_place_decide(r, now_ms);
}

/*
 * request_use_room() gives room that a server has just told of to the first
 * request that waits for some.
 */
void request_use_room(struct traffic *t, struct backend *b)
{
	struct service *s = b->service;
	int64_t now_ms = clock_ms();
	struct upstream *u;

	for (GList *l = s->waiting.head; l; l = l->next) {
		struct request *r = l->data;
		struct backend *avoid[REQUEST_ASKS_MAX + REQUEST_SENDS_MAX];
		unsigned n = avoided(r, avoid);
		bool used = false;

		for (unsigned i = 0; i < n; i++)
			used = used || avoid[i] == b;
		double ms =
			place_estimate_ms(b, r->stats->work.median_ms, now_ms);

		if (used || request_is_barred(r) || !takes(r, b, ms, now_ms))
			continue;
		u = upstream_get(t, b, 0);
		if (!u)
			return;
		request_place_end(r);
		request_send(r, b, u);
		return;
	}
}

/*
 * request_place() begins to look for a backend server. A request that was sent
 * before needs request_may_send_again() to have said so just now.
 */
void request_place(struct request *r, enum placement why)
{
	int64_t now_ms = clock_ms();

	ask_release(r);
	reserve(r);
	r->placement = why;
	r->round = 0;
	r->wait_until_ms = 0;
	r->waits = 0;
	r->placing_since_ms = now_ms;
	r->round_ends_ms = now_ms;
	if (why != PLACE_HEDGE && !request_is_barred(r) &&
	    request_wait_is_behind(r, now_ms))
		request_wait(r, now_ms);
	else
		request_place_decide(r, now_ms);
}
