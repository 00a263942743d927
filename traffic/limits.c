#include <math.h>

#include "common/event.h"
#include "misc/clock.h"
#include "traffic/limits.h"

enum {
	/* Timer interval while servers are limited. */
	TICK_MS = 500,
	/*
	 * If no instance has confirmed a limit for this long, the instances
	 * that hold a share of it announce it again, with a random delay so
	 * that most need not.
	 */
	RESEND_MS = 2000,
	RESEND_JITTER_MS = 1000,
	/*
	 * The end of a limit is repeated this often, at this interval: a peer
	 * that has just received a confirmation of the limit needs an update
	 * that is certainly newer.
	 */
	END_SENDS = 3,
	END_RESEND_MS = 1000,
	/* A new instance is informed at once, by some of the others. */
	NEW_PEER_JITTER_MS = 200,
	/*
	 * A datagram may have been in transit, or unread, for this long: its
	 * content is assumed to be older by that.
	 */
	DATAGRAM_DELAY_MAX_MS = 300,
	/*
	 * Per instance, so that the result of the first probe is known before
	 * the second is sent.
	 */
	PROBE_SPREAD_MS = 2000,
	PROBE_RETRY_MS = 30 * 1000, /* after a probe without a response */
};

/* Relative change of a limit that is reported at once. */
static const double MIN_REPORTED_CHANGE = 0.1;

static void log_change(const struct backend *b, enum limit_change change,
		       const struct limit_report *w, double before)
{
	const struct limit_quota *p = &b->state->limit->share.quota;

	mp_event(change == LIMIT_ENDED ? EV_LIMIT_ENDED : EV_LIMIT_STARTED,
		 G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s limit_per_s=%g before=%g by=%s "
		 "asked_ago_ms=%" G_GINT64_FORMAT
		 " heard_ago_ms=%" G_GINT64_FORMAT
		 " own_per_s=%.3f own_depth=%.2f",
		 b->entry.id, b->service->name,
		 b->state->limit->advertised.per_s, before,
		 limit_source_name(w->source), clock_ms() - w->sent_ms,
		 clock_ms() - w->received_ms, p->rate_s, p->depth);
}

/* Logs an invalid limit. It neither sets nor ends a limit. */
static void log_invalid(struct traffic *t, struct backend *b, struct lstr text)
{
	t->counters.limits_bad++;
	if (b->state->limit_invalid)
		return;
	b->state->limit_invalid = true;
	mp_event(EV_LIMIT_INVALID, G_LOG_LEVEL_WARNING,
		 "backend=%s service=%s limit=%.*s; what was known stays in "
		 "force",
		 b->entry.id, b->service->name, (int)MIN(text.len, 64),
		 text.ptr);
}

/* Returns the instances that share servers' limits. */
struct limit_instances limits_participants(const struct traffic *t)
{
	const GArray *known = t->peers.participants;

	if (!known)
		return (struct limit_instances){.n = 0};
	return (struct limit_instances){
		(const struct limit_instance *)(void *)known->data, known->len};
}

/* Recomputes this instance's share of b's limit. */
static void update_share(struct traffic *t, struct backend *b)
{
	struct limit_instances participants = limits_participants(t);
	struct limit_quota part = limit_quota(&limit_rule_announced,
					      b->state->limit->advertised.per_s,
					      b->start_hash, &participants);

	limit_share_set_quota(&b->state->limit->share, &part, clock_ms());
}

/* Makes the timer fire in at most `ms`. */
static void start_timer(struct traffic *t, int ms)
{
	if (ev_is_active(&t->limits_timer) &&
	    ev_timer_remaining(t->loop, &t->limits_timer) * 1000 <= ms)
		return;
	ev_timer_stop(t->loop, &t->limits_timer);
	ev_timer_set(&t->limits_timer, ms / 1000.0, 0);
	ev_timer_start(t->loop, &t->limits_timer);
}

/*
 * Returns whether a change is large enough to be reported: a server may
 * recompute its limit for each response.
 */
static bool is_reportable(const struct backend_limit *l,
			  enum limit_change change)
{
	double step = fabs(l->advertised.per_s - l->published_per_s);

	if (change == LIMIT_CHANGED)
		return step > MIN_REPORTED_CHANGE * l->published_per_s;
	return change != LIMIT_UNCHANGED;
}

/*
 * Applies a report of a server, received directly or through a peer. Returns
 * whether it must be sent to the peers.
 */
static bool apply_update(struct traffic *t, struct backend *b,
			 const struct limit_report *w)
{
	int64_t now_ms = clock_ms();
	double before = b->state->limit ? b->state->limit->advertised.per_s : 0;
	enum limit_change change;

	if (!b->state->limit && !w->limited)
		return false;
	if (!b->state->limit) {
		b->state->limit = g_new0(struct backend_limit, 1);
		limit_share_init(&b->state->limit->share,
				 b->state->seen_unlimited, now_ms);
	}
	change = server_limit_update(&b->state->limit->advertised, w, now_ms);
	if (change == LIMIT_UNCHANGED)
		return false;
	update_share(t, b);
	start_timer(t, TICK_MS);
	if (!is_reportable(b->state->limit, change))
		return false;
	b->state->limit->published_per_s = b->state->limit->advertised.per_s;
	log_change(b, change, w, before);
	return true;
}

/* Passes an update to the control thread, which sends it to the peers. */
static void send_updates(struct traffic *t, const struct limit_gossip *update)
{
	struct limit_gossip *copy = g_memdup2(update, sizeof(*update));

	/* If the queue is full it is lost, as a datagram may be. */
	if (mailbox_send(t->control_inbox, FROM_TRAFFIC_LIMITS, copy))
		g_free(copy);
}

/* Returns the age of a time, limited to what fits a datagram's field. */
static uint32_t age_ms(int64_t at_ms, int64_t now_ms)
{
	int64_t age = now_ms - at_ms;

	return age < 0 ? 0 : age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

/*
 * Called when b's limit was announced: if no peer repeats it, this instance
 * does after a while.
 */
static void schedule_resend(struct traffic *t, struct backend *b,
			    int64_t now_ms)
{
	int spread = g_rand_int_range(t->rand, 0, RESEND_JITTER_MS);

	b->state->limit->next_publish_ms = now_ms + RESEND_MS + spread;
}

/* Appends the state of b's limit. */
static void add_item(struct limit_gossip *update, const struct backend *b,
		     int64_t now_ms)
{
	const struct server_limit *l = &b->state->limit->advertised;

	update->items[update->n++] = (struct limit_gossip_item){
		.backend = b->start_hash,
		.limited = l->limited,
		.per_s = l->per_s,
		.sent_ago_ms = age_ms(l->sent_ms, now_ms),
		.received_ago_ms = age_ms(l->received_ms, now_ms),
	};
}

/*
 * Applies the limit that a response of b announces; its request was sent at
 * request_sent_ms. Changes are sent to the peers at once.
 */
void limits_response(struct traffic *t, struct backend *b,
		     const struct response_info *info, int64_t request_sent_ms,
		     enum limit_source source)
{
	struct limit_gossip update = {.n = 0};
	struct limit_report w = {
		.limited = info->limit == LIMIT_SET,
		.per_s = info->limit_per_s,
		.sent_ms = request_sent_ms,
		.received_ms = clock_ms(),
		.source = source,
	};

	if (info->limit == LIMIT_INVALID) {
		log_invalid(t, b, info->limit_text);
		return;
	}
	b->state->limit_invalid = false;
	b->state->seen_unlimited = b->state->seen_unlimited ||
				   (!w.limited && source == LIMIT_BY_RESPONSE);
	if (!apply_update(t, b, &w))
		return;
	schedule_resend(t, b, w.received_ms);
	if (!b->state->limit->advertised.limited) {
		b->state->limit->end_publishes_left = END_SENDS;
		b->state->limit->next_publish_ms =
			w.received_ms + END_RESEND_MS;
	}
	add_item(&update, b, w.received_ms);
	send_updates(t, &update);
}

/* Returns the backend server with this start hash, or NULL. */
struct backend *limits_find(struct traffic *t, uint32_t start)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (b->start_hash == start)
			return b;
	}
	return NULL;
}

/* Applies a peer's update on the limits of servers. */
void limits_peer_update(struct traffic *t, const struct limit_gossip *update)
{
	int64_t now_ms = clock_ms();

	for (unsigned i = 0; i < update->n; i++) {
		const struct limit_gossip_item *it = &update->items[i];
		struct backend *b = limits_find(t, it->backend);
		struct limit_report w = {
			.limited = it->limited,
			.per_s = it->per_s,
			.sent_ms = now_ms - it->sent_ago_ms -
				   DATAGRAM_DELAY_MAX_MS,
			.received_ms = now_ms - it->received_ago_ms,
			.source = LIMIT_BY_PEER,
		};

		if (!b)
			continue;
		(void)apply_update(t, b, &w);
		if (b->state->limit && backend_is_limited(b))
			schedule_resend(t, b, now_ms);
	}
}

/*
 * Returns whether this instance receives heartbeats of most others. If not,
 * they can't confirm a limit to it, so their silence doesn't mean that it has
 * ended.
 */
static bool reaches_majority(const struct traffic *t)
{
	const GArray *known = t->peers.participants;
	guint reachable = 0;

	for (guint i = 0; known && i < known->len; i++)
		reachable += g_array_index(known, struct limit_instance, i)
				     .reachable;
	return known && 2 * reachable > known->len;
}

/*
 * Plans a probe: if no instance has had a response of b for long, one of those
 * that hold no share of its limit sends it a request to learn whether the limit
 * is still in force. A random delay decides which one, and the others learn the
 * result from it.
 */
static void plan_probe(struct traffic *t, struct backend *b, int64_t now_ms)
{
	struct backend_limit *l = b->state->limit;

	if (l->share.quota.held || !reaches_majority(t) ||
	    !server_limit_is_stale(&l->advertised, now_ms)) {
		l->probe_allowed = false;
		l->next_probe_ms = 0;
		return;
	}
	if (l->next_probe_ms == 0)
		l->next_probe_ms =
			now_ms +
			g_rand_int_range(
				t->rand, 0,
				PROBE_SPREAD_MS *
					(int)t->peers.participants->len);
	if (now_ms < l->next_probe_ms)
		return;
	l->next_probe_ms = now_ms + PROBE_RETRY_MS;
	l->probe_allowed = true;
}

/* Returns whether this instance must announce the state of b's limit again. */
static bool is_due(const struct backend *b, int64_t now_ms)
{
	bool concerned = backend_is_limited(b)
				 ? b->state->limit->share.quota.held
				 : b->state->limit->end_publishes_left > 0;

	return concerned && now_ms >= b->state->limit->next_publish_ms;
}

/* Schedules the next announcement of b's limit, which is being sent now. */
static void schedule_next(struct traffic *t, struct backend *b, int64_t now_ms)
{
	if (backend_is_limited(b)) {
		schedule_resend(t, b, now_ms);
		return;
	}
	b->state->limit->end_publishes_left--;
	b->state->limit->next_publish_ms = now_ms + END_RESEND_MS;
}

/* Announces the limits and ends that are due, and plans probes. */
static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	int64_t now_ms = clock_ms();
	struct limit_gossip update = {.n = 0};
	bool any = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (!b->state->limit || (!backend_is_limited(b) &&
					 !b->state->limit->end_publishes_left))
			continue;
		any = true;
		plan_probe(t, b, now_ms);
		if (update.n == LIMIT_GOSSIP_MAX || !is_due(b, now_ms))
			continue;
		schedule_next(t, b, now_ms);
		add_item(&update, b, now_ms);
	}
	if (update.n)
		send_updates(t, &update);
	if (any)
		start_timer(t, TICK_MS);
}

/*
 * Recomputes this instance's shares. New peers do not know the limits yet, so
 * those are due to be announced.
 */
void limits_peers_changed(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (!backend_is_limited(b))
			continue;
		update_share(t, b);
		b->state->limit->next_publish_ms = 0;
		start_timer(t,
			    g_rand_int_range(t->rand, 0, NEW_PEER_JITTER_MS));
	}
}

/*
 * Called when a server's entry was added. A server that was off the list has
 * kept its limit, but the set of instances that share it may have changed.
 */
void limits_listed(struct traffic *t, struct backend *b)
{
	if (!backend_is_limited(b))
		return;
	update_share(t, b);
	start_timer(t, TICK_MS);
}

/* Initializes the timer. */
void limits_init(struct traffic *t)
{
	ev_init(&t->limits_timer, on_tick);
	t->limits_timer.data = t;
}
