#include <ck_pr.h>

#include "common/event.h"
#include "core/retry_after.h"
#include "misc/clock.h"
#include "traffic/request.h"

/* Returns when the state of this instance was last known to be current. */
static int64_t config_updated_ms(const struct traffic *t)
{
	const struct control_view *v = t->control_view;

	return MIN((int64_t)ck_pr_load_64((const uint64_t *)&v->fresh_ms),
		   (int64_t)ck_pr_load_64((const uint64_t *)&v->config_ms));
}

/* Responds without a request state; 503 gets a Retry-After. */
static void respond(struct traffic *t, struct http_conn *c,
		    struct http_message *m, const struct request_info *call,
		    unsigned status)
{
	struct buf headers = {0};

	exchange_write_error_headers(
		&headers, call->id,
		status == 503 ? retry_after_default_s(g_rand_double(t->rand))
			      : 0);
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = buf_lstr(&headers)});
	buf_free(&headers);
	http_message_free(m);
}

/* Returns the HTTP status that tells a caller why a request may not run. */
static unsigned status_of(enum access_status a)
{
	switch (a) {
	case ACCESS_NO_ROUTE:
		return 404;
	case ACCESS_UNKNOWN_KEY:
		return 401;
	default:
		return 503;
	}
}

/* request_access() decides whether a request may run. */
struct access request_access(const struct traffic *t,
			     const struct request_info *call)
{
	struct access_query q = {.host = call->host,
				 .path = call->path,
				 .key = call->key,
				 .key_repeated = call->key_repeated};

	return access_decide(t->config, &q, clock_ms() - config_updated_ms(t));
}

/*
 * request_respond_denied() responds to a request that may not run. The log has
 * the reason, never the key.
 */
void request_respond_denied(struct traffic *t, struct http_conn *c,
			    struct http_message *m,
			    const struct request_info *call,
			    const struct access *a)
{
	unsigned status = status_of(a->status);

	if (a->by_key)
		t->counters.unauthorized++;
	else if (t->config)
		t->counters.no_route++;
	else
		t->counters.no_config++;
	mp_event(a->by_key ? EV_REQUEST_UNAUTHORIZED : EV_REQUEST_NO_ROUTE,
		 G_LOG_LEVEL_INFO,
		 "id=%.*s status=%u version=%" G_GUINT64_FORMAT
		 " news_age_ms=%" G_GINT64_FORMAT " %s=%s",
		 (int)call->id.len, call->id.ptr, status,
		 t->config ? t->config->version : 0,
		 clock_ms() - config_updated_ms(t), a->by_key ? "key" : "route",
		 a->reason);
	respond(t, c, m, call, status);
}
