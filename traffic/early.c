#include "misc/clock.h"
#include "traffic/early.h"
#include "traffic/request.h"
#include "traffic/traffic.h"

enum {
	/* An instance that starts has a configuration by then. */
	STARTING_MS = 2000,
	HOLD_MAX_MS = 400,
	/* Of the caller's time; a refusal leaves the rest for its retries. */
	HOLD_DIVISOR = 3,
	/* More requests are refused at once, to bound the memory. */
	HELD_MAX = 256,
	CHECK_MS = 5,
	DEFAULT_HOLD_MS = 200, /* if the caller named no limit */
};

struct early_request {
	struct http_conn *conn;
	struct http_message *message;
	struct request_info call;
	int64_t received_ms;
	int64_t until_ms;
};

/* Returns whether requests can be started: servers are known as well. */
static bool can_start(struct traffic *t)
{
	return t->config && traffic_count_backends(t) > 0;
}

/* Continues a held request; the time that it was held is gone. */
static void resume(struct traffic *t, struct early_request *e, int64_t now_ms)
{
	uint32_t held_ms = (uint32_t)(now_ms - e->received_ms);

	if (e->call.has_time_left)
		e->call.time_left_ms -= MIN(held_ms, e->call.time_left_ms);
	request_dispatch(t, e->conn, e->message, &e->call);
	g_free(e);
}

/*
 * Refuses a request that was held for as long as it may be. Its route and key
 * may exist, so it gets no final refusal.
 */
static void refuse(struct traffic *t, struct early_request *e)
{
	static const struct access unknown = {.status = ACCESS_UNCERTAIN,
					      .reason = "starting"};

	request_respond_denied(t, e->conn, e->message, &e->call, &unknown);
	g_free(e);
}

static void on_check(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	int64_t now_ms = clock_ms();
	GQueue held = t->early.held;

	g_queue_init(&t->early.held);
	while (!g_queue_is_empty(&held)) {
		struct early_request *e = g_queue_pop_head(&held);

		if (can_start(t))
			resume(t, e, now_ms);
		else if (now_ms >= e->until_ms)
			refuse(t, e);
		else
			g_queue_push_tail(&t->early.held, e);
	}
	if (g_queue_is_empty(&t->early.held))
		ev_timer_stop(loop, timer);
}

/*
 * early_hold() holds a request that came before the first configuration; takes
 * ownership of the message. Returns false if it isn't held: the instance isn't
 * starting any more, it stops, or holds too many.
 */
bool early_hold(struct traffic *t, struct http_conn *c, struct http_message *m,
		const struct request_info *call)
{
	int64_t now_ms = clock_ms();
	int64_t hold_ms = call->has_time_left
				  ? call->time_left_ms / HOLD_DIVISOR
				  : DEFAULT_HOLD_MS;
	struct early_request *e;

	if (t->config || t->stopping || now_ms - t->started_ms > STARTING_MS ||
	    g_queue_get_length(&t->early.held) >= HELD_MAX)
		return false;
	e = g_new0(struct early_request, 1);
	*e = (struct early_request){
		.conn = c,
		.message = m,
		.call = *call,
		.received_ms = now_ms,
		.until_ms = now_ms + MIN(hold_ms, HOLD_MAX_MS),
	};
	g_queue_push_tail(&t->early.held, e);
	if (!ev_is_active(&t->early.timer)) {
		ev_timer_init(&t->early.timer, on_check, CHECK_MS / 1000.0,
			      CHECK_MS / 1000.0);
		t->early.timer.data = t;
		ev_timer_start(t->loop, &t->early.timer);
	}
	return true;
}

/* early_caller_left() drops the request that is held for a connection, if any. */
bool early_caller_left(struct traffic *t, const struct http_conn *c)
{
	for (GList *l = t->early.held.head; l; l = l->next) {
		struct early_request *e = l->data;

		if (e->conn != c)
			continue;
		http_message_free(e->message);
		g_free(e);
		g_queue_delete_link(&t->early.held, l);
		return true;
	}
	return false;
}

/* early_refuse_all() refuses what is held; the instance stops. */
void early_refuse_all(struct traffic *t)
{
	while (!g_queue_is_empty(&t->early.held))
		refuse(t, g_queue_pop_head(&t->early.held));
}
