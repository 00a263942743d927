#include "common/event.h"
#include "core/stop_window.h"
#include "misc/clock.h"
#include "traffic/early.h"
#include "traffic/stop.h"
#include "traffic/tunnels.h"

enum { CHECK_MS = 50 };

/* Share of a class's responses that take no longer than is usual. */
static const double USUAL_QUANTILE = 0.999;

static struct stop_window window(const struct traffic *t)
{
	return (struct stop_window){
		.begin_ms = t->stopping_ms,
		.grace_ms = (int64_t)(t->bounds.grace_s * 1000),
		.keep_ms = (int64_t)(t->bounds.directory_keep_s * 1000),
	};
}

/* Returns how long nearly all requests of a class take; 0: unknown. */
static int64_t usual_ms(const struct class_stats *s)
{
	return s->latency.total ? 1 + (int64_t)hist_quantile(&s->latency,
							     USUAL_QUANTILE) /
						  1000
				: 0;
}

/* Returns whether a request can be answered before the instance ends. */
static bool has_time(const struct traffic *t, int64_t deadline_ms,
		     const struct class_stats *stats)
{
	struct stop_window w = window(t);
	struct stop_request r = {.deadline_ms = deadline_ms,
				 .usual_ms = usual_ms(stats)};

	return stop_window_has_time(&w, &r, clock_ms());
}

/*
 * stop_has_time() returns whether a request can be answered before the instance
 * ends; true if it isn't stopping.
 */
bool stop_has_time(const struct request *r)
{
	const struct traffic *t = r->traffic;

	return !t->stopping || has_time(t, r->deadline_ms, r->stats);
}

/*
 * stop_has_time_for_body() returns whether a request whose body follows its head
 * can be answered before the instance ends. Of a request that may not run at all
 * this isn't known; it gets its response when it is complete.
 */
bool stop_has_time_for_body(struct traffic *t, const struct http_message *head)
{
	struct request_info call;
	struct service *s;
	struct access a;
	int64_t left_ms;

	if (!t->stopping)
		return true;
	exchange_read_request(head, &call);
	a = request_access(t, &call);
	if (a.status != ACCESS_GRANTED)
		return true;
	left_ms = a.route->timeout_ms;
	if (call.has_time_left)
		left_ms = MIN(left_ms, call.time_left_ms);
	s = backend_set_service(&t->backends, a.route->splits[0].service);
	return has_time(t, clock_ms() + left_ms,
			traffic_class_stats(t, s->name, a.route->target_ms));
}

/*
 * Returns whether a request that waits here can't be answered in time any more.
 * One that is at a server may still be.
 */
static bool is_too_late(const struct request *r)
{
	return r->conn && !request_is_in_flight(r) && !stop_has_time(r);
}

/* Returns whether anyone waits for the response. */
static bool has_caller(const struct request *r)
{
	return r->conn;
}

/*
 * Ends all requests that match. The end of one may end others, so the list is
 * searched anew each time. Returns their number.
 */
static unsigned end_requests(struct traffic *t,
			     bool (*match)(const struct request *r))
{
	unsigned n = 0;
	GList *l;

	do {
		for (l = t->requests.head; l && !match(l->data); l = l->next)
			;
		if (l)
			request_end_stopping(l->data);
		n += l != NULL;
	} while (l);
	return n;
}

/* Returns whether anything keeps the process from exiting. */
static bool is_busy(const struct traffic *t)
{
	return http_server_busy(&t->caller_server) ||
	       http_server_busy(&t->own_server) || tunnels_busy(t);
}

/* Closes the listening sockets, and connections without a request. */
static void close_listeners(struct traffic *t)
{
	http_server_stop_listening(&t->caller_server);
	http_server_stop_listening(&t->own_server);
	http_server_close_idle(&t->caller_server);
	http_server_close_idle(&t->own_server);
}

/* Responds to all requests that are still open or incomplete. */
static void answer_all(struct traffic *t)
{
	unsigned ended = end_requests(t, has_caller);

	http_server_time_out_partial(&t->caller_server);
	http_server_time_out_partial(&t->own_server);
	if (ended)
		mp_event(EV_STOP_CUT, G_LOG_LEVEL_WARNING, "requests=%u",
			 ended);
}

static void exit_loop(struct traffic *t)
{
	mp_event(EV_STOPPED, G_LOG_LEVEL_MESSAGE, "open_requests=%u",
		 t->requests.length);
	ev_timer_stop(t->loop, &t->stop_timer);
	ev_break(t->loop, EVBREAK_ALL);
}

static void on_check(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	struct stop_window w = window(t);
	int64_t now_ms = clock_ms();

	end_requests(t, is_too_late);
	if (now_ms >= stop_window_listen_until_ms(&w))
		close_listeners(t);
	if (now_ms >= stop_window_end_ms(&w))
		answer_all(t);
	if (now_ms >= stop_window_exit_ms(&w) ||
	    (now_ms >= stop_window_listen_until_ms(&w) && !is_busy(t)))
		exit_loop(t);
}

/* stop_begin() begins the stop. */
void stop_begin(struct traffic *t)
{
	t->stopping = true;
	t->stopping_ms = clock_ms();
	early_refuse_all(t);
	t->caller_server.disable_keep_alive = true;
	t->own_server.disable_keep_alive = true;
	end_requests(t, is_too_late);
	ev_timer_init(&t->stop_timer, on_check, CHECK_MS / 1000.0,
		      CHECK_MS / 1000.0);
	t->stop_timer.data = t;
	ev_timer_start(t->loop, &t->stop_timer);
}
