#include "common/event.h"
#include "core/availability.h"
#include "misc/clock.h"
#include "traffic/limit_sends.h"
#include "traffic/limits.h"

/*
 * An instance whose own requests missed room so lately gives nothing up: they go
 * first, and where all are short what goes round helps nobody.
 */
enum { SHORT_MS = 1000 };

/* Whose send it is: this lifetime's own, a peer's, or the one that looks. */
static enum limit_payer pay(struct backend_limit *l, int64_t now_ms)
{
	if (limit_share_allows(&l->share, now_ms)) {
		limit_share_take(&l->share, now_ms);
		return LIMIT_PAYS_OWN;
	}
	/* A grant that ran out just now counted when the server was chosen. */
	if (l->granted_ms) {
		l->granted_ms = 0;
		return LIMIT_PAYS_PEER;
	}
	mp_invariant(l->looks, "a send that no part of the limit pays for");
	l->looks = false;
	return LIMIT_PAYS_LOOK;
}

/* Why a server gets the request, as the rules on limits see it. */
static const char *cause_name(const struct send *s)
{
	return s->extra ? extra_cause_name(s->cause) : "first";
}

/*
 * These lines are never held back: added up over all instances they are what the
 * server gets.
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
		 s->backend->service->name, l->said.per_s, cause_name(s),
		 payers[s->payer], s->sent_ms - l->said.since_ms, t->lifetime,
		 s->sent_ms - t->started_ms,
		 t->peers.sharers ? t->peers.sharers->len : 0,
		 l->share.part.rate_s, l->share.tokens, l->share.out);
}

/*
 * limit_sends_take() takes a send from its server's limit, before it leaves.
 * Whatever its cause, it costs the server the same.
 */
void limit_sends_take(struct send *s)
{
	struct backend *b = s->backend;

	s->payer = LIMIT_PAYS_NONE;
	if (!backend_is_limited(b))
		return;
	s->payer = pay(b->state->limit, s->sent_ms);
	log_send(s);
}

/* limit_sends_ended() says that a send can't reach its server any more. */
void limit_sends_ended(struct send *s, int64_t now_ms)
{
	if (s->payer == LIMIT_PAYS_OWN)
		limit_share_end(&s->backend->state->limit->share, now_ms);
	s->payer = LIMIT_PAYS_NONE;
}

static void call_peers(struct traffic *t, const struct limit_call *call)
{
	struct limit_call *copy = g_memdup2(call, sizeof(*call));

	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_LIMIT_CALL, copy))
		g_free(copy);
}

/*
 * limit_sends_want() asks peers for a send to a server of s, if it is time, and
 * tells until when the last question may bring one.
 */
int64_t limit_sends_want(struct traffic *t, struct service *s, int64_t now_ms)
{
	struct limit_want *w = &s->want;
	struct limit_call call = {.to = w->giver, .what = g_str_hash(s->name)};

	if (limit_want_is_due(w, now_ms)) {
		call.serial = limit_want_ask(w, now_ms);
		call_peers(t, &call);
	}
	return limit_want_until_ms(w);
}

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

/* The server of which this instance holds most that it may send at once. */
static struct backend *most_to_give(const struct service *s, int64_t now_ms)
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
 * Gives one send up for a peer. It is taken, and ended, before it is told: the
 * peer's request arrives within some 0.4 s, for which the rule has room, or never.
 */
static void give(struct traffic *t, const struct limit_call *question)
{
	int64_t now_ms = clock_ms();
	struct service *s = find_service(t, question->what);
	struct limit_call grant = {.grant = true,
				   .to = question->from,
				   .serial = question->serial};
	struct backend *b;

	if (!s || s->waiting.length ||
	    (s->pressed_ms && now_ms - s->pressed_ms < SHORT_MS))
		return;
	b = most_to_give(s, now_ms);
	if (!b)
		return;
	limit_share_take(&b->state->limit->share, now_ms);
	limit_share_end(&b->state->limit->share, now_ms);
	t->counters.limits_given++;
	mp_event(EV_LIMIT_GRANTED, G_LOG_LEVEL_INFO,
		 "backend=%s service=%s peer_id=%08x left=%.2f", b->entry.id,
		 s->name, question->from, b->state->limit->share.tokens);
	grant.what = b->start;
	call_peers(t, &grant);
}

/* A peer has given a send up for this instance. */
static void take_grant(struct traffic *t, const struct limit_call *grant)
{
	struct backend *b = limits_find(t, grant->what);
	int64_t now_ms = clock_ms();

	if (!b || !backend_is_limited(b) ||
	    !limit_want_takes(&b->service->want, grant->serial, grant->from,
			      now_ms))
		return;
	t->counters.limits_granted++;
	b->state->limit->granted_ms = limit_grant_until_ms(now_ms);
	request_use_room(t, b);
}

/* limit_sends_called() takes in what a peer asks for, or grants. */
void limit_sends_called(struct traffic *t, const struct limit_call *call)
{
	if (call->grant)
		take_grant(t, call);
	else
		give(t, call);
}
