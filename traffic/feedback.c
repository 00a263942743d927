#include "common/event.h"
#include "misc/clock.h"
#include "traffic/drain_gossip.h"
#include "traffic/feedback.h"
#include "traffic/limits.h"
#include "traffic/slow_starts.h"

enum { TEXT_MAX = 64 }; /* logged bytes of a value */

/*
 * Counts an invalid value, which is ignored. Logged once until a valid one
 * follows.
 */
static void log_invalid(struct traffic *t, const struct backend *b,
			const char *field, struct lstr text)
{
	t->counters.invalid_values++;
	if (b->state->invalid_logged)
		return;
	b->state->invalid_logged = true;
	mp_event(EV_RESPONSE_INVALID, G_LOG_LEVEL_WARNING,
		 "backend=%s service=%s field=%s value=%.*s", b->entry.id,
		 b->service->name, field, (int)MIN(text.len, TEXT_MAX),
		 text.ptr);
}

/* Starts the backoff that b requested. */
static void back_off(struct traffic *t, struct backend *b, double backoff_s)
{
	struct server_state *s = b->state;
	int64_t now_ms = clock_ms();

	s->invalid_logged = false;
	t->counters.backoffs++;
	if (!server_state_back_off(s, backoff_s, g_rand_double(t->rand),
				   now_ms))
		return;
	/*
	 * A load report from before the backoff must not count as free
	 * capacity after it.
	 */
	b->load = (struct load_report){.slots = b->load.slots};
	mp_event(EV_BACKEND_BACKOFF, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s backoff_s=%g "
		 "ends_in_ms=%" G_GINT64_FORMAT
		 " resume_in_ms=%" G_GINT64_FORMAT " in_flight=%u",
		 b->entry.id, b->service->name, backoff_s,
		 s->backoff_until_ms - now_ms, s->resume_ms - now_ms,
		 b->in_flight);
}

/*
 * Returns whether the response is from b; another start of the server may
 * respond at the same address.
 */
static bool is_from(const struct backend *b, const struct response_info *info)
{
	if (info->misdirected)
		return false;
	return !info->backend_id.ptr ||
	       lstr_eq(info->backend_id, lstr0(b->entry.id));
}

/*
 * Applies the limit that the response sets or does not set. It is unknown when
 * an unsolicited response was requested, so it cannot end a limit.
 */
static void apply_limit(struct traffic *t, struct backend *b,
			const struct feedback *f)
{
	bool own = f->info.sealed || f->info.not_executed || f->probe;

	if (f->solicited && own)
		limits_response(t, b, &f->info, f->sent_ms,
				f->probe ? LIMIT_BY_PROBE : LIMIT_BY_RESPONSE);
	else if (!f->solicited && f->info.limit == LIMIT_SET)
		limits_response(t, b, &f->info, 0, LIMIT_BY_RESPONSE);
}

/*
 * Applies what a response to a probe says of the server's slow start. An
 * unsolicited one can't show that it is over.
 */
static void apply_slow_start(struct traffic *t, struct backend *b,
			     const struct feedback *f)
{
	if (f->probe && (f->solicited || f->info.cold_ms))
		slow_starts_probe_response(t, b, f->info.cold_ms, f->sent_ms);
}

/* Applies a response received from b's address. */
void feedback_apply(struct traffic *t, struct backend *b,
		    const struct feedback *f)
{
	const struct response_info *info = &f->info;

	if (!is_from(b, info))
		return;
	apply_limit(t, b, f);
	apply_slow_start(t, b, f);
	if (info->backoff == BACKOFF_INVALID)
		log_invalid(t, b, "backoff", info->backoff_text);
	else if (info->backoff == BACKOFF_SET)
		back_off(t, b, info->backoff_s);
	if (info->draining == DRAINING_INVALID)
		log_invalid(t, b, "draining", info->draining_text);
	else if (info->draining == DRAINING_SET)
		drain_gossip_announced(t, b);
}
