#include <inttypes.h>
#include <string.h>

#include "common/event.h"
#include "control/crash_record.h"
#include "misc/backoff.h"

/* Outages of the store last seconds, and nothing waits for the record. */
enum { RETRY_MS = 1000, RETRY_MAX_MS = 8000 };

/*
 * crash_record_batch() adds the record of a verdict, or deletes it if the
 * request was answered.
 */
void crash_record_batch(struct buf *batch, const struct peer_info *self,
			const struct crash_notice *notice)
{
	struct buf value = {0};
	char key[32];

	g_snprintf(key, sizeof(key), "quarantine-%016" PRIx64, notice->digest);
	if (notice->kind == CRASH_NOTICE_QUARANTINE)
		gossip_write_crashes(&value, self, notice, 1);
	store_batch_add(batch, lstr0(key), buf_lstr(&value));
	buf_free(&value);
}

/* Writes the first pending record. */
static void next_call(struct crash_record *r)
{
	const struct crash_notice *notice = g_queue_peek_head(&r->pending);
	struct buf batch = {0};

	if (!notice)
		return;
	crash_record_batch(&batch, r->self, notice);
	store_append_batch(&r->store, STORE_TOPIC_MEMBERS, buf_lstr(&batch),
			   NULL);
	buf_free(&batch);
}

static void on_retry(struct ev_loop *loop, ev_timer *t, int revents)
{
	next_call(t->data);
}

static void call_later(struct crash_record *r, int ms)
{
	ev_timer_stop(r->loop, &r->retry);
	ev_timer_set(&r->retry, ms / 1000.0, 0);
	ev_timer_start(r->loop, &r->retry);
}

/* Continues with the next record, or retries this one after a failure. */
static void on_done(void *priv, const struct store_result *res)
{
	struct crash_record *r = priv;

	if (res->err) {
		if (r->failures++ == 0)
			mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
				 "what=quarantine err=%s",
				 g_strerror(-res->err));
		call_later(r, backoff_ms(r->failures, RETRY_MS, RETRY_MAX_MS,
					 g_random_double()));
		return;
	}
	if (r->failures)
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "what=quarantine failures=%u", r->failures);
	r->failures = 0;
	g_free(g_queue_pop_head(&r->pending));
	/* Not from within the callback of the call that just ended. */
	if (!g_queue_is_empty(&r->pending))
		call_later(r, 0);
}

/*
 * crash_record_is_pending() returns whether a write for the request is pending.
 */
bool crash_record_is_pending(const struct crash_record *r, uint64_t digest)
{
	for (const GList *l = r->pending.head; l; l = l->next) {
		const struct crash_notice *notice = l->data;

		if (notice->digest == digest)
			return true;
	}
	return false;
}

/*
 * crash_record_put() queues the write of a verdict, or its deletion if the
 * request was answered.
 */
void crash_record_put(struct crash_record *r, const struct crash_notice *notice)
{
	bool idle = g_queue_is_empty(&r->pending);

	g_queue_push_tail(&r->pending, g_memdup2(notice, sizeof(*notice)));
	if (idle)
		call_later(r, 0);
}

/*
 * crash_record_start() initializes the channel; it connects on the first write.
 */
void crash_record_start(struct crash_record *r, struct ev_loop *loop,
			struct store_endpoint *store,
			const struct peer_info *self)
{
	memset(r, 0, sizeof(*r));
	r->loop = loop;
	r->self = self;
	g_queue_init(&r->pending);
	ev_init(&r->retry, on_retry);
	r->retry.data = r;
	store_open(&r->store, loop, store, on_done, r);
}
