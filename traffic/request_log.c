/*
 * The log lines of one request. While there are few, each is written when
 * its decision falls. Beyond that the lines of a request are held back: they
 * are written if it fails, is late or is sent again, and only counted if it
 * goes well. So a storm costs few lines, and none of those that explain a
 * failure.
 */
#include <inttypes.h>

#include "core/availability.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/request.h"

static void write_sent(const struct request *r, const struct send *s,
		       unsigned number, int64_t now_ms)
{
	const struct send_basis *b = &s->basis;

	mp_event(EV_REQUEST_SENT, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " backend=%s dc=%s send=%u ago_ms=%" G_GINT64_FORMAT
		 " load=%u/%u/%u slowdown_pct=%u load_age_ms=%" G_GINT64_FORMAT
		 " estimate_ms=%.0f trouble=%.1f asked=%u answered=%u "
		 "spent_ms=%.0f left_ms=%" G_GINT64_FORMAT
		 " retries_left=%.1f pressed=%d",
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 s->backend->entry.id, s->backend->entry.dc, number,
		 now_ms - s->sent_ms, b->load.running, b->load.waiting,
		 b->load.slots, b->load.slowdown_pct, b->load_age_ms,
		 s->estimate_ms, b->trouble, b->asked, b->answered, b->spent_ms,
		 b->left_ms, b->retries_left, b->pressed);
}

/* Writes what was held back; from now on each line is written at once. */
static void tell(struct request *r, int64_t now_ms)
{
	if (!r->untold)
		return;
	r->untold = false;
	for (unsigned i = 0; i < r->nsends; i++)
		write_sent(r, &r->sends[i], i + 1, now_ms);
}

/*
 * request_log_sent() says what decided for a server: its report and how old
 * that is, remembered trouble, the time and the retry budget left.
 */
void request_log_sent(struct request *r, struct send *s, int64_t now_ms)
{
	const struct backend *b = s->backend;

	s->basis = (struct send_basis){
		.load = b->load,
		.load_age_ms = b->load.at_ms ? now_ms - b->load.at_ms : -1,
		.trouble = outlier_trouble(b, now_ms),
		.spent_ms = r->spent_before_ms + (double)(now_ms - r->start_ms),
		.retries_left = request_retries_left(r),
		.left_ms = r->due_ms - now_ms,
		.asked = r->asked,
		.answered = r->answered,
		.pressed = request_is_pressed(r, now_ms)};
	if (!r->untold)
		write_sent(r, s, r->nsends, now_ms);
}

/* request_log_retry() says why the request goes to one more server. */
void request_log_retry(struct request *r, const char *why)
{
	int64_t now_ms = clock_ms();

	tell(r, now_ms);
	mp_event(EV_REQUEST_RETRY, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64 " why=%s last=%s sends=%u of=%u "
		 "left_ms=%" G_GINT64_FORMAT " retries_left=%.1f",
		 (int)r->call.id.len, r->call.id.ptr, r->digest, why,
		 r->sends[r->nsends - 1].backend->entry.id, r->nsends,
		 r->route->max_attempts, r->due_ms - now_ms,
		 request_retries_left(r));
}

/*
 * request_log_extra() accounts for a send beyond the request's first. These
 * lines are never held back: added up over the lifetimes of all instances they
 * are what the system's rule on retries looks at.
 */
void request_log_extra(struct request *r, enum extra_cause cause,
		       int64_t now_ms)
{
	const struct traffic *t = r->traffic;
	const struct service *s = r->service;
	struct budget_window w =
		budget_window(&s->budget, &t->budget_rule, clock_boot_ms());

	mp_event(EV_REQUEST_EXTRA_SEND, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " service=%s cause=%s lifetime=%08x age_ms=%" G_GINT64_FORMAT
		 " requests=%" G_GUINT64_FORMAT " spent=%" G_GUINT64_FORMAT
		 " window_requests=%u window_spent=%u retries_left=%.1f "
		 "instances=%u",
		 (int)r->call.id.len, r->call.id.ptr, r->digest, s->name,
		 extra_cause_name(cause), t->lifetime, now_ms - t->started_ms,
		 s->account.requests, budget_spent(&s->account), w.requests,
		 w.spent, w.left, t->peers.instances);
}

/*
 * request_log_broken() says that the connection to a server ended while that
 * had the request, and how many others this instance had there.
 */
void request_log_broken(struct request *r, const struct send *s, int err)
{
	int64_t now_ms = clock_ms();

	tell(r, now_ms);
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

/* request_log_withdrawn() says why a send was taken back right before it left. */
void request_log_withdrawn(struct request *r, const struct send *s,
			   int64_t now_ms)
{
	struct availability a =
		backend_availability(s->backend, SEND_COMMITTED, now_ms);

	tell(r, now_ms);
	mp_event(EV_REQUEST_SEND_CANCELED, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64 " backend=%s hold=%s "
		 "chosen_ago_ms=%" G_GINT64_FORMAT,
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 s->backend->entry.id, hold_name(a.hold), now_ms - s->sent_ms);
}

/* request_log_foreign() names an answer that belongs to another request. */
void request_log_foreign(struct request *r, const struct send *s,
			 struct lstr answered)
{
	tell(r, clock_ms());
	mp_event(EV_RESPONSE_MISMATCHED, G_LOG_LEVEL_WARNING,
		 "id=%.*s backend=%s answered=%.*s; skipped",
		 (int)r->call.id.len, r->call.id.ptr, s->backend->entry.id,
		 (int)answered.len, answered.ptr ? answered.ptr : "");
}

/* One that was served in time needs no explanation. */
static bool went_well(const struct request *r, enum mp_event ev,
		      unsigned status, int64_t now_ms)
{
	return ev == EV_REQUEST_DONE && status / 100 == 2 &&
	       now_ms - r->start_ms <= r->route->target_ms;
}

/* request_log_outcome() says how a request ended, with what led there. */
void request_log_outcome(struct request *r, enum mp_event ev, unsigned status,
			 const char *why, double retry_s)
{
	const struct send *last = r->nsends ? &r->sends[r->nsends - 1] : NULL;
	int64_t now_ms = clock_ms();

	if (r->untold && went_well(r, ev, status, now_ms)) {
		mp_log_add_suppressed(r->nsends + 1);
		return;
	}
	tell(r, now_ms);
	mp_event(ev, G_LOG_LEVEL_INFO,
		 "id=%.*s digest=%016" PRIx64
		 " route=%.*s version=%" G_GUINT64_FORMAT
		 " status=%u why=%s sends=%u last=%s ms=%" G_GINT64_FORMAT
		 " at_server_ms=%" G_GINT64_FORMAT
		 " asked=%u answered=%u spent_before_ms=%.0f limit_ms=%u "
		 "retry_after_ms=%.0f waiting=%u retries_left=%.1f",
		 (int)r->call.id.len, r->call.id.ptr, r->digest,
		 (int)r->route->name.len, r->route->name.ptr,
		 r->config->version, status, why, r->nsends,
		 last ? last->backend->entry.id : "-", now_ms - r->start_ms,
		 last ? now_ms - last->sent_ms : 0, r->asked, r->answered,
		 r->spent_before_ms, r->stats->patience.limit_ms,
		 retry_s * 1000, r->service->waiting.length,
		 request_retries_left(r));
}
