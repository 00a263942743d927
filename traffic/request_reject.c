#include <ck_pr.h>

#include "common/event.h"
#include "core/retry_after.h"
#include "misc/clock.h"
#include "traffic/request.h"

enum {
	/*
	 * Without updates for this long a route or key unknown here may exist
	 * by now, and a 404 or 401 would be final for the caller.
	 */
	STALE_STATE_MS = 4000,
};

/* Returns when the state of this instance was last known to be current. */
static int64_t config_updated_ms(const struct traffic *t)
{
	const struct control_view *v = t->control_view;

	return MIN((int64_t)ck_pr_load_64((const uint64_t *)&v->fresh_ms),
		   (int64_t)ck_pr_load_64((const uint64_t *)&v->config_ms));
}

/* Returns whether what the configuration lacks doesn't exist. */
static bool config_is_current(const struct traffic *t)
{
	return t->config && clock_ms() - config_updated_ms(t) < STALE_STATE_MS;
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

/*
 * request_respond_no_route() responds to a request without a matching route:
 * 404 if the configuration is known to be current, else 503.
 */
void request_respond_no_route(struct traffic *t, struct http_conn *c,
			      struct http_message *m,
			      const struct request_info *call)
{
	bool is_current = config_is_current(t);
	unsigned status = is_current ? 404 : 503;

	if (t->config)
		t->counters.no_route++;
	else
		t->counters.no_config++;
	mp_event(EV_REQUEST_NO_ROUTE, G_LOG_LEVEL_INFO,
		 "id=%.*s status=%u version=%" G_GUINT64_FORMAT
		 " news_age_ms=%" G_GINT64_FORMAT,
		 (int)call->id.len, call->id.ptr, status,
		 t->config ? t->config->version : 0,
		 clock_ms() - config_updated_ms(t));
	respond(t, c, m, call, status);
}

/*
 * request_authorize() identifies the caller's workspace by its key. Returns
 * false if the route needs a key and the caller presents no valid one.
 */
bool request_authorize(const struct traffic *t, const struct route *route,
		       const struct request_info *call,
		       const struct workspace **workspace)
{
	const struct workspaces *w = &t->config->workspaces;

	*workspace = NULL;
	if (!w->required || route->auth_exempt)
		return true;
	if (!call->key_repeated)
		*workspace = workspaces_find(w, call->key);
	return *workspace != NULL;
}

/*
 * request_respond_unauthorized() responds to a request without a valid key: 401
 * if the configuration is known to be current, else 503.
 */
void request_respond_unauthorized(struct traffic *t, struct http_conn *c,
				  struct http_message *m,
				  const struct request_info *call)
{
	unsigned status = config_is_current(t) ? 401 : 503;

	t->counters.unauthorized++;
	mp_event(EV_REQUEST_UNAUTHORIZED, G_LOG_LEVEL_INFO,
		 "id=%.*s status=%u version=%" G_GUINT64_FORMAT
		 " news_age_ms=%" G_GINT64_FORMAT " key=%s",
		 (int)call->id.len, call->id.ptr, status, t->config->version,
		 clock_ms() - config_updated_ms(t),
		 call->key_repeated ? "repeated"
		 : call->key.len    ? "unknown"
				    : "missing");
	respond(t, c, m, call, status);
}
