/*
 * Client of the backend workers: forwards one call to one worker over HTTP
 * (libcurl, connections pooled through a share handle) and classifies what
 * came back into the three outcomes a caller may be told.
 */
#ifndef MP_BACKEND_CLIENT_H
#define MP_BACKEND_CLIENT_H

#include <pthread.h>

#include <curl/curl.h>
#include <glib.h>

#include "misc/http.h"

enum call_outcome {
	CALL_DONE,    /* the worker ran it and answered */
	CALL_NOT_RUN, /* surely not run: refused, or never reached it */
	CALL_UNKNOWN, /* may have run: sent, then no answer in time */
};

struct backend {
	CURLSH *share;
	pthread_mutex_t share_locks[CURL_LOCK_DATA_LAST];
	pthread_mutex_t idle_lock;
	GPtrArray *idle; /* CURL * ready for reuse */
};

struct backend_call {
	const char *addr;   /* a.b.c.d:port */
	const char *req_id; /* ours, echoed by the worker */
	const char *key;    /* idempotency key, or NULL */
	long deadline_ms;   /* time left for the call */
	const char *body;
	size_t body_len;
};

int backend_init(struct backend *b);
void backend_free(struct backend *b);
enum call_outcome backend_call(struct backend *b,
			       const struct backend_call *call,
			       struct http_reply *r);

#endif
