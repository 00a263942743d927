#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "backend/client.h"

static void share_lock(CURL *c, curl_lock_data data, curl_lock_access acc,
		       void *ctx)
{
	struct backend *b = ctx;

	pthread_mutex_lock(&b->share_locks[data]);
}

static void share_unlock(CURL *c, curl_lock_data data, void *ctx)
{
	struct backend *b = ctx;

	pthread_mutex_unlock(&b->share_locks[data]);
}

/*
 * backend_init() sets up the shared connection cache, so that calls from
 * every traffic thread reuse open connections to the workers instead of
 * paying a new connection (about 1 ms in the brief) each time.
 */
int backend_init(struct backend *b)
{
	for (int i = 0; i < CURL_LOCK_DATA_LAST; i++)
		pthread_mutex_init(&b->share_locks[i], NULL);
	pthread_mutex_init(&b->idle_lock, NULL);
	b->idle = g_ptr_array_new();
	b->share = curl_share_init();
	if (!b->share)
		return -ENOMEM;
	curl_share_setopt(b->share, CURLSHOPT_LOCKFUNC, share_lock);
	curl_share_setopt(b->share, CURLSHOPT_UNLOCKFUNC, share_unlock);
	curl_share_setopt(b->share, CURLSHOPT_USERDATA, b);
	curl_share_setopt(b->share, CURLSHOPT_SHARE, CURL_LOCK_DATA_CONNECT);
	return 0;
}

/* backend_free() closes every pooled handle and the share. */
void backend_free(struct backend *b)
{
	for (guint i = 0; i < b->idle->len; i++)
		curl_easy_cleanup(b->idle->pdata[i]);
	g_ptr_array_free(b->idle, TRUE);
	curl_share_cleanup(b->share);
}

static CURL *take_handle(struct backend *b)
{
	CURL *c = NULL;

	pthread_mutex_lock(&b->idle_lock);
	if (b->idle->len)
		c = g_ptr_array_steal_index_fast(b->idle, b->idle->len - 1);
	pthread_mutex_unlock(&b->idle_lock);
	if (!c) {
		c = http_handle();
		if (c)
			curl_easy_setopt(c, CURLOPT_SHARE, b->share);
	}
	return c;
}

static void give_handle(struct backend *b, CURL *c)
{
	pthread_mutex_lock(&b->idle_lock);
	g_ptr_array_add(b->idle, c);
	pthread_mutex_unlock(&b->idle_lock);
}

/*
 * backend_call() forwards call and fills r with the worker's answer. The
 * outcome is CALL_NOT_RUN only when it is certain: the worker said it did
 * not run the call (X-Ran: 0), or no connection could be made. A call that
 * was sent and then timed out or lost its connection is CALL_UNKNOWN.
 */
enum call_outcome backend_call(struct backend *b,
			       const struct backend_call *call,
			       struct http_reply *r)
{
	char url[96], hdr[3][128];
	struct curl_slist *h = NULL;
	CURL *c = take_handle(b);
	int ret;

	if (!c)
		return CALL_NOT_RUN;
	snprintf(url, sizeof(url), "http://%s/v1/work", call->addr);
	snprintf(hdr[0], sizeof(hdr[0]), "X-Request-Id: %s", call->req_id);
	snprintf(hdr[1], sizeof(hdr[1]), "X-Deadline-Ms: %ld",
		 call->deadline_ms);
	h = curl_slist_append(h, hdr[0]);
	h = curl_slist_append(h, hdr[1]);
	if (call->key) {
		snprintf(hdr[2], sizeof(hdr[2]), "Idempotency-Key: %s",
			 call->key);
		h = curl_slist_append(h, hdr[2]);
	}
	ret = http_do(c, "POST", url, call->body ? call->body : "",
		      call->body_len, h, call->deadline_ms, r);
	curl_slist_free_all(h);
	give_handle(b, c);
	if (ret == -ECONNREFUSED)
		return CALL_NOT_RUN;
	if (ret)
		return CALL_UNKNOWN;
	if (!strcmp(r->header_ran, "0"))
		return CALL_NOT_RUN;
	if (r->status == 200 && !strcmp(r->header_ran, "1"))
		return CALL_DONE;
	return CALL_UNKNOWN;
}
