#include "common/event.h"
#include "core/availability.h"
#include "misc/clock.h"
#include "traffic/limit_sends.h"
#include "traffic/limits.h"

/*
 * An instance that ran short for its own requests this recently gives up
 * nothing: they have priority, and while all are short, passing sends around
 * helps nobody.
 */
enum { SHORTAGE_MS = 1000 };

/*
 * Determines what covers a send: this instance's share, a peer's grant, or the
 * permission to probe whether the limit still stands.
 */
static enum limit_charge choose_payer(struct backend_limit *l, int64_t now_ms)
{
	if (limit_share_allows(&l->share, now_ms)) {
		limit_share_take(&l->share, now_ms);
		return LIMIT_CHARGE_OWN;
	}
	/*
	 * A grant that has just expired was still valid when the server was
	 * chosen.
	 */
	if (l->borrowed_until_ms) {
		l->borrowed_until_ms = 0;
		return LIMIT_CHARGE_PEER;
	}
	mp_invariant(l->probe_allowed,
		     "a send that neither a share, a grant nor a probe covers");
	l->probe_allowed = false;
	return LIMIT_CHARGE_PROBE;
}

/* Why the server gets the request, as logged. */
static const char *cause_name(const struct send *s)
{
	return s->extra ? extra_cause_name(s->cause) : "first";
}

/*
 * These lines are never suppressed: summed over all instances they are all that
 * the server gets.
 */
static void log_send(const struct send *s)
{
	static const char *const payers[] = {"-", "own", "peer", "look"};
	const struct request *r = s->request;
	const struct backend_limit *l = s->backend->state->limit;
	const struct traffic *t = r->traffic;

	mp_event(EV_LIMIT_CHARGED, G_LOG_LEVEL_INFO,
		 "id=%.*s backend=%s service=%s limit_per_s=%g cause=%s "
		 "from=%s known_ms=%" G_GINT64_FORMAT " lifetime=%08x "
		 "age_ms=%" G_GINT64_FORMAT " sharers=%u own_per_s=%.3f "
		 "left=%.2f out=%u",
		 (int)r->call.id.len, r->call.id.ptr, s->backend->entry.id,
		 s->backend->service->name, l->advertised.per_s, cause_name(s),
		 payers[s->payer], s->sent_ms - l->advertised.since_ms,
		 t->lifetime, s->sent_ms - t->started_ms,
		 t->peers.participants ? t->peers.participants->len : 0,
		 l->share.quota.rate_s, l->share.tokens, l->share.in_flight);
}

/* Charges a send that is about to leave against its server's limit. */
void limit_sends_charge(struct send *s)
{
	struct backend *b = s->backend;

	s->payer = LIMIT_CHARGE_NONE;
	if (!backend_is_limited(b))
		return;
	s->payer = choose_payer(b->state->limit, s->sent_ms);
	log_send(s);
}

/* Called when a send can no longer reach its server. */
void limit_sends_finish(struct send *s, int64_t now_ms)
{
	if (s->payer == LIMIT_CHARGE_OWN)
		limit_share_send_done(&s->backend->state->limit->share, now_ms);
	s->payer = LIMIT_CHARGE_NONE;
}

/* Passes a request or a grant to the control thread, which sends it. */
static void send_to_peers(struct traffic *t,
			  const struct limit_borrow_msg *call)
{
	struct limit_borrow_msg *copy = g_memdup2(call, sizeof(*call));

	/* If the queue is full it is lost, as a datagram may be. */
	if (mailbox_send(t->control_inbox, FROM_TRAFFIC_LIMIT_CALL, copy))
		g_free(copy);
}

/*
 * Requests a send to a server of s from peers if a request is due. Returns
 * until when the last request may still yield a grant.
 */
int64_t limit_sends_request_grant(struct traffic *t, struct service *s,
				  int64_t now_ms)
{
	struct limit_borrow *w = &s->borrow;
	struct limit_borrow_msg call = {.to = w->lender,
					.resource = g_str_hash(s->name)};

	if (limit_borrow_is_due(w, now_ms)) {
		call.serial = limit_borrow_request(w, now_ms);
		send_to_peers(t, &call);
	}
	return limit_borrow_deadline_ms(w);
}

/* Finds a service by the hash of its name, or returns NULL. */
static struct service *find_service(struct traffic *t, uint32_t hash)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct service *s = v;

		if (g_str_hash(s->name) == hash)
			return s;
	}
	return NULL;
}

/*
 * Returns the server for which this instance holds the most sends that it may
 * use at once, or NULL.
 */
static struct backend *find_surplus(const struct service *s, int64_t now_ms)
{
	struct backend *best = NULL;

	for (guint i = 0; i < s->backends->len; i++) {
		struct backend *b = g_ptr_array_index(s->backends, i);

		if (!backend_is_limited(b) || backend_is_draining(b) ||
		    !limit_share_allows(&b->state->limit->share, now_ms))
			continue;
		if (!best || b->state->limit->share.tokens >
				     best->state->limit->share.tokens)
			best = b;
	}
	return best;
}

/*
 * Gives up one send for a peer. It is charged and ended here before the grant
 * is sent, so that the two never both use it. The peer's request arrives within
 * about 0.4 s, which the slack of the limit rule covers, or never.
 */
static void give_up_send(struct traffic *t,
			 const struct limit_borrow_msg *request)
{
	int64_t now_ms = clock_ms();
	struct service *s = find_service(t, request->resource);
	struct limit_borrow_msg grant = {
		.grant = true, .to = request->from, .serial = request->serial};
	struct backend *b;

	if (!s || s->waiting.length ||
	    (s->capacity_missed_ms &&
	     now_ms - s->capacity_missed_ms < SHORTAGE_MS))
		return;
	b = find_surplus(s, now_ms);
	if (!b)
		return;
	limit_share_take(&b->state->limit->share, now_ms);
	limit_share_send_done(&b->state->limit->share, now_ms);
	t->counters.limits_given++;
	mp_event(EV_LIMIT_GRANTED, G_LOG_LEVEL_INFO,
		 "backend=%s service=%s peer_id=%08x left=%.2f", b->entry.id,
		 s->name, request->from, b->state->limit->share.tokens);
	grant.resource = b->start_hash;
	send_to_peers(t, &grant);
}

/* Applies a grant from a peer. */
static void apply_grant(struct traffic *t, const struct limit_borrow_msg *grant)
{
	struct backend *b = limits_find(t, grant->resource);
	int64_t now_ms = clock_ms();

	if (!b || !backend_is_limited(b) ||
	    !limit_borrow_accept(&b->service->borrow, grant->serial,
				 grant->from, now_ms))
		return;
	t->counters.limits_granted++;
	b->state->limit->borrowed_until_ms = limit_grant_expiry_ms(now_ms);
	request_offer_capacity(t, b);
}

/* Handles a peer's request for a send, or its grant. */
void limit_sends_peer_message(struct traffic *t,
			      const struct limit_borrow_msg *call)
{
	if (call->grant)
		apply_grant(t, call);
	else
		give_up_send(t, call);
}
