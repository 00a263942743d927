#include <string.h>

#include <ck_pr.h>

#include "common/event.h"
#include "core/availability.h"
#include "core/request_digest.h"
#include "core/retry_after.h"
#include "misc/clock.h"
#include "traffic/request.h"

enum {
	/* A caller that names no time limit waits this long. */
	TIME_LEFT_STANDARD_MS = 30 * 1000,
	/*
	 * The answer must reach the caller before it gives up; the way to
	 * callers takes 8 ms and the request has made it once.
	 */
	TIME_LEFT_RESERVE_MS = 20,
	/*
	 * Without news of the system for this long a route that is unknown
	 * here may exist by now; 404 would be final for the caller.
	 */
	NEWS_TOO_OLD_MS = 4000,
	/* Most callers that were refused have come back after so long. */
	CALM_MS = 3000,
};

static void request_free(struct request *r)
{
	struct traffic *t = r->traffic;

	request_place_end(r);
	request_sends_end(r);
	for (unsigned i = 0; i < r->nsends; i++)
		backend_unref(r->sends[i].backend);
	ev_timer_stop(t->loop, &r->timer);
	config_unref(r->config);
	http_message_free(r->message);
	t->open_requests--;
	g_free(r);
}

/* Replies with headers and body and ends the request. */
static void finish(struct request *r, unsigned status, struct lstr headers,
		   struct lstr body)
{
	struct http_conn *c = r->conn;

	if (r->protocol->settled)
		r->protocol->settled(r, status, body);
	request_free(r);
	if (!c)
		return;
	http_conn_set_user(c, NULL);
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = headers,
						.body = body});
}

/* Answers with a status of the instance's own. */
static void answer_own(struct request *r, unsigned status, double retry_s)
{
	struct buf headers = {0};

	r->protocol->write_own(&headers, r->call.id, status, retry_s);
	finish(r, status, buf_lstr(&headers), LSTR(""));
	buf_free(&headers);
}

/* What the admission needs to know of a request. */
struct admit_request request_view(const struct request *r, int64_t now_ms)
{
	int64_t placing =
		r->placement == PLACE_NONE ? 0 : now_ms - r->placing_since_ms;
	const struct work_model *work = &r->stats->work;
	double now = learn_usual_factor(&r->service->model);

	return (struct admit_request){
		.target_ms = r->route->target_ms,
		.spent_ms = r->spent_before_ms + (double)(now_ms - r->start_ms),
		.usual_ms = work->usual_ms * now,
		.long_ms = work->long_ms * now,
		.waited_ms = (double)placing,
		.short_room = learn_is_short(&r->service->model),
	};
}

/* How long the caller still waits. */
static int64_t request_left_ms(const struct request *r, int64_t now_ms)
{
	return r->call.has_time_left
		       ? r->call.time_left_ms - (now_ms - r->start_ms)
		       : r->due_ms - now_ms;
}

/* Says that the request has not run and never will, and when to return. */
static void refuse(struct request *r, const char *why, double retry_s)
{
	mp_invariant(!r->undenied, "id=%.*s may have run and was refused",
		     (int)r->call.id.len, r->call.id.ptr);
	r->stats->refused++;
	request_log_outcome(r, EV_REQUEST_REFUSED, 503, why, retry_s);
	answer_own(r, 503, retry_s);
}

/*
 * request_refuse() gives up on a request that has not run and never will:
 * the caller is told when to come back.
 */
void request_refuse(struct request *r, const char *why)
{
	int64_t now_ms = clock_ms();
	int64_t left_ms = request_left_ms(r, now_ms);
	struct admit_request view = request_view(r, now_ms);
	struct limit_room room = limit_room(r->service, now_ms);
	int64_t resume_ms = service_resume_ms(r->service, now_ms);
	double random = g_rand_double(r->traffic->rand);
	double soon = resume_ms ? retry_after_resume_s(
					  &view, resume_ms - now_ms, random)
				: retry_after_s(&view, left_ms, random);
	double turn =
		retry_after_turn_s(&r->service->promised_ms, &room,
				   r->service->waiting.length, left_ms, now_ms);

	r->traffic->trouble_ms = now_ms;
	refuse(r,
	       resume_ms  ? "servers backing off"
	       : room.all ? "servers in need"
			  : why,
	       MAX(soon, turn));
}

/*
 * request_is_barred() tells whether no server may get the request: servers
 * ended under it time and again, and each further send would cost one more
 * with all that it works on.
 */
bool request_is_barred(const struct request *r)
{
	enum verdict_kind kind =
		quarantine_kind(&r->traffic->quarantine, r->digest);

	if (r->trial)
		return r->nsends > 0;
	return kind == VERDICT_REFUSE || kind == VERDICT_TRIAL;
}

/*
 * request_bar() ends a barred request. If it has not run here the caller is
 * told when it will be tried again.
 */
void request_bar(struct request *r)
{
	r->traffic->counters.quarantined++;
	if (r->undenied)
		request_fail(r, 502, "quarantined");
	else
		refuse(r, "quarantined",
		       quarantine_left_s(&r->traffic->quarantine, r->digest,
					 clock_ms()));
}

/*
 * request_fail() ends a request of which it isn't known whether it ran, with
 * 502 or 504; these promise nothing.
 */
void request_fail(struct request *r, unsigned status, const char *why)
{
	r->stats->unknown++;
	r->traffic->trouble_ms = clock_ms();
	request_log_outcome(r, EV_REQUEST_OUTCOME_UNKNOWN, status, why, 0);
	answer_own(r, status, 0);
}

static void count_answer(struct request *r, unsigned status, int64_t ms)
{
	struct class_stats *s = r->stats;

	if (status / 100 != 2) {
		s->failed++;
		return;
	}
	s->served++;
	if (ms > r->route->target_ms)
		s->late++;
	hist_record(&s->latency, (uint64_t)ms * 1000);
}

/* request_answer() passes a backend server's answer on; it takes `answer`. */
void request_answer(struct request *r, struct http_message *answer)
{
	struct buf headers = {0};
	unsigned status = answer->status;

	count_answer(r, status, clock_ms() - r->start_ms);
	request_log_outcome(r, EV_REQUEST_DONE, status, "answered", 0);
	r->protocol->write_answer(&headers, r->call.id, answer);
	finish(r, status, buf_lstr(&headers), buf_lstr(&answer->body));
	buf_free(&headers);
	http_message_free(answer);
}

/* request_is_out() tells whether some backend server has the request now. */
bool request_is_out(const struct request *r)
{
	for (unsigned i = 0; i < r->nsends; i++) {
		if (r->sends[i].upstream)
			return true;
	}
	return false;
}

/* request_retries_left() tells what the service's retry budget still allows. */
double request_retries_left(const struct request *r)
{
	return budget_left(&r->service->budget, &r->traffic->budget_rule,
			   clock_boot_ms());
}

/* request_extra_cause() tells why one more server would get the request. */
enum extra_cause request_extra_cause(const struct request *r)
{
	if (!request_is_out(r))
		return EXTRA_RETRY;
	return r->rescue ? EXTRA_RESCUE : EXTRA_SECOND;
}

/*
 * request_may_send_again() tells whether one more backend server may get the
 * request: the route's count, the retry budget and the time allow it, and it
 * has not run or may run again.
 */
bool request_may_send_again(const struct request *r)
{
	struct traffic *t = r->traffic;
	int64_t now_ms = clock_ms();

	if (r->nsends >= r->route->max_attempts ||
	    r->nsends >= REQUEST_SENDS_MAX)
		return false;
	if (r->undenied && !r->route->idempotent)
		return false;
	if (now_ms >= r->due_ms || request_is_barred(r))
		return false;
	/* A copy beside one that may just be ending its server. */
	if (request_is_out(r) &&
	    quarantine_kind(&t->quarantine, r->digest) != VERDICT_CLEAR)
		return false;
	if (r->nsends == 0 || budget_allows(&r->service->budget,
					    &t->budget_rule, clock_boot_ms()))
		return true;
	r->service->account.denied[request_extra_cause(r)]++;
	return false;
}

/* The time is up: the caller hears it now. */
static void on_due(struct request *r)
{
	if (r->undenied)
		request_fail(r, 504, "timeout");
	else
		request_refuse(r, "no room in time");
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct request *r = timer->data;
	int64_t now_ms = clock_ms();

	if (now_ms >= r->due_ms) {
		on_due(r);
		return;
	}
	if (r->placement != PLACE_NONE) {
		request_place_tick(r, now_ms);
		return;
	}
	if (r->hedge_ms && now_ms >= r->hedge_ms) {
		r->hedge_ms = 0;
		if (request_may_send_again(r)) {
			request_place(r, PLACE_HEDGE);
			return;
		}
	}
	request_arm(r);
}

/* request_arm() sets the timer to whatever is due next. */
void request_arm(struct request *r)
{
	int64_t next = r->due_ms, now_ms = clock_ms();

	if (r->placement != PLACE_NONE) {
		int64_t at =
			r->wait_until_ms ? r->wait_until_ms : r->round_ends_ms;

		next = at < next ? at : next;
	} else if (r->hedge_ms && r->hedge_ms < next) {
		next = r->hedge_ms;
	}
	ev_timer_stop(r->traffic->loop, &r->timer);
	ev_timer_set(&r->timer, next > now_ms ? (next - now_ms) / 1000.0 : 0,
		     0);
	ev_timer_start(r->traffic->loop, &r->timer);
}

/* Answers a request that no route takes. */
static void answer_no_route(struct traffic *t, struct http_conn *c,
			    struct http_message *m,
			    const struct call_info *call)
{
	const struct control_view *v = t->control_view;
	int64_t fresh =
		MIN((int64_t)ck_pr_load_64((const uint64_t *)&v->fresh_ms),
		    (int64_t)ck_pr_load_64((const uint64_t *)&v->config_ms));
	bool sure = t->config && clock_ms() - fresh < NEWS_TOO_OLD_MS;
	unsigned status = sure ? 404 : 503;
	struct buf headers = {0};

	if (t->config)
		t->counters.no_route++;
	else
		t->counters.no_config++;
	mp_event(EV_REQUEST_NO_ROUTE, G_LOG_LEVEL_INFO,
		 "id=%.*s status=%u version=%" G_GUINT64_FORMAT
		 " news_age_ms=%" G_GINT64_FORMAT,
		 (int)call->id.len, call->id.ptr, status,
		 t->config ? t->config->version : 0, clock_ms() - fresh);
	exchange_write_refusal_headers(
		&headers, call->id,
		sure ? 0 : retry_after_plain_s(g_rand_double(t->rand)));
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = buf_lstr(&headers)});
	buf_free(&headers);
	http_message_free(m);
}

static void write_own(struct buf *out, struct lstr call_id, unsigned status,
		      double retry_after_s)
{
	exchange_write_refusal_headers(out, call_id, retry_after_s);
}

static void write_answer(struct buf *out, struct lstr call_id,
			 const struct http_message *answer)
{
	exchange_write_answer_headers(out, answer);
}

static const struct caller_protocol platform_protocol = {write_own,
							 write_answer, NULL};

/* Learns how long callers wait, and how much their limits differ. */
static void note_patience(struct request *r, uint32_t left_ms)
{
	struct traffic *t = r->traffic;
	bool calm = r->start_ms - t->trouble_ms > CALM_MS;

	patience_note(&r->stats->patience, left_ms);
	patience_spread_note(&t->spread, &r->stats->patience, left_ms, calm);
}

/* What all attempts of one request have in common. */
static uint64_t digest_of(const struct http_message *m,
			  const struct call_info *call)
{
	const struct lstr parts[] = {m->method, call->host, call->caller,
				     m->target, buf_lstr(&m->body)};

	return request_digest(parts, G_N_ELEMENTS(parts));
}

/*
 * request_start() gives a matched request its state and begins to place it;
 * the message belongs to it from now on.
 */
void request_start(struct traffic *t, struct http_conn *c,
		   struct http_message *m, const struct call_info *call,
		   const struct route *route,
		   const struct caller_protocol *protocol)
{
	struct request *r = g_new0(struct request, 1);
	uint32_t left = call->has_time_left ? call->time_left_ms
					    : TIME_LEFT_STANDARD_MS;
	uint32_t reserve = left / 2 < TIME_LEFT_RESERVE_MS
				   ? left / 2
				   : TIME_LEFT_RESERVE_MS;

	r->traffic = t;
	r->conn = c;
	r->message = m;
	r->call = *call;
	r->digest = digest_of(m, call);
	r->trial = quarantine_take_trial(&t->quarantine, r->digest);
	r->protocol = protocol;
	r->config = config_ref(t->config);
	r->route = route;
	r->service = backend_set_service(
		&t->backends, route_pick(route, g_rand_int(t->rand)));
	r->stats = traffic_class(t, r->service->name, route->target_ms);
	r->start_ms = clock_ms();
	r->untold = !mp_log_allow_routine();
	if (call->has_time_left) {
		note_patience(r, left);
		r->spent_before_ms = patience_spent_ms(&r->stats->patience,
						       &t->spread, left);
	}
	left -= reserve;
	r->due_ms = r->start_ms +
		    (left < route->timeout_ms ? left : route->timeout_ms);
	ev_init(&r->timer, on_timer);
	r->timer.data = r;
	t->open_requests++;
	r->stats->requests++;
	budget_request(&r->service->budget, &t->budget_rule, clock_boot_ms());
	r->service->account.requests++;
	http_conn_set_user(c, r);
	request_place(r, PLACE_FIRST);
}

/* request_begin() takes a whole request of a caller. */
void request_begin(void *priv, struct http_conn *c, struct http_message *m)
{
	struct traffic *t = priv;
	const struct route *route = NULL;
	struct call_info call;

	exchange_read_call(m, &call);
	if (!call.host.len || !call.id.len) {
		mp_event(EV_REQUEST_INVALID, G_LOG_LEVEL_INFO,
			 "a request without host or id");
		http_message_free(m);
		http_conn_reply(c, &(struct http_reply){.status = 400});
		return;
	}
	if (t->config)
		route = config_match(t->config, call.host, call.path);
	if (route)
		request_start(t, c, m, &call, route, &platform_protocol);
	else
		answer_no_route(t, c, m, &call);
}

/*
 * request_gone() is called when the caller left: what may be repeated is
 * cancelled everywhere; work that may not be repeated goes on to its end at
 * the server, as breaking it off would leave its outcome open.
 */
void request_gone(void *priv, struct http_conn *c)
{
	struct request *r = http_conn_user(c);

	if (!r)
		return;
	r->stats->gone++;
	request_log_outcome(r, EV_REQUEST_CALLER_LEFT, 0, "caller left", 0);
	r->conn = NULL;
	if (!r->route->idempotent && request_is_out(r))
		return;
	if (r->protocol->settled)
		r->protocol->settled(r, r->undenied ? 504 : 503, LSTR(""));
	request_free(r);
}
