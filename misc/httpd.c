#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include <ck_pr.h>
#include <glib.h>
#include <unistd.h>

#include "misc/httpd.h"
#include "options/settings.h"

enum {
	HTTPD_BODY_MAX = 1 << 20,
	HTTPD_CONN_DEFAULT = 1000, /* below select()'s 1024 descriptors */
};

struct upload {
	struct httpd *owner;
	GString *body;
	struct arena arena;
};

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *data_size, void **con_cls)
{
	struct httpd *h = cls;
	struct upload *up = *con_cls;

	if (!up) {
		/* Counted from its first byte: a stop waits for it. */
		up = g_new0(struct upload, 1);
		up->owner = h;
		up->body = g_string_new(NULL);
		ck_pr_inc_uint(&h->active);
		*con_cls = up;
		return MHD_YES;
	}
	if (*data_size) {
		if (up->body->len + *data_size > HTTPD_BODY_MAX)
			return MHD_NO;
		g_string_append_len(up->body, data, (gssize)*data_size);
		*data_size = 0;
		return MHD_YES;
	}
	struct httpd_req req = {
		.conn = conn,
		.method = method,
		.url = url,
		.body = up->body->str,
		.body_len = up->body->len,
		.arena = &up->arena,
		.upload = up,
	};

	return h->handler(h->ctx, &req);
}

/* Frees a request's body and arena once its answer is gone. */
static void on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode toe)
{
	struct upload *up = *con_cls;

	if (!up)
		return;
	g_string_free(up->body, TRUE);
	arena_free(&up->arena);
	ck_pr_dec_uint(&up->owner->active);
	g_free(up);
	*con_cls = NULL;
}

/*
 * httpd_start() listens on addr (a.b.c.d:port) and serves every request
 * with handler(ctx, req), taking at most max_conns connections at once
 * (0: 1000). MHD_USE_ITC is there because httpd_quiesce() needs it in
 * some thread modes. Returns 0, -EINVAL for a bad address, or
 * -EADDRINUSE when the daemon could not start.
 */
int httpd_start(struct httpd *h, const char *addr, unsigned max_conns,
		httpd_handler handler, void *ctx)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char host[64];
	int port;

	if (addr_split(addr, host, sizeof(host), &port))
		return -EINVAL;
	inet_pton(AF_INET, host, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)port);
	h->handler = handler;
	h->ctx = ctx;
	h->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC |
			MHD_USE_ERROR_LOG,
		(uint16_t)port, NULL, NULL, on_request, h, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&sa, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)30,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1,
		MHD_OPTION_CONNECTION_LIMIT,
		max_conns ? max_conns : HTTPD_CONN_DEFAULT, MHD_OPTION_END);
	return h->daemon ? 0 : -EADDRINUSE;
}

/*
 * httpd_quiesce() stops taking new connections; open ones go on. The
 * daemon hands the listening socket back, and it must be closed here:
 * left open, the kernel would go on completing handshakes that nobody
 * serves, and those callers would hang until the stop cut them.
 */
void httpd_quiesce(struct httpd *h)
{
	if (!h->daemon)
		return;
	MHD_socket fd = MHD_quiesce_daemon(h->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

/*
 * httpd_drain() is a graceful stop: from now on every answer closes its
 * connection, no new connection is taken, and the daemon stops once no
 * request has been in progress for a short while (or wait_ms passed).
 * A request that reached us is answered, never cut.
 */
void httpd_drain(struct httpd *h, int wait_ms)
{
	enum { QUIET_MS = 50 };
	int quiet = 0;

	ck_pr_store_uint(&h->closing, 1);
	httpd_quiesce(h);
	for (int t = 0; t < wait_ms && quiet < QUIET_MS; t++) {
		quiet = ck_pr_load_uint(&h->active) ? 0 : quiet + 1;
		usleep(1000);
	}
	httpd_stop(h);
}

/* httpd_stop() waits for open connections' threads and stops. */
void httpd_stop(struct httpd *h)
{
	if (h->daemon)
		MHD_stop_daemon(h->daemon);
	h->daemon = NULL;
}

/*
 * httpd_body_object() parses the request body as a JSON object. Returns
 * it, or NULL when the body is not one; *parser owns it either way
 * (g_object_unref it).
 */
JsonObject *httpd_body_object(struct httpd_req *req, JsonParser **parser)
{
	*parser = json_parser_new();
	if (!json_parser_load_from_data(*parser, req->body,
					(gssize)req->body_len, NULL))
		return NULL;
	JsonNode *root = json_parser_get_root(*parser);

	return root && JSON_NODE_HOLDS_OBJECT(root) ? json_node_get_object(root)
						    : NULL;
}

/* httpd_arg() returns a query argument, or NULL. */
const char *httpd_arg(struct httpd_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* httpd_header() returns a request header, or NULL. */
const char *httpd_header(struct httpd_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

/*
 * httpd_answer() queues the answer: status, a body that is copied, and
 * headers as a NULL-terminated list of name, value pairs (may be NULL).
 */
enum MHD_Result httpd_answer(struct httpd_req *req, unsigned status,
			     const char *body, size_t len,
			     const char *const *headers)
{
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result ret;

	MHD_add_response_header(resp, "Content-Type", "application/json");
	if (ck_pr_load_uint(&((struct upload *)req->upload)->owner->closing))
		MHD_add_response_header(resp, "Connection", "close");
	for (const char *const *hd = headers; hd && hd[0]; hd += 2)
		MHD_add_response_header(resp, hd[0], hd[1]);
	ret = MHD_queue_response(req->conn, status, resp);
	MHD_destroy_response(resp);
	return ret;
}
