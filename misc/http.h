/*
 * A thin helper over a libcurl easy handle for the request/answer pattern
 * every client here uses: one method, one URL, an optional body, a time
 * limit, and the answer's status, body and the few headers we care for.
 */
#ifndef MP_MISC_HTTP_H
#define MP_MISC_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#include <curl/curl.h>
#include <glib.h>

struct http_reply {
	long status; /* 0 when no answer came */
	GString *body;
	CURLcode code; /* CURLE_OK or why no answer came */
	char header_load[16];
	char header_ran[8];
	char header_req[64];
	char header_outcome[16];
	char header_etag[48];
};

void http_reply_init(struct http_reply *r);
void http_reply_clear(struct http_reply *r);
int http_do(CURL *c, const char *method, const char *url, const char *body,
	    size_t body_len, struct curl_slist *headers, long timeout_ms,
	    struct http_reply *r);
void http_prepare(CURL *c, const char *method, const char *url,
		  const char *body, size_t body_len, struct curl_slist *headers,
		  long timeout_ms, struct http_reply *r);
int http_finish(CURL *c, CURLcode code, struct http_reply *r);
CURL *http_handle(void);

#endif
