#include <errno.h>
#include <string.h>

#include "core/hedge.h"
#include "core/mechanisms.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/end_check.h"
#include "traffic/limit_sends.h"
#include "traffic/request.h"
#include "traffic/share.h"

/* Weights of outcomes in the failure memory of a server. */
static const double TROUBLE_BROKEN = 1.0;  /* reset, cut or no message */
static const double TROUBLE_FAILED = 1.0;  /* its own 5xx */
static const double TROUBLE_TIMEOUT = 1.0; /* no answer in time */
static const double RELIEF_SERVED = -0.7;

/* Ends one send; its connection is already given away or closed. */
static void end_send(struct send *s)
{
	struct traffic *t = s->request->traffic;

	s->upstream = NULL;
	if (s->extra)
		budget_end(&s->request->service->budget, &t->budget_rule,
			   clock_boot_ms());
	limit_sends_ended(s, clock_ms());
	s->backend->in_flight--;
	share_changed(t, s->backend->service);
}

/*
 * request_sends_end() breaks off what is still out: the request has its
 * answer, or nobody waits for it any more.
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

static enum http_match send_judge(void *owner, const struct answer_info *info)
{
	struct send *s = owner;

	if (exchange_is_for(info, s->request->call.id))
		return HTTP_MATCHED;
	s->request->traffic->counters.foreign_answers++;
	request_log_foreign(s->request, s, info->id);
	return HTTP_UNMATCHED;
}

/* Learns from an answer how long work takes, and there. */
static void learn(struct request *r, const struct send *s, int64_t now_ms)
{
	learn_answer(&s->backend->service->model, &r->stats->work, &s->start,
		     (double)(now_ms - s->sent_ms), now_ms);
}

/* Goes on after a send that brought no answer for the caller. */
static void go_on(struct request *r, unsigned status, const char *why)
{
	if (request_is_out(r) || r->placement != PLACE_NONE) {
		request_arm(r);
		return;
	}
	if (request_is_barred(r)) {
		request_bar(r);
		return;
	}
	/* Nobody waits for it any more: the outcome is all that is left. */
	if (r->conn && request_may_send_again(r)) {
		request_log_retry(r, why);
		request_place(r, PLACE_RETRY);
		return;
	}
	if (r->undenied)
		request_fail(r, status, why);
	else
		request_refuse(r, why);
}

/* The server says that it has not run the request. */
static void on_not_run(struct request *r, struct send *s, unsigned status)
{
	r->undenied--;
	if (status == 421)
		backend_set_remove(&r->traffic->backends, s->backend->entry.id);
	go_on(r, 503, "server full");
}

/* The server has run the request and failed. */
static void on_server_error(struct request *r, struct send *s,
			    struct http_message *m, int64_t now_ms)
{
	outlier_note(s->backend, TROUBLE_FAILED, now_ms);
	if (r->route->idempotent && request_may_send_again(r)) {
		http_message_free(m);
		go_on(r, 502, "server error");
		return;
	}
	if (request_is_out(r)) {
		http_message_free(m);
		request_arm(r);
		return;
	}
	request_answer(r, m);
}

static void send_response(void *owner, struct http_message *m,
			  const struct answer_info *info)
{
	struct send *s = owner;
	struct request *r = s->request;
	int64_t now_ms = clock_ms();
	struct upstream *u = s->upstream;

	/* A server that sheds its load reports none: that is not room. */
	if (info->has_load && mechanisms.ask && info->backoff != BACKOFF_SET) {
		s->backend->service->load_support = LOAD_TOLD;
		s->backend->load = info->load;
		s->backend->load.at_ms = now_ms;
	}
	end_send(s);
	upstream_put(u, now_ms);
	if (place_has_room(s->backend, now_ms))
		request_use_room(r->traffic, s->backend);
	if (info->not_run) {
		unsigned status = m->status;

		http_message_free(m);
		on_not_run(r, s, status);
		return;
	}
	end_check_answered(r->traffic, r->digest);
	server_state_answered(s->backend->state, s->sent_ms);
	if (m->status / 100 == 2 && !info->sealed) {
		/* Not the server's own answer, whatever it looks like. */
		http_message_free(m);
		outlier_note(s->backend, TROUBLE_BROKEN, now_ms);
		go_on(r, 502, "answer without receipt");
	} else if (m->status >= 500) {
		on_server_error(r, s, m, now_ms);
	} else {
		outlier_note(s->backend, RELIEF_SERVED, now_ms);
		learn(r, s, now_ms);
		request_answer(r, m);
	}
}

/*
 * The server became unavailable while its connection was opened. Nothing has left, so
 * the send is undone, without a charge to the retry budget.
 */
static void withdraw(struct send *s, int64_t now_ms)
{
	struct request *r = s->request;
	bool last = s == &r->sends[r->nsends - 1];

	r->traffic->counters.withdrawn++;
	request_log_withdrawn(r, s, now_ms);
	s->upstream = NULL;
	if (s->extra)
		budget_give_back(&r->service->budget);
	limit_sends_ended(s, now_ms);
	s->backend->in_flight--;
	share_changed(r->traffic, s->backend->service);
	r->undenied--;
	r->stats->sends--;
	if (s->extra)
		r->service->account.spent[s->cause]--;
	if (last) {
		backend_unref(s->backend);
		r->nsends--;
		r->hedge_ms = 0;
	}
	if (r->nsends == 0 && r->conn) {
		request_place_end(r);
		request_place(r, PLACE_FIRST);
		return;
	}
	go_on(r, 503, "server takes nothing now");
}

static void send_failed(void *owner, int err, bool sent)
{
	struct send *s = owner;
	struct request *r = s->request;

	if (err == -ECANCELED) {
		withdraw(s, clock_ms());
		return;
	}
	if (sent && err != -ETIMEDOUT) {
		r->stats->broken++;
		request_log_broken(r, s, err);
		/* Bytes that are no answer come from one that lives. */
		if (err != -EPROTO)
			end_check_begin(r->traffic, s->backend, r->digest);
	}
	outlier_note(s->backend,
		     err == -ETIMEDOUT ? TROUBLE_TIMEOUT : TROUBLE_BROKEN,
		     clock_ms());
	end_send(s);
	if (!sent)
		r->undenied--;
	go_on(r, err == -ETIMEDOUT ? 504 : 502,
	      err == -ETIMEDOUT ? "timeout" : "connection broke");
}

static const struct upstream_ops send_ops = {send_judge, send_response,
					     send_failed};

static void count_send(struct request *r, enum extra_cause cause,
		       int64_t now_ms)
{
	r->stats->sends++;
	if (r->nsends == 1)
		return;
	budget_spend(&r->service->budget);
	r->service->account.spent[cause]++;
	request_log_extra(r, cause, now_ms);
	if (cause != EXTRA_RETRY)
		r->stats->hedges++;
	else
		r->stats->retries++;
}

/* When a second server gets the request, if none has answered; 0: never. */
static int64_t second_send_at(struct request *r, const struct send *s,
			      int64_t now_ms)
{
	if (!r->route->idempotent || r->nsends != 1)
		return 0;
	if (mechanisms.second)
		return now_ms + hedge_delay_ms(r->stats->work.usual_ms,
					       r->route->target_ms,
					       now_ms - r->start_ms,
					       service_tells_load(r->service));
	if (!mechanisms.rescue)
		return 0;
	r->rescue = true;
	return now_ms + rescue_delay_ms(s->estimate_ms, r->route->target_ms);
}

/* request_send() sends the request to b on a connection it now owns. */
void request_send(struct request *r, struct backend *b, struct upstream *u)
{
	struct send *s = &r->sends[r->nsends];
	enum extra_cause cause = request_extra_cause(r);
	int64_t now_ms = clock_ms();
	int64_t left = r->due_ms - now_ms;
	struct buf bytes = {0};

	r->nsends++;
	count_send(r, cause, now_ms);
	*s = (struct send){.request = r,
			   .backend = backend_ref(b),
			   .upstream = u,
			   .extra = r->nsends > 1,
			   .cause = cause,
			   .sent_ms = now_ms,
			   .start = place_server_view(b, now_ms),
			   .estimate_ms = place_estimate_ms(
				   b, r->stats->work.usual_ms, now_ms)};
	b->in_flight++;
	share_changed(r->traffic, b->service);
	r->undenied++;
	request_log_sent(r, s, now_ms);
	limit_sends_take(s);
	/* Its report is older than this request. */
	if (b->load.at_ms)
		b->load.running++;
	exchange_write_request(&bytes, r->message, &r->call, b,
			       left > 1 ? (uint32_t)left : 1, r->traffic->via);
	r->hedge_ms = second_send_at(r, s, now_ms);
	/* The request's own time limit ends it; this is only a backstop. */
	upstream_exchange(u, buf_lstr(&bytes), (double)left / 1000 + 1,
			  lstr_eq(r->message->method, LSTR("HEAD")), &send_ops,
			  s);
	buf_free(&bytes);
	request_arm(r);
}
