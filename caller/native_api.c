#include <stdlib.h>
#include <string.h>

#include "caller/native_api.h"
#include "conf/build.h"
#include "core/retry_after.h"
#include "misc/clock.h"
#include "traffic/metrics.h"
#include "traffic/request.h"
#include "traffic/workspace_metrics.h"

/* Retry-After of an unknown outcome; callers retry with the same key. */
static const double UNKNOWN_RETRY_AFTER_S = 2;

#define H_REQUEST_ID	  LSTR("X-Request-Id")
#define H_IDEMPOTENCY_KEY LSTR("Idempotency-Key")

static const char *const outcome_names[] = {"done", "not-run", "unknown"};

/* Maps a response's status to the outcome for the caller. */
static enum call_outcome outcome_from_status(unsigned status)
{
	if (status / 100 == 2)
		return CALL_DONE;
	if (status == 503 || status / 100 == 4)
		return CALL_NOT_RUN;
	return CALL_UNKNOWN;
}

/* Writes the headers that every response to a call carries. */
static void write_outcome(struct buf *out, struct lstr id, enum call_outcome oc)
{
	buf_printf(out, "X-Outcome: %s\r\n%s: %.*s\r\n", outcome_names[oc],
		   H_REQUEST_ID.ptr, (int)id.len, id.ptr);
}

/* Writes the headers of a response that the instance generates. */
static void write_local_outcome(struct buf *out, struct lstr id,
				unsigned status, double retry_after_s)
{
	enum call_outcome oc = outcome_from_status(status);

	write_outcome(out, id, oc);
	if (oc == CALL_UNKNOWN)
		retry_after_s = UNKNOWN_RETRY_AFTER_S;
	if (retry_after_s > 0)
		buf_printf(out, "Retry-After: %.3f\r\n", retry_after_s);
}

/* Writes the headers added to a backend server's response. */
static void write_server_outcome(struct buf *out, struct lstr id,
				 const struct http_message *response)
{
	write_outcome(out, id, outcome_from_status(response->status));
}

/* Returns the Idempotency-Key, to be freed by the caller, or NULL. */
static char *idempotency_key(const struct http_message *m)
{
	struct lstr key = http_find_header(m, H_IDEMPOTENCY_KEY);

	return key.len ? g_strndup(key.ptr, key.len) : NULL;
}

/* Stores the outcome of a call for later calls with the same key. */
static void record_outcome(struct request *r, unsigned status, struct lstr body)
{
	char *key = idempotency_key(r->message);

	if (!key)
		return;
	dedup_end(&r->traffic->dedup, r->service->name, key,
		  outcome_from_status(status), body);
	g_free(key);
}

static const struct caller_protocol native_protocol = {
	write_local_outcome, write_server_outcome, record_outcome};

/* Sends a reply. */
static void reply(struct http_conn *c, unsigned status, struct lstr headers,
		  struct lstr body)
{
	http_conn_reply(c, &(struct http_reply){.status = status,
						.headers = headers,
						.body = body});
}

/* Rejects a call before a route or a backend server is selected. */
static void reject_call(struct http_conn *c, unsigned status, struct lstr id,
			const char *why)
{
	struct buf headers = {0}, body = {0};

	write_local_outcome(&headers, id, status,
			    status == 503 ? RETRY_AFTER_DEFAULT_MS / 1000.0
					  : 0);
	buf_printf(&body, "{\"error\":\"%s\"}", why);
	reply(c, status, buf_lstr(&headers), buf_lstr(&body));
	buf_free(&headers);
	buf_free(&body);
}

/* GET /v1/entries: lists the entry instances. */
static void handle_entries(struct traffic *t, struct http_conn *c)
{
	struct buf body = {0};
	bool first = true;

	buf_add_lstr(&body, LSTR("{\"entries\":["));
	for (guint i = 0; t->peers.named && i < t->peers.named->len; i++) {
		const struct peer_endpoint *p =
			&g_array_index(t->peers.named, struct peer_endpoint, i);

		if (!*p->own_addr)
			continue;
		buf_printf(&body,
			   "%s{\"name\":\"%s\",\"addr\":\"%s\",\"dc\":\"%s\"}",
			   first ? "" : ",", p->name, p->own_addr, p->dc);
		first = false;
	}
	buf_printf(&body, "],\"ttl_s\":%g}", t->bounds.directory_keep_s);
	reply(c, 200, LSTR("Content-Type: application/json\r\n"),
	      buf_lstr(&body));
	buf_free(&body);
}

/* GET /admin/metrics: returns the metrics as text. */
static void handle_metrics(struct traffic *t, struct http_conn *c)
{
	struct buf body = {0};

	metrics_write(&body, t);
	reply(c, 200, LSTR("Content-Type: text/plain\r\n"), buf_lstr(&body));
	buf_free(&body);
}

/* GET /admin/workspaces: returns what callers of each workspace got. */
static void handle_workspaces(struct traffic *t, struct http_conn *c)
{
	struct buf body = {0};

	workspace_metrics_write_table(&body, t);
	reply(c, 200, LSTR("Content-Type: text/plain\r\n"), buf_lstr(&body));
	buf_free(&body);
}

/* Parses a call's headers. Returns the reason to reject it, or NULL. */
static const char *parse_headers(const struct http_message *m,
				 const struct service_opts *s,
				 struct request_info *call, unsigned *status)
{
	struct lstr tenant = http_find_header(m, LSTR("X-Tenant"));
	struct lstr deadline = http_find_header(m, LSTR("X-Deadline-Ms"));
	char text[16] = "";
	long ms;

	*status = 400;
	if (!call->id.len)
		return "X-Request-Id is required";
	if (!tenant.ptr || !lstr_eq(tenant, lstr0(s->tenant))) {
		*status = 403;
		return "service of another tenant";
	}
	call->caller = tenant;
	if (s->protected_action && !http_find_header(m, H_IDEMPOTENCY_KEY).len)
		return "protected action needs an Idempotency-Key";
	if (!deadline.ptr)
		return NULL;
	memcpy(text, deadline.ptr, MIN(deadline.len, sizeof(text) - 1));
	ms = strtol(text, NULL, 10);
	if (ms <= 0 || ms > INT32_MAX)
		return "bad X-Deadline-Ms";
	call->has_time_left = true;
	call->time_left_ms = (uint32_t)ms;
	return NULL;
}

/*
 * Replies to a call whose key is known with the first call's outcome, since it
 * must not be executed twice. Returns whether the key is known.
 */
static bool reply_duplicate(struct traffic *t, struct http_conn *c,
			    const struct service_opts *s, struct lstr id,
			    const char *key)
{
	struct dedup_result seen = {0};
	struct buf headers = {0};

	if (dedup_begin(&t->dedup, s->name, key, &seen))
		return false;
	if (seen.state == DEDUP_DONE && seen.body) {
		write_outcome(&headers, id, CALL_DONE);
		reply(c, 200, buf_lstr(&headers),
		      (struct lstr){seen.body, seen.len});
		buf_free(&headers);
	} else if (seen.state == DEDUP_DONE) {
		reject_call(c, 504, id,
			    "the first call's answer isn't kept any more");
	} else {
		reject_call(c, 504, id,
			    "first call with this key has no outcome");
	}
	g_free(seen.body);
	return true;
}

/* Validates a call and starts the request. */
static void handle_call(struct traffic *t, struct http_conn *c,
			struct http_message *m, const struct service_opts *s,
			struct request_info *call)
{
	const struct route *route;
	const char *why;
	unsigned status;
	char *key;
	bool duplicate;

	why = parse_headers(m, s, call, &status);
	if (why) {
		reject_call(c, status, call->id, why);
		http_message_free(m);
		return;
	}
	if (!t->config) {
		reject_call(c, 503, call->id, "configuration not known yet");
		http_message_free(m);
		return;
	}
	route = config_match(t->config, call->host, call->path);
	if (!route) {
		reject_call(c, 404, call->id, "no route in this configuration");
		http_message_free(m);
		return;
	}
	key = s->protected_action ? idempotency_key(m) : NULL;
	duplicate = key && reply_duplicate(t, c, s, call->id, key);
	g_free(key);
	if (duplicate) {
		http_message_free(m);
		return;
	}
	request_start(t, c, m, call, route, NULL, &native_protocol);
}

/* Finds the service of a call. */
static void dispatch_call(struct traffic *t, struct http_conn *c,
			  struct http_message *m)
{
	struct request_info call = {.id = http_find_header(m, H_REQUEST_ID),
				    .host = LSTR(CONF_NATIVE_HOST)};
	size_t skip = strlen(CONF_NATIVE_PREFIX);
	const struct service_opts *s;
	char *name = g_strndup(m->target.ptr + skip, m->target.len - skip);

	s = t->deploy ? deploy_service(t->deploy, name) : NULL;
	/* Path prefixes of routes end with a slash, request targets don't. */
	call.path =
		lstr0(arena_printf(&m->arena, CONF_NATIVE_PREFIX "%s/", name));
	g_free(name);
	if (s) {
		handle_call(t, c, m, s, &call);
		return;
	}
	reject_call(c, 404, call.id, "no such service");
	http_message_free(m);
}

/* native_api_request() handles a request on the native API. */
void native_api_request(void *traffic, struct http_conn *c,
			struct http_message *m)
{
	struct traffic *t = traffic;
	size_t skip = strlen(CONF_NATIVE_PREFIX);
	bool call = m->target.len > skip &&
		    !memcmp(m->target.ptr, CONF_NATIVE_PREFIX, skip);

	if (call && lstr_eq(m->method, LSTR("POST"))) {
		dispatch_call(t, c, m);
		return;
	}
	if (lstr_eq(m->target, LSTR("/v1/entries")))
		handle_entries(t, c);
	else if (lstr_eq(m->target, LSTR("/admin/metrics")))
		handle_metrics(t, c);
	else if (lstr_eq(m->target, LSTR("/admin/workspaces")))
		handle_workspaces(t, c);
	else
		reject_call(c, 404, LSTR("-"), "no such path");
	http_message_free(m);
}
