#include <errno.h>
#include <string.h>

#include "core/hedge.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/crash_check.h"
#include "traffic/inflight_report.h"
#include "traffic/limit_sends.h"
#include "traffic/request.h"
#include "traffic/responses.h"
#include "traffic/slow_starts.h"

/* Weights of outcomes in a server's failure score. */
static const double FAILURE_BROKEN = 1.0; /* reset, truncated or invalid */
static const double FAILURE_SERVER_ERROR = 1.0; /* the server's own 5xx */
static const double FAILURE_TIMEOUT = 1.0;	/* no response in time */
static const double SUCCESS_RELIEF = -0.7;

/* Ends a send; its connection has been returned or closed already. */
static void end_send(struct send *s)
{
	struct traffic *t = s->request->traffic;

	s->upstream = NULL;
	if (s->extra)
		budget_send_done(&s->request->service->budget,
				 &t->budget_params, clock_boot_ms());
	limit_sends_finish(s, clock_ms());
	slow_starts_send_done(s, clock_ms());
	s->backend->in_flight--;
	inflight_report_changed(t, s->backend->service);
}

/*
 * Cancels all sends in flight: the request has its response, or nobody waits
 * for one.
 */
void request_sends_end(struct request *r)
{
	for (unsigned i = 0; i < r->nsends; i++) {
		struct send *s = &r->sends[i];

		if (!s->upstream)
			continue;
		upstream_drop(s->upstream);
		end_send(s);
	}
}

static enum http_match send_classify(void *owner,
				     const struct response_info *info)
{
	struct send *s = owner;

	if (exchange_response_matches(info, s->request->call.id))
		return HTTP_MATCHED;
	s->request->traffic->counters.foreign_answers++;
	request_log_mismatched(s->request, s, info->id);
	return HTTP_UNMATCHED;
}

/* Updates the models of the work time and of the server's speed. */
static void record_duration(struct request *r, const struct send *s,
			    int64_t now_ms)
{
	latency_record(&s->backend->service->model, &r->stats->work, &s->server,
		       (double)(now_ms - s->sent_ms), now_ms);
}

/*
 * Continues after a send without a usable response: retries, waits for another
 * copy, or ends the request.
 */
static void after_failed_send(struct request *r, unsigned status,
			      const char *why)
{
	if (request_is_in_flight(r) || r->select_reason != SELECT_NONE) {
		request_arm_timer(r);
		return;
	}
	if (request_is_quarantined(r)) {
		request_reject_quarantined(r);
		return;
	}
	/* Without a caller only the outcome is left to record. */
	if (r->conn && request_may_send_again(r)) {
		request_log_retry(r, why);
		request_select(r, SELECT_RETRY);
		return;
	}
	if (r->maybe_executed)
		request_fail(r, status, why);
	else
		request_refuse(r, why);
}

/* Handles a response that says the server did not execute the request. */
static void on_not_executed(struct request *r, struct send *s, unsigned status)
{
	r->maybe_executed--;
	if (status == 421)
		backend_set_remove(&r->traffic->backends, s->backend->entry.id);
	after_failed_send(r, 503, "server full");
}

/* Handles a 5xx: the server executed the request and failed. */
static void on_server_error(struct request *r, struct send *s,
			    struct http_message *m, int64_t now_ms)
{
	outlier_record(s->backend, FAILURE_SERVER_ERROR, now_ms);
	if (r->route->idempotent && request_may_send_again(r)) {
		http_message_free(m);
		after_failed_send(r, 502, "server error");
		return;
	}
	if (request_is_in_flight(r)) {
		http_message_free(m);
		request_arm_timer(r);
		return;
	}
	request_forward_response(r, m);
}

/* Handles the awaited response: forwards it, or goes on if it isn't usable. */
static void send_response(void *owner, struct http_message *m,
			  const struct response_info *info)
{
	struct send *s = owner;
	struct request *r = s->request;
	int64_t now_ms = clock_ms();
	struct upstream *u = s->upstream;

	/* A server that sheds load reports none; that isn't spare capacity. */
	if (info->has_load && mechanisms.ask && info->backoff != BACKOFF_SET) {
		s->backend->service->load_support = LOAD_REPORTED;
		s->backend->load = info->load;
		s->backend->load.at_ms = now_ms;
	}
	end_send(s);
	upstream_put(u, now_ms);
	if (place_has_capacity(s->backend, now_ms))
		request_offer_capacity(r->traffic, s->backend);
	if (info->not_executed) {
		unsigned status = m->status;

		http_message_free(m);
		on_not_executed(r, s, status);
		return;
	}
	crash_check_answered(r->traffic, r->digest);
	server_state_answered(s->backend->state, s->sent_ms);
	if (m->status / 100 == 2 && !info->sealed) {
		/*
		 * Without the receipt it wasn't written by the server, whatever
		 * the status.
		 */
		http_message_free(m);
		outlier_record(s->backend, FAILURE_BROKEN, now_ms);
		after_failed_send(r, 502, "answer without receipt");
	} else if (m->status >= 500) {
		on_server_error(r, s, m, now_ms);
	} else {
		outlier_record(s->backend, SUCCESS_RELIEF, now_ms);
		record_duration(r, s, now_ms);
		request_forward_response(r, m);
	}
}

/*
 * Undoes a send whose server became unavailable while connecting. Nothing has
 * been sent, so the retry budget isn't charged.
 */
static void cancel_unsent_send(struct send *s, int64_t now_ms)
{
	struct request *r = s->request;
	bool last = s == &r->sends[r->nsends - 1];

	r->traffic->counters.withdrawn++;
	request_log_withdrawn(r, s, now_ms);
	s->upstream = NULL;
	if (s->extra)
		budget_refund(&r->service->budget);
	limit_sends_finish(s, now_ms);
	slow_starts_send_done(s, now_ms);
	s->backend->in_flight--;
	inflight_report_changed(r->traffic, s->backend->service);
	r->maybe_executed--;
	r->stats->sends--;
	if (s->extra)
		r->service->retry_stats.spent[s->cause]--;
	if (last) {
		backend_unref(s->backend);
		r->nsends--;
		r->hedge_at_ms = 0;
	}
	if (r->nsends == 0 && r->conn) {
		request_select_end(r);
		request_select(r, SELECT_FIRST);
		return;
	}
	after_failed_send(r, 503, "server takes nothing now");
}

/*
 * Handles a send without a response: its connection failed, it timed out, or it
 * was cancelled before its first byte.
 */
static void send_failed(void *owner, int err, bool sent)
{
	struct send *s = owner;
	struct request *r = s->request;

	if (err == -ECANCELED) {
		cancel_unsent_send(s, clock_ms());
		return;
	}
	if (sent && err != -ETIMEDOUT) {
		r->stats->broken++;
		request_log_broken(r, s, err);
		if (!responses_is_server_alive(err))
			crash_check_begin(r->traffic, s->backend, r->digest);
	}
	/* A lack of memory here says nothing of the server. */
	if (err != -ENOBUFS)
		outlier_record(s->backend,
			       err == -ETIMEDOUT ? FAILURE_TIMEOUT
						 : FAILURE_BROKEN,
			       clock_ms());
	end_send(s);
	if (!sent)
		r->maybe_executed--;
	after_failed_send(r, err == -ETIMEDOUT ? 504 : 502,
			  err == -ETIMEDOUT ? "timeout" : "connection broke");
}

static const struct upstream_ops send_ops = {send_classify, send_response,
					     send_failed};

/* Returns the kind of a send whose server has been chosen. */
enum send_kind send_committed_kind(const struct send *s)
{
	return s->slow_start_charged ? SEND_COMMITTED : SEND_UNCHARGED;
}

/* Counts a send; an extra one is charged to the retry budget. */
static void count_send(struct request *r, enum extra_cause cause,
		       int64_t now_ms)
{
	r->stats->sends++;
	if (r->nsends == 1)
		return;
	budget_spend(&r->service->budget);
	r->service->retry_stats.spent[cause]++;
	request_log_extra(r, cause, now_ms);
	if (cause != EXTRA_RETRY)
		r->stats->hedges++;
	else
		r->stats->retries++;
}

/* Returns when to send a second copy if there is no response; 0: never. */
static int64_t hedge_time_ms(struct request *r, const struct send *s,
			     int64_t now_ms)
{
	if (!r->route->idempotent || r->nsends != 1)
		return 0;
	if (mechanisms.second)
		return now_ms +
		       hedge_delay_ms(r->stats->work.median_ms,
				      r->route->target_ms, now_ms - r->start_ms,
				      service_reports_load(r->service));
	if (!mechanisms.rescue)
		return 0;
	r->rescue = true;
	return now_ms + rescue_delay_ms(s->estimate_ms, r->route->target_ms);
}

/* Sends the request to b on u, which it takes over. */
void request_send(struct request *r, struct backend *b, struct upstream *u)
{
	struct send *s = &r->sends[r->nsends];
	enum extra_cause cause = request_extra_cause(r);
	int64_t now_ms = clock_ms();
	int64_t left_ms = r->deadline_ms - now_ms;
	struct buf head = {0};

	r->nsends++;
	count_send(r, cause, now_ms);
	*s = (struct send){.request = r,
			   .backend = backend_ref(b),
			   .upstream = u,
			   .extra = r->nsends > 1,
			   .cause = cause,
			   .sent_ms = now_ms,
			   .server = place_server_view(b, now_ms),
			   .estimate_ms = place_estimate_ms(
				   b, r->stats->work.median_ms, now_ms)};
	b->in_flight++;
	inflight_report_changed(r->traffic, b->service);
	r->maybe_executed++;
	request_log_sent(r, s, now_ms);
	limit_sends_charge(s);
	slow_starts_charge(s);
	/* The load report is older than this request. */
	if (b->load.at_ms)
		b->load.running++;
	exchange_write_request_head(&head, r->message, &r->call, b,
				    left_ms > 1 ? (uint32_t)left_ms : 1,
				    r->traffic->via);
	r->hedge_at_ms = hedge_time_ms(r, s, now_ms);
	/* Backstop; the request's own deadline fires first. */
	upstream_exchange(u,
			  &(struct upstream_request){
				  .head = buf_lstr(&head),
				  .body = buf_lstr(&r->message->body),
				  .timeout_s = (double)left_ms / 1000 + 1,
				  .head_request = lstr_eq(r->message->method,
							  LSTR("HEAD")),
				  .kind = send_committed_kind(s),
			  },
			  &send_ops, s);
	buf_free(&head);
	request_arm_timer(r);
}
