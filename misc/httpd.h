/*
 * A thin helper over libmicrohttpd: it gathers a request's whole body and
 * hands the request to one callback with a context pointer, which answers
 * through httpd_answer(). Each connection has a thread of its own, so a
 * callback may block (a forwarded call, a simulated work time).
 */
#ifndef MP_MISC_HTTPD_H
#define MP_MISC_HTTPD_H

#include <stddef.h>

#include <microhttpd.h>

#include "misc/arena.h"

struct httpd_req {
	struct MHD_Connection *conn;
	const char *method;
	const char *url;
	const char *body;
	size_t body_len;
	struct arena *arena; /* lives until the answer is queued */
	void *upload;	     /* the helper's own state */
};

typedef enum MHD_Result (*httpd_handler)(void *ctx, struct httpd_req *req);

struct httpd {
	struct MHD_Daemon *daemon;
	httpd_handler handler;
	void *ctx;
	unsigned active;  /* requests begun and not yet completed, atomic */
	unsigned closing; /* answers say Connection: close, atomic */
};

int httpd_start(struct httpd *h, const char *addr, unsigned max_conns,
		httpd_handler handler, void *ctx);
void httpd_quiesce(struct httpd *h);
void httpd_drain(struct httpd *h, int wait_ms);
void httpd_stop(struct httpd *h);
const char *httpd_arg(struct httpd_req *req, const char *name);
const char *httpd_header(struct httpd_req *req, const char *name);
#include <json-glib/json-glib.h>
JsonObject *httpd_body_object(struct httpd_req *req, JsonParser **parser);
enum MHD_Result httpd_answer(struct httpd_req *req, unsigned status,
			     const char *body, size_t len,
			     const char *const *headers);

#endif
