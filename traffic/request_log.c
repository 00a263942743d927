/*
 * Log lines of a request. Within the rate limit every decision is logged when
 * it is made. Beyond it a request's lines are deferred: they are written if it
 * fails, is late or is retried, and only counted if it succeeds. So overload
 * produces few lines, and all those that explain a failure.
 */
#include <inttypes.h>

#include "core/availability.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/request.h"

static void write_sent(const struct request *r, const struct send *s,
		       unsigned number, int64_t now_ms)
{
	const struct send_decision *b = &s->decision;

	mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " backend=%s dc=%s send=%u ago_ms=%" G_GINT64_FORMAT
		 " load=%u/%u/%u slowdown_pct=%u load_age_ms=%" G_GINT64_FORMAT
		 " estimate_ms=%.0f trouble=%.1f asked=%u answered=%u "
		 "spent_ms=%.0f left_ms=%" G_GINT64_FORMAT
		 " retries_left=%.1f pressed=%d via=%s tunnel=%016" PRIx64,
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 s->backend->entry.id, s->backend->entry.dc, number,
		 now_ms - s->sent_ms, b->load.running, b->load.waiting,
		 b->load.slots, b->load.slowdown_pct, b->load_age_ms,
		 s->estimate_ms, b->failure_score, b->probes_sent,
		 b->probes_answered, b->spent_ms, b->left_ms, b->retries_left,
		 b->saturated, b->via, b->tunnel);
}

/* Writes the deferred lines; later lines are written immediately. */
static void flush_deferred(struct request *r, int64_t now_ms)
{
	if (!r->log_deferred)
		return;
	r->log_deferred = false;
	for (unsigned i = 0; i < r->nsends; i++)
		write_sent(r, &r->sends[i], i + 1, now_ms);
}

/*
 * Logs a send with the inputs of the selection: load report and its age, recent
 * failures, remaining time and retry budget.
 */
void request_log_sent(struct request *r, struct send *s, int64_t now_ms)
{
	const struct backend *b = s->backend;

	s->decision = (struct send_decision){
		.load = b->load,
		.load_age_ms = b->load.at_ms ? now_ms - b->load.at_ms : -1,
		.failure_score = outlier_score(b, now_ms),
		.spent_ms = r->spent_before_ms + (double)(now_ms - r->start_ms),
		.retries_left = request_retries_left(r),
		.left_ms = r->deadline_ms - now_ms,
		.probes_sent = r->probes_sent,
		.probes_answered = r->probes_answered,
		.saturated = request_service_is_saturated(r, now_ms),
		.tunnel = s->upstream->tunnel};
	g_strlcpy(s->decision.via,
		  s->upstream->peer ? s->upstream->peer->name : "-",
		  sizeof(s->decision.via));
	if (!r->log_deferred)
		write_sent(r, s, r->nsends, now_ms);
}

/* Logs why the request is sent to one more server. */
void request_log_retry(struct request *r, const char *why)
{
	int64_t now_ms = clock_ms();

	flush_deferred(r, now_ms);
	mp_event(EV_REQUEST_RETRY, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64 " why=%s last=%s sends=%u of=%u "
		 "left_ms=%" G_GINT64_FORMAT " retries_left=%.1f",
		 (int)r->call.id.len, r->call.id.ptr, r->digest, why,
		 r->sends[r->nsends - 1].backend->entry.id, r->nsends,
		 r->route->max_attempts, r->deadline_ms - now_ms,
		 request_retries_left(r));
}

/*
 * Logs an extra send. These lines are never deferred: their sum over the
 * lifetimes of all instances is what the retry budget rule applies to.
 */
void request_log_extra(struct request *r, enum extra_cause cause,
		       int64_t now_ms)
{
	const struct traffic *t = r->traffic;
	const struct service *s = r->service;
	struct budget_window w =
		budget_window(&s->budget, &t->budget_params, clock_boot_ms());

	mp_event(EV_REQUEST_EXTRA_SEND, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " service=%s cause=%s lifetime=%08x age_ms=%" G_GINT64_FORMAT
		 " requests=%" G_GUINT64_FORMAT " spent=%" G_GUINT64_FORMAT
		 " window_requests=%u window_spent=%u retries_left=%.1f "
		 "instances=%u",
		 (int)r->call.id.len, r->call.id.ptr, r->digest, s->name,
		 extra_cause_name(cause), t->lifetime, now_ms - t->started_ms,
		 s->retry_stats.requests, budget_spent(&s->retry_stats),
		 w.requests, w.spent, w.left, t->peers.instances);
}

/*
 * Logs that the connection broke while the server had the request, and how many
 * other requests of this instance it had.
 */
void request_log_broken(struct request *r, const struct send *s, int err)
{
	int64_t now_ms = clock_ms();

	flush_deferred(r, now_ms);
	mp_event(EV_REQUEST_CONNECTION_BROKEN, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64 " backend=%s service=%s err=%s "
		 "at_server_ms=%" G_GINT64_FORMAT " beside=%u draining=%d "
		 "gone=%d",
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 s->backend->entry.id, s->backend->service->name,
		 g_strerror(-err), now_ms - s->sent_ms,
		 s->backend->in_flight - 1, s->backend->entry.draining,
		 s->backend->gone);
}

/* Logs why a send was cancelled just before its first byte. */
void request_log_withdrawn(struct request *r, const struct send *s,
			   int64_t now_ms)
{
	struct availability a = backend_availability(
		s->backend, send_committed_kind(s), now_ms);

	flush_deferred(r, now_ms);
	mp_event(EV_REQUEST_SEND_CANCELED, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64 " backend=%s hold=%s "
		 "chosen_ago_ms=%" G_GINT64_FORMAT,
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 s->backend->entry.id, hold_name(a.hold), now_ms - s->sent_ms);
}

/* Logs a skipped response that belongs to another request. */
void request_log_mismatched(struct request *r, const struct send *s,
			    struct lstr answered)
{
	flush_deferred(r, clock_ms());
	mp_event(EV_RESPONSE_MISMATCHED, G_LOG_LEVEL_WARNING,
		 "id=%.*s backend=%s answered=%.*s; skipped",
		 (int)r->call.id.len, r->call.id.ptr, s->backend->entry.id,
		 (int)answered.len, answered.ptr ? answered.ptr : "");
}

/* Requests served on time are not logged when lines are deferred. */
static bool served_on_time(const struct request *r, enum mp_event ev,
			   unsigned status, int64_t now_ms)
{
	return ev == EV_REQUEST_DONE && status / 100 == 2 &&
	       now_ms - r->start_ms <= r->route->target_ms;
}

/* Logs the outcome of a request and what led to it. */
void request_log_outcome(struct request *r, enum mp_event ev, unsigned status,
			 const char *why, double retry_s)
{
	const struct send *last = r->nsends ? &r->sends[r->nsends - 1] : NULL;
	struct lstr name = r->workspace ? r->workspace->name : LSTR("-");
	int64_t now_ms = clock_ms();

	if (r->log_deferred && served_on_time(r, ev, status, now_ms)) {
		mp_log_add_suppressed(r->nsends + 1);
		return;
	}
	flush_deferred(r, now_ms);
	mp_event(ev, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " route=%.*s service=%s workspace=%.*s"
		 " version=%" G_GUINT64_FORMAT
		 " status=%u why=%s sends=%u last=%s ms=%" G_GINT64_FORMAT
		 " at_server_ms=%" G_GINT64_FORMAT
		 " asked=%u answered=%u spent_before_ms=%.0f limit_ms=%u "
		 "retry_after_ms=%.0f waiting=%u retries_left=%.1f",
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 (int)r->route->name.len, r->route->name.ptr, r->service->name,
		 (int)name.len, name.ptr, r->config->version, status, why,
		 r->nsends, last ? last->backend->entry.id : "-",
		 now_ms - r->start_ms, last ? now_ms - last->sent_ms : 0,
		 r->probes_sent, r->probes_answered, r->spent_before_ms,
		 r->stats->caller_timeout.timeout_ms, retry_s * 1000,
		 r->service->waiting.length, request_retries_left(r));
}
