#include "common/event.h"
#include "control/control.h"
#include "misc/clock.h"
#include "traffic/limits.h"
#include "traffic/quota_holder.h"
#include "traffic/quotas.h"
#include "traffic/request.h"

enum {
	/*
	 * Without an answer for this long another holder is asked. The path
	 * there and back takes a few ms, but longer while a large body is
	 * on the link of either.
	 */
	ANSWER_MS = 15,
	/* No further holder is asked after this. */
	ASKING_MAX_MS = 60,
	/* If none of them has answered, one still may. */
	ANSWERS_MAX_MS = 150,
	/* A holder that didn't answer isn't asked for this long. */
	SILENT_MS = 300,
	/* Nor one that isn't a holder in its own view. */
	NOT_HELD_MS = 1000,
	/*
	 * A timer this late means that this instance stood still: the answer
	 * may be there.
	 */
	STALLED_MS = 10,
	/* Range of the time after which callers that reached none return. */
	UNREACHABLE_RETURN_MIN_MS = 150,
	UNREACHABLE_RETURN_MAX_MS = 400,
	/* Part added at random to turns, so that callers spread. */
	TURN_SPREAD_MS = 50,
};

/* Sends a message about the request's claim to a holder. */
static void send_to_holder(struct traffic *t, const struct quota_claim *c,
			   uint32_t holder, uint32_t stamp, enum quota_op op)
{
	quota_holder_send(t, FROM_TRAFFIC_QUOTA_ASK,
			  &(struct quota_message){
				  .to = holder,
				  .op = op,
				  .workspace = c->workspace,
				  .serial = c->serial,
				  .stamp = stamp,
			  });
}

/* Ends an ask, answered or not. */
static void end_ask(struct request *r)
{
	struct quota_claim *c = &r->quota;

	if (c->state != QUOTA_ASKING)
		return;
	ev_timer_stop(r->traffic->loop, &c->timer);
	g_hash_table_remove(r->traffic->quotas.asking,
			    GUINT_TO_POINTER(c->serial));
	c->state = QUOTA_NONE;
}

static void grant(struct request *r, struct quota_use *u, uint32_t holder,
		  uint32_t stamp)
{
	struct quota_claim *c = &r->quota;

	end_ask(r);
	c->state = QUOTA_HELD;
	c->holder = holder;
	c->stamp = stamp;
	c->granted_ms = clock_boot_ms();
	u->granted++;
}

/* Notes that a holder has refused. */
static void note_empty(struct request *r, struct quota_holder *h,
		       uint32_t wait_ms, uint32_t turn_ms, int64_t now_ms)
{
	struct quota_claim *c = &r->quota;

	c->refused++;
	if (c->refused == 1 || turn_ms < c->soonest_ms)
		c->soonest_ms = turn_ms;
	if (h)
		h->empty_until_ms = now_ms + wait_ms;
}

/* Tries this instance's own part. */
static bool take_own(struct request *r, struct quota_use *u,
		     struct quota_holder *h, int64_t now_ms)
{
	uint32_t stamp = 0;

	if (!u->bucket.held) {
		h->empty_until_ms = now_ms + NOT_HELD_MS;
		return false;
	}
	if (quota_bucket_grant(&u->bucket, r->quota.late, now_ms, &stamp)) {
		grant(r, u, h->id, stamp);
		return true;
	}
	note_empty(r, h, quota_bucket_wait_ms(&u->bucket, now_ms),
		   quota_bucket_turn_ms(&u->bucket, now_ms), now_ms);
	return false;
}

static void start_timer(struct request *r, int64_t ms)
{
	struct quota_claim *c = &r->quota;

	ev_timer_stop(r->traffic->loop, &c->timer);
	ev_timer_set(&c->timer, (double)ms / 1000, 0);
	ev_timer_start(r->traffic->loop, &c->timer);
}

/* From now on answers belong to the request. */
static void begin_asking(struct request *r)
{
	struct quotas *q = &r->traffic->quotas;

	r->quota.state = QUOTA_ASKING;
	r->quota.serial = ++q->serial;
	g_hash_table_insert(q->asking, GUINT_TO_POINTER(r->quota.serial), r);
}

/* Asks another instance. */
static void ask(struct request *r, const struct quota_holder *h, int64_t now_ms)
{
	struct traffic *t = r->traffic;
	struct quota_claim *c = &r->quota;

	if (c->state != QUOTA_ASKING)
		begin_asking(r);
	c->holder = h->id;
	c->asked_ms = now_ms;
	t->counters.quota_asks++;
	send_to_holder(t, c, h->id, 0, c->late ? QUOTA_ASK_LATE : QUOTA_ASK);
	start_timer(r, ANSWER_MS);
}

/* Goes on with the next holder; returns what is known then. */
static enum quota_result next_holder(struct request *r, struct quota_use *u)
{
	struct traffic *t = r->traffic;
	struct quota_claim *c = &r->quota;
	int64_t now_ms = clock_ms();

	while (now_ms - c->began_ms < ASKING_MAX_MS) {
		struct quota_holder *h = quota_holders_pick(
			&u->holders, &c->asked, now_ms, g_rand_int(t->rand));

		if (!h)
			break;
		c->asked.ids[c->asked.n++] = h->id;
		if (h->id != u->holders.self) {
			ask(r, h, now_ms);
			return QUOTA_PENDING;
		}
		if (take_own(r, u, h, now_ms))
			return QUOTA_GRANTED;
	}
	if (c->state == QUOTA_ASKING && !c->refused && !c->last_wait) {
		c->last_wait = true;
		start_timer(r, c->began_ms + ANSWERS_MAX_MS - now_ms);
		return QUOTA_PENDING;
	}
	end_ask(r);
	return QUOTA_REFUSED;
}

/*
 * Returns the ms after which a refused caller may come back. Holders name turns
 * to requests that asked them; those that are refused without an ask follow
 * one after the other.
 */
static int64_t turn_ms(struct request *r, struct quota_use *u)
{
	int64_t now_ms = clock_ms();
	int64_t empty_ms = quota_holders_empty_ms(&u->holders, now_ms);

	if (r->quota.refused)
		u->turn_ms = now_ms + r->quota.soonest_ms;
	else
		u->turn_ms += (int64_t)(1000 / u->terms.rate_s) + 1;
	if (u->turn_ms < now_ms + empty_ms)
		u->turn_ms = now_ms + empty_ms;
	if (u->turn_ms > now_ms + QUOTA_TURN_MAX_MS)
		u->turn_ms = now_ms + QUOTA_TURN_MAX_MS;
	return u->turn_ms - now_ms +
	       g_rand_int_range(r->traffic->rand, 0, TURN_SPREAD_MS);
}

static void log_refused(const struct request *r, const struct quota_use *u,
			const char *why, int64_t retry_ms)
{
	const struct quota_claim *c = &r->quota;

	if (r->log_deferred) {
		mp_log_add_suppressed(1);
		return;
	}
	mp_event(EV_QUOTA_REFUSED, G_LOG_LEVEL_INFO,
		 "id=%.*s workspace=%s per_s=%g burst=%g why=%s holders=%u "
		 "asked=%u refused=%u held=%d tokens=%.2f ms=%" G_GINT64_FORMAT
		 " retry_after_ms=%" G_GINT64_FORMAT,
		 (int)r->call.id.len, r->call.id.ptr, u->name, u->terms.rate_s,
		 u->terms.burst, why, u->holders.n, c->asked.n, c->refused,
		 u->bucket.held, u->bucket.tokens, clock_ms() - c->began_ms,
		 retry_ms);
}

/* Ends a request that no holder granted. */
static void refuse(struct request *r, struct quota_use *u)
{
	struct traffic *t = r->traffic;
	bool empty = r->quota.refused ||
		     quota_holders_empty_ms(&u->holders, clock_ms()) >= 0;
	const char *why = empty ? "quota" : "no quota holder";
	int64_t retry_ms;

	if (empty) {
		retry_ms = turn_ms(r, u);
		u->refused++;
		quota_holders_refused(&u->holders, clock_ms());
		t->counters.quota_refused++;
	} else {
		retry_ms = g_rand_int_range(t->rand, UNREACHABLE_RETURN_MIN_MS,
					    UNREACHABLE_RETURN_MAX_MS);
		u->unreachable++;
		t->counters.quota_unreachable++;
	}
	log_refused(r, u, why, retry_ms);
	request_refuse_quota(r, empty ? 429 : 503, (double)retry_ms / 1000);
}

/*
 * Goes on with a granted request: selects a server, or ends the wait of the
 * selection that needed a newer grant.
 */
static void resume(struct request *r)
{
	int64_t now_ms = clock_ms();

	if (r->select_reason == SELECT_NONE) {
		request_select(r, SELECT_FIRST);
	} else if (now_ms >= r->deadline_ms) {
		request_arm_timer(r);
	} else {
		if (r->wait_until_ms)
			r->round_end_ms = now_ms;
		r->wait_until_ms = 0;
		request_select_step(r, now_ms);
	}
}

/* Goes on after an answer, or without one. */
static void proceed(struct request *r, struct quota_use *u)
{
	if (!u || u->terms.rate_s <= 0) {
		/* There is no quota any more. */
		end_ask(r);
		resume(r);
		return;
	}
	switch (next_holder(r, u)) {
	case QUOTA_GRANTED:
		resume(r);
		break;
	case QUOTA_REFUSED:
		refuse(r, u);
		break;
	case QUOTA_PENDING:
		break;
	}
}

/* Called when the holder that was asked last hasn't answered. */
static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct request *r = timer->data;
	struct quota_claim *c = &r->quota;
	struct quota_use *u = quota_use_find(r->traffic, c->workspace);
	int64_t now_ms = clock_ms();
	struct quota_holder *h;

	if (!u) {
		proceed(r, NULL);
		return;
	}
	if (!c->last_wait && !c->stalled &&
	    now_ms - c->asked_ms > ANSWER_MS + STALLED_MS) {
		c->stalled = true;
		start_timer(r, ANSWER_MS);
		return;
	}
	h = quota_holders_find(&u->holders, c->holder);
	if (h && !c->last_wait)
		h->silent_until_ms = now_ms + SILENT_MS;
	r->traffic->counters.quota_timeouts++;
	proceed(r, u);
}

/* Refuses the request from the event loop, as its caller goes on with it. */
static void refuse_soon(struct request *r)
{
	struct quota_claim *c = &r->quota;

	begin_asking(r);
	c->asked.n = QUOTA_ASKS_MAX;
	c->last_wait = true;
	start_timer(r, 0);
}

/* Begins to ask for a grant. */
static void begin(struct request *r, uint32_t workspace)
{
	struct quota_claim *c = &r->quota;
	int64_t now_ms = clock_ms();
	struct admit_request view = request_admission_view(r, now_ms);

	*c = (struct quota_claim){.workspace = workspace,
				  .late = !admit_can_be_on_time(&view),
				  .began_ms = now_ms};
	ev_init(&c->timer, on_timer);
	c->timer.data = r;
}

/*
 * Asks for a grant of the request. If the result isn't known at once, the
 * request goes on with request_select(), or is refused, later. A refused
 * request has been freed.
 */
enum quota_result quotas_acquire(struct request *r)
{
	struct traffic *t = r->traffic;
	const struct workspace *w = r->workspace;
	struct quota_use *u =
		w && w->rate_s > 0 ? quota_use_find(t, w->id) : NULL;
	enum quota_result result;

	if (!u || u->terms.rate_s <= 0)
		return QUOTA_GRANTED;
	begin(r, w->id);
	result = next_holder(r, u);
	if (result == QUOTA_REFUSED)
		refuse(r, u);
	return result;
}

/* Gives back the grant of a request that never ran. */
static void give_back(struct request *r)
{
	struct traffic *t = r->traffic;
	struct quota_claim *c = &r->quota;
	const struct quota_use *own = quota_use_find(t, c->workspace);

	c->state = QUOTA_NONE;
	t->counters.quota_given_back++;
	if (!own || c->holder != own->holders.self)
		send_to_holder(t, c, c->holder, c->stamp, QUOTA_GIVE_BACK);
	else if (own->bucket.held)
		quota_bucket_give_back(&quota_use_find(t, c->workspace)->bucket,
				       c->stamp, clock_ms());
}

/*
 * Returns whether the request may be sent now as far as its quota is concerned.
 * An old grant is given back, as its tokens would count in a later window, and
 * a new one asked for; the selection goes on when it has come.
 */
bool quotas_allow_send(struct request *r)
{
	struct quota_claim *c = &r->quota;
	struct quota_use *u;

	if (r->maybe_executed || c->state == QUOTA_NONE)
		return true;
	if (c->state == QUOTA_ASKING)
		return false;
	if (clock_boot_ms() - c->granted_ms <= QUOTA_GRANT_MS)
		return true;
	u = quota_use_find(r->traffic, c->workspace);
	give_back(r);
	r->traffic->counters.quota_renewals++;
	if (!u || u->terms.rate_s <= 0)
		return true;
	begin(r, u->id);
	if (next_holder(r, u) == QUOTA_REFUSED)
		refuse_soon(r);
	return c->state == QUOTA_HELD;
}

/*
 * Ends the request's claim. A grant is given back if the request never ran.
 */
void quotas_release(struct request *r)
{
	end_ask(r);
	if (r->quota.state == QUOTA_HELD && !r->maybe_executed)
		give_back(r);
}

/* Gives back a grant that came too late. */
static void give_back_late(struct traffic *t, const struct quota_message *m)
{
	t->counters.quota_given_back++;
	quota_holder_send(t, FROM_TRAFFIC_QUOTA_ASK,
			  &(struct quota_message){
				  .to = m->from,
				  .op = QUOTA_GIVE_BACK,
				  .workspace = m->workspace,
				  .serial = m->serial,
				  .stamp = m->stamp,
			  });
}

/* Handles the answer of a holder. */
static void on_answer(struct traffic *t, const struct quota_message *m)
{
	struct request *r = g_hash_table_lookup(t->quotas.asking,
						GUINT_TO_POINTER(m->serial));
	struct quota_use *u = quota_use_find(t, m->workspace);
	int64_t now_ms = clock_ms();
	struct quota_holder *h;

	if (!u || (r && r->quota.workspace != m->workspace))
		r = NULL;
	h = u ? quota_holders_find(&u->holders, m->from) : NULL;
	if (h)
		h->silent_until_ms = 0;
	if (h && m->op == QUOTA_NOT_HELD)
		h->empty_until_ms = 0,
		h->silent_until_ms = now_ms + NOT_HELD_MS;
	if (m->op == QUOTA_GRANT && r) {
		grant(r, u, m->from, m->stamp);
		resume(r);
		return;
	}
	if (m->op == QUOTA_GRANT) {
		give_back_late(t, m);
		return;
	}
	if (!r)
		return;
	if (m->op == QUOTA_EMPTY)
		note_empty(r, h, m->wait_ms, m->turn_ms, now_ms);
	/* An earlier one's answer doesn't end the wait for the last one. */
	if (r->quota.holder == m->from || r->quota.last_wait)
		proceed(r, u);
}

/* Handles a message of a peer on a quota. */
void quotas_peer_message(struct traffic *t, const struct quota_message *m)
{
	switch ((enum quota_op)m->op) {
	case QUOTA_ASK:
	case QUOTA_ASK_LATE:
	case QUOTA_GIVE_BACK:
		quota_holder_receive(t, m);
		break;
	case QUOTA_GRANT:
	case QUOTA_EMPTY:
	case QUOTA_NOT_HELD:
		on_answer(t, m);
		break;
	}
}
