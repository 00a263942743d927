#include <errno.h>
#include <string.h>

#include "http/client.h"
#include "http/socket.h"
#include "tools/fetch.h"

struct exchange {
	struct http_client http;
	struct ev_loop *loop;
	struct buf *body;
	int result; /* HTTP status or -errno */
};

/* Accepts any response head. */
static enum http_match judge(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* Stores the status and the body, and ends the wait. */
static void on_response(void *priv, struct http_message *m)
{
	struct exchange *x = priv;

	x->result = (int)m->status;
	buf_add_lstr(x->body, buf_lstr(&m->body));
	http_message_free(m);
	ev_break(x->loop, EVBREAK_ALL);
}

/* Stores the error and ends the wait. */
static void on_failed(void *priv, int err, bool sent)
{
	struct exchange *x = priv;

	x->result = err;
	ev_break(x->loop, EVBREAK_ALL);
}

static const struct http_client_ops ops = {
	.match = judge, .response = on_response, .failed = on_failed};

/*
 * fetch() sends a request without a body to "a.b.c.d:port", waits for the
 * response and appends its body to `body`. Returns the HTTP status or a
 * negative errno.
 */
int fetch(const char *addr, const char *method, const char *target,
	  int timeout_ms, struct buf *body)
{
	struct http_limits limits = {.head_max = 65536, .body_max = 16 << 20};
	struct exchange x = {.body = body, .result = -EIO};
	struct buf head = {0};
	struct sockaddr_in sa;
	int rc = socket_parse_addr(addr, &sa);

	if (rc)
		return rc;
	x.loop = ev_loop_new(EVFLAG_NOENV);
	rc = http_client_open(&x.http, x.loop, &sa, timeout_ms / 1000.0, limits,
			      &ops, &x);
	if (rc == 0) {
		buf_printf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method,
			   target, addr);
		if (strcmp(method, "GET"))
			buf_add_lstr(&head, LSTR("Content-Length: 0\r\n"));
		buf_add_lstr(&head, LSTR("\r\n"));
		http_client_send(&x.http, buf_lstr(&head), timeout_ms / 1000.0,
				 false);
		ev_run(x.loop, 0);
		http_client_close(&x.http);
		buf_free(&head);
		rc = x.result;
	}
	ev_loop_destroy(x.loop);
	return rc;
}
