#include <math.h>

#include "common/event.h"
#include "core/retry_after.h"
#include "traffic/clients.h"
#include "traffic/stop.h"
#include "traffic/uploads.h"

/* For callers that name no time limit. */
static const double DEFAULT_BODY_TIME_S = 30;

/* A body that holds `held` bytes grows to `total`. */
static bool reserve(void *priv, size_t held, size_t total)
{
	struct traffic *t = priv;

	while (!body_memory_reserve(&t->bodies, held, total)) {
		if (!clients_free_bodies(t))
			return false;
	}
	return true;
}

static void release(void *priv, size_t held)
{
	struct traffic *t = priv;

	body_memory_release(&t->bodies, held);
}

/* Returns whether a body can be used: not by an instance that ends before. */
static bool accept_body(void *priv, const struct http_message *m)
{
	return stop_has_time_for_body(priv, m);
}

/*
 * Writes the headers of the 503 to a request whose body doesn't fit into memory
 * or comes too late; it isn't received and never sent.
 */
static void write_refusal(void *priv, const struct http_message *m,
			  struct buf *headers)
{
	struct traffic *t = priv;
	bool too_late = !stop_has_time_for_body(t, m);
	double random = g_rand_double(t->rand);
	struct request_info call;

	exchange_read_request(m, &call);
	mp_event(EV_BODY_REFUSED, G_LOG_LEVEL_INFO,
		 "id=%.*s status=503 why=%s used=%zu limit=%zu",
		 (int)call.id.len, call.id.ptr ? call.id.ptr : "",
		 too_late ? "stopping" : "memory", t->bodies.used,
		 t->bodies.limit);
	exchange_write_error_headers(headers, call.id,
				     too_late ? retry_after_elsewhere_s(random)
					      : retry_after_default_s(random));
}

/*
 * Returns how long a body may take: after the caller's time limit nobody waits
 * for the response any more.
 */
static double body_time_s(void *priv, const struct http_message *m)
{
	struct request_info call;

	exchange_read_request(m, &call);
	return call.has_time_left ? call.time_left_ms / 1000.0
				  : DEFAULT_BODY_TIME_S;
}

/* uploads_init() limits the memory of bodies by the machine's. */
void uploads_init(struct traffic *t)
{
	t->bodies.limit = body_memory_limit(t->settings->memory_mb);
	t->body_gate = (struct http_body_gate){
		.reserve = reserve,
		.release = release,
		.accept = accept_body,
		.write_refusal = write_refusal,
		.body_time_s = body_time_s,
		.priv = t,
	};
	t->caller_server.body_gate = &t->body_gate;
	t->own_server.body_gate = &t->body_gate;
}

/*
 * uploads_deduct_receive_time() takes the time for which a body was received
 * off the caller's time limit, which counts from the head on.
 */
void uploads_deduct_receive_time(const struct http_conn *c,
				 struct request_info *call)
{
	uint32_t ms = (uint32_t)lround(http_conn_body_s(c) * 1000);

	if (!call->has_time_left)
		return;
	call->body_ms = MIN(ms, call->time_left_ms);
	call->time_left_ms -= call->body_ms;
}

/* uploads_write_metrics() writes the memory that bodies take. */
void uploads_write_metrics(struct buf *out, const struct body_memory *m)
{
	buf_printf(out,
		   "body_bytes %zu\nbody_bytes_peak %zu\nbody_bytes_limit "
		   "%zu\nbodies_refused %" G_GUINT64_FORMAT "\n",
		   m->used, m->peak, m->limit, m->refused);
}
