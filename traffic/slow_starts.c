#include "common/event.h"
#include "misc/clock.h"
#include "traffic/limits.h"
#include "traffic/slow_starts.h"

/* Length of the windows in which the requests to a cold server are bounded. */
enum { BOUND_WINDOW_MS = 1000 };

static const char *phase_name(enum slow_start_phase phase)
{
	static const char *const names[] = {"warm", "cold", "unknown"};

	return names[phase];
}

/* Recomputes this instance's share of what b takes while it is cold. */
static void update_quota(struct traffic *t, struct backend *b, int64_t now_ms)
{
	const struct slow_start_bound *bound = &b->service->slow_start;
	struct limit_instances participants = limits_participants(t);
	struct limit_quota quota = limit_quota(&bound->rule, bound->per_s,
					       b->start_hash, &participants);

	limit_share_set_quota(&b->state->slow_start->share, &quota, now_ms);
}

/* Logs that b has turned cold; `by` says how that is known. */
static void log_begin(const struct backend *b, const char *by,
		      int64_t asked_ago_ms, int64_t now_ms)
{
	const struct slow_start *s = b->state->slow_start;

	mp_event(EV_SLOW_START_BEGAN, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s dc=%s left_ms=%" G_GINT64_FORMAT
		 " by=%s asked_ago_ms=%" G_GINT64_FORMAT
		 " own_per_s=%.3f own_depth=%.2f",
		 b->entry.id, b->service->name, b->entry.dc,
		 s->cold_until_ms - now_ms, by, asked_ago_ms,
		 s->share.quota.rate_s, s->share.quota.depth);
}

/* Applies a change of b's slow start: quota, estimates of its speed, log. */
static void apply_change(struct traffic *t, struct backend *b, const char *by,
			 int64_t asked_ago_ms, int64_t now_ms)
{
	struct slow_start *s = b->state->slow_start;

	b->warm_up_until_ms = s->cold_until_ms;
	if (now_ms < s->cold_until_ms && !s->logged_cold) {
		s->logged_cold = true;
		update_quota(t, b, now_ms);
		log_begin(b, by, asked_ago_ms, now_ms);
	} else if (s->logged_cold && s->warm_asked_ms) {
		s->logged_cold = false;
		limit_share_set_quota(&s->share, &(struct limit_quota){0},
				      now_ms);
		mp_event(EV_SLOW_START_ENDED, G_LOG_LEVEL_MESSAGE,
			 "backend=%s service=%s by=%s asked_ago_ms="
			 "%" G_GINT64_FORMAT,
			 b->entry.id, b->service->name, by, asked_ago_ms);
	}
}

/* Handles a response to a probe; left_ms is 0 if the server is warm. */
void slow_starts_probe_response(struct traffic *t, struct backend *b,
				uint32_t left_ms, int64_t sent_ms)
{
	int64_t now_ms = clock_ms();
	struct slow_start_report r = {
		.left_ms = left_ms, .sent_ms = sent_ms, .received_ms = now_ms};

	if (!b->state->slow_start)
		return;
	slow_start_report(b->state->slow_start, &r);
	apply_change(t, b, "probe", now_ms - sent_ms, now_ms);
}

/* Treats b as cold until a report says otherwise, at most until until_ms. */
static void assume_cold(struct traffic *t, struct backend *b, int64_t until_ms,
			const char *by)
{
	struct slow_start *s = b->state->slow_start;
	int64_t now_ms = clock_ms();

	if (until_ms <= now_ms)
		return;
	if (s->cold_until_ms <= now_ms)
		s->logged_cold = false;
	slow_start_assume_cold(s, until_ms, now_ms);
	apply_change(t, b, by, 0, now_ms);
}

/*
 * Creates b's state if servers of its service start slowly. Returns whether
 * they do.
 */
static bool ensure_state(struct backend *b)
{
	struct server_state *s = b->state;

	if (!slow_start_applies(&b->service->slow_start))
		return false;
	if (!s->slow_start) {
		s->slow_start = g_new(struct slow_start, 1);
		slow_start_init(s->slow_start, clock_ms());
	}
	return true;
}

/*
 * Called when b's entry was added or changed. Earlier reports may precede a
 * restart of the server.
 */
void slow_starts_listed(struct traffic *t, struct backend *b)
{
	if (!ensure_state(b))
		return;
	slow_start_forget(b->state->slow_start);
	assume_cold(t, b, b->warm_up_until_ms, "list");
	b->warm_up_until_ms =
		MAX(b->warm_up_until_ms, b->state->slow_start->cold_until_ms);
}

/*
 * Called when b's data centre is no longer evacuated: its servers may have
 * turned cold meanwhile. If they aren't probed, they count as cold for as long
 * as that may last.
 */
void slow_starts_restored(struct traffic *t, struct backend *b)
{
	if (!ensure_state(b))
		return;
	slow_start_forget(b->state->slow_start);
	if (!service_is_probed(b->service))
		assume_cold(t, b,
			    clock_ms() + b->service->slow_start.duration_ms,
			    "evacuation");
}

/* Calls fn for each listed server. */
static void for_each_backend(struct traffic *t,
			     void (*fn)(struct traffic *t, struct backend *b))
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v))
		fn(t, v);
}

static void configure_backend(struct traffic *t, struct backend *b)
{
	if (!ensure_state(b))
		return;
	if (b->state->slow_start->logged_cold)
		update_quota(t, b, clock_ms());
	else
		assume_cold(t, b, b->warm_up_until_ms, "list");
}

/* Applies a new configuration or new bounds. */
void slow_starts_configure(struct traffic *t)
{
	for (size_t i = 0; t->config && i < t->config->nservices; i++) {
		const struct service_config *c = &t->config->services[i];
		struct service *s = backend_set_service(&t->backends, c->name);

		s->slow_start = (struct slow_start_bound){
			.duration_ms = c->slow_start_ms,
			.per_s = c->slow_start_per_s,
			.rule = {.factor = t->bounds.slow_start_factor,
				 .slack = t->bounds.slow_start_slack,
				 .window_ms = BOUND_WINDOW_MS},
		};
	}
	for_each_backend(t, configure_backend);
}

static void update_cold_backend(struct traffic *t, struct backend *b)
{
	struct slow_start *s = b->state->slow_start;

	if (s && s->logged_cold)
		update_quota(t, b, clock_ms());
}

/* Recomputes the shares of the instances that may be sending. */
void slow_starts_peers_changed(struct traffic *t)
{
	for_each_backend(t, update_cold_backend);
}

/*
 * Charges a send that is about to leave to its server's slow start, unless the
 * server is warm. Summed over all instances, the logged sends are all that the
 * server gets, so these lines are never suppressed.
 */
void slow_starts_charge(struct send *s)
{
	struct backend *b = s->backend;
	enum slow_start_phase phase = backend_phase(b, s->sent_ms);
	const struct request *r = s->request;
	struct limit_share *share;

	s->slow_start_charged =
		phase != SLOW_START_WARM && b->state->slow_start;
	if (!s->slow_start_charged)
		return;
	share = &b->state->slow_start->share;
	limit_share_take(share, s->sent_ms);
	r->traffic->counters.cold_sends++;
	mp_event(
		EV_SLOW_START_CHARGED, G_LOG_LEVEL_INFO,
		"id=%.*s backend=%s service=%s cause=%s phase=%s lifetime=%08x "
		"sharers=%u own_per_s=%.3f left=%.2f out=%u",
		(int)r->call.id.len, r->call.id.ptr, b->entry.id,
		b->service->name,
		s->extra ? extra_cause_name(s->cause) : "first",
		phase_name(phase), r->traffic->lifetime,
		r->traffic->peers.participants
			? r->traffic->peers.participants->len
			: 0,
		share->quota.rate_s, share->tokens, share->in_flight);
}

/* Called when a send can no longer reach its server. */
void slow_starts_send_done(struct send *s, int64_t now_ms)
{
	if (s->slow_start_charged)
		limit_share_send_done(&s->backend->state->slow_start->share,
				      now_ms);
	s->slow_start_charged = false;
}
