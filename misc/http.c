#include <errno.h>
#include <string.h>
#include <strings.h>

#include "misc/http.h"

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	g_string_append_len(((struct http_reply *)ctx)->body, p,
			    (gssize)(size * n));
	return size * n;
}

/* Copies the value of header name from line into dst, if it is that one. */
static void take_header(const char *line, size_t len, const char *name,
			char *dst, size_t dst_len)
{
	size_t nlen = strlen(name);

	if (len <= nlen + 1 || strncasecmp(line, name, nlen) ||
	    line[nlen] != ':')
		return;
	const char *v = line + nlen + 1;
	size_t vlen = len - nlen - 1;

	while (vlen && (*v == ' ' || *v == '\t'))
		v++, vlen--;
	while (vlen && (v[vlen - 1] == '\r' || v[vlen - 1] == '\n'))
		vlen--;
	if (vlen >= dst_len)
		vlen = dst_len - 1;
	memcpy(dst, v, vlen);
	dst[vlen] = '\0';
}

static size_t on_header(char *p, size_t size, size_t n, void *ctx)
{
	struct http_reply *r = ctx;
	size_t len = size * n;

	take_header(p, len, "X-Load", r->header_load, sizeof(r->header_load));
	take_header(p, len, "X-Ran", r->header_ran, sizeof(r->header_ran));
	take_header(p, len, "X-Request-Id", r->header_req,
		    sizeof(r->header_req));
	take_header(p, len, "X-Outcome", r->header_outcome,
		    sizeof(r->header_outcome));
	take_header(p, len, "ETag", r->header_etag, sizeof(r->header_etag));
	return len;
}

/* http_reply_init() prepares an empty reply. */
void http_reply_init(struct http_reply *r)
{
	memset(r, 0, sizeof(*r));
	r->body = g_string_new(NULL);
}

/* http_reply_clear() frees the body. */
void http_reply_clear(struct http_reply *r)
{
	g_string_free(r->body, TRUE);
	r->body = NULL;
}

/* http_handle() makes an easy handle with the options all our clients use. */
CURL *http_handle(void)
{
	CURL *c = curl_easy_init();

	if (!c)
		return NULL;
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c, CURLOPT_TCP_KEEPALIVE, 1L);
	return c;
}

/*
 * http_prepare() sets c up for one request whose answer goes into r; the
 * caller runs it (curl_easy_perform or a multi handle) and then calls
 * http_finish(). body and headers must live until then.
 */
void http_prepare(CURL *c, const char *method, const char *url,
		  const char *body, size_t body_len, struct curl_slist *headers,
		  long timeout_ms, struct http_reply *r)
{
	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(c, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c, CURLOPT_HEADERDATA, r);
	if (body) {
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)body_len);
	} else {
		curl_easy_setopt(c, CURLOPT_POSTFIELDS, NULL);
		curl_easy_setopt(c, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	}
}

/* http_finish() classifies a finished transfer, as http_do() returns. */
int http_finish(CURL *c, CURLcode code, struct http_reply *r)
{
	r->code = code;
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &r->status);
	if (r->code == CURLE_OK)
		return 0;
	if (r->code == CURLE_COULDNT_CONNECT)
		return -ECONNREFUSED;
	if (r->code == CURLE_OPERATION_TIMEDOUT)
		return -ETIMEDOUT;
	return -EIO;
}

/*
 * http_do() runs one request and fills r. Returns 0 when an answer came
 * (any status), -ETIMEDOUT when the time limit passed, -ECONNREFUSED when
 * no connection could be made (so the request was surely not sent), and
 * -EIO for anything else.
 */
int http_do(CURL *c, const char *method, const char *url, const char *body,
	    size_t body_len, struct curl_slist *headers, long timeout_ms,
	    struct http_reply *r)
{
	http_prepare(c, method, url, body, body_len, headers, timeout_ms, r);
	return http_finish(c, curl_easy_perform(c), r);
}
