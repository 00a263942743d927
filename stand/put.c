#include <inttypes.h>
#include <string.h>

#include "stand/stand.h"

/* Short, as registrations are repeated anyway. */
static const double PUT_TIMEOUT_S = 1.0;

/* Accepts any response head. */
static enum http_match judge(void *priv, const struct http_message *m)
{
	return HTTP_MATCHED;
}

/* Ignores the response. */
static void on_response(void *priv, struct http_message *m)
{
	http_message_free(m);
}

/* Logs the error of a write. */
static void on_failed(void *priv, int err, bool sent)
{
	g_debug("write to store failed: %s", g_strerror(-err));
}

static const struct http_client_ops ops = {
	.match = judge, .response = on_response, .failed = on_failed};

/*
 * stand_put() writes one record of a keyed topic on behalf of a backend server
 * or the operator; an empty value deletes the key. Zero c before the first
 * call. Does nothing if an earlier write is still pending.
 */
void stand_put(struct http_client *c, struct ev_loop *loop,
	       const struct sockaddr_in *store, const char *topic,
	       struct lstr key, struct lstr value)
{
	struct http_limits limits = {.head_max = 4096, .body_max = 4096};
	uint32_t n = (uint32_t)(1 + key.len + value.len);
	unsigned char head[] = {n >> 24, n >> 16, n >> 8, n, key.len};
	struct buf b = {0};

	if (c->state == CLIENT_BUSY || c->state == CLIENT_CONNECTING)
		return;
	if (c->state == CLIENT_CLOSED &&
	    http_client_open(c, loop, store, PUT_TIMEOUT_S, limits, &ops, c))
		return;
	buf_printf(&b,
		   "POST /stand/append?topic=%s&part=0 HTTP/1.1\r\n"
		   "Host: store\r\nContent-Length: %" PRIu32 "\r\n\r\n",
		   topic, 4 + n);
	buf_add(&b, head, sizeof(head));
	buf_add_lstr(&b, key);
	buf_add_lstr(&b, value);
	http_client_send(c, buf_lstr(&b), PUT_TIMEOUT_S, false);
	buf_free(&b);
}
