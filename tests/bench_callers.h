/* Callers of a test bench; included by tests/bench.h. */
#ifndef MP_TESTS_BENCH_CALLERS_H
#define MP_TESTS_BENCH_CALLERS_H

static inline enum http_match caller_judge(void *priv,
					   const struct http_message *m)
{
	return HTTP_MATCHED;
}

static inline void caller_response(void *priv, struct http_message *m)
{
	struct caller *c = priv;
	struct lstr after = http_find_header(m, LSTR("Retry-After"));

	c->status = m->status;
	if (after.ptr)
		c->retry_after = g_ascii_strtod(after.ptr, NULL);
	g_snprintf(c->body, sizeof(c->body), "%.*s", (int)m->body.len,
		   m->body.ptr);
	http_message_free(m);
	http_client_close(&c->http);
	c->open = false;
}

static inline void caller_failed(void *priv, int err, bool sent)
{
	struct caller *c = priv;

	c->open = false;
}

static const struct http_client_ops caller_ops = {.match = caller_judge,
						  .response = caller_response,
						  .failed = caller_failed};

static inline struct caller *bench_call_path(struct bench *b,
					     const char *method,
					     const char *path, int limit_ms)
{
	struct caller *c = g_new0(struct caller, 1);
	struct http_limits none = {0, 0};
	struct sockaddr_in sa;
	struct buf q = {0};

	c->bench = b;
	c->method = method;
	snprintf(c->id, sizeof(c->id), "call-%u", b->ids++);
	g_ptr_array_add(b->callers, c);
	socket_parse_addr(b->settings.callers, &sa);
	if (http_client_open(&c->http, b->loop, &sa, 1, none, &caller_ops, c))
		abort();
	buf_printf(&q,
		   "%s %s HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: %s\r\n"
		   "%sDeadline-Remaining-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		   method, path, c->id, b->call_headers ? b->call_headers : "",
		   limit_ms);
	c->open = true;
	http_client_send(&c->http, buf_lstr(&q), 10, false);
	buf_free(&q);
	return c;
}

static inline struct caller *bench_call(struct bench *b, const char *method,
					int limit_ms)
{
	return bench_call_path(b, method,
			       strcmp(method, "GET") ? "/POST/x" : "/GET/x",
			       limit_ms);
}

static inline void caller_disconnect(struct caller *c)
{
	c->disconnected = true;
	c->open = false;
	http_client_close(&c->http);
}

static inline bool caller_got_own_body(const struct caller *c)
{
	char want[64];

	snprintf(want, sizeof(want), "body of %s", c->id);
	return !strcmp(c->body, want);
}

#endif
