#include <stdbool.h>

#include "stand/append_queue.h"

/* An append is rejected if others take longer than this. */
enum { QUEUE_MAX_MS = 2000 };

/* append_queue_init() initializes the limits; the queue is off. */
void append_queue_init(struct append_queue *q, int limit_per_s)
{
	*q = (struct append_queue){.limit_per_s = limit_per_s};
	q->busy_until = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

/* Counts an append; whether it exceeds the limit of this second. */
static bool over_limit(struct append_queue *q, int64_t now_ms)
{
	if (now_ms / 1000 != q->limit_s) {
		q->limit_s = now_ms / 1000;
		q->appends = 0;
	}
	return ++q->appends > q->limit_per_s;
}

/*
 * append_queue_admit() returns the HTTP status for an append to a partition:
 * 200 with the delay of its response, 429 or 503.
 */
unsigned append_queue_admit(struct append_queue *q, const void *part,
			    int64_t now_ms, int *delay_ms)
{
	int64_t *until;

	*delay_ms = 0;
	if (over_limit(q, now_ms))
		return 429;
	if (!q->append_ms)
		return 200;
	until = g_hash_table_lookup(q->busy_until, part);
	if (!until) {
		until = g_new0(int64_t, 1);
		g_hash_table_insert(q->busy_until, (gpointer)part, until);
	}
	if (*until < now_ms)
		*until = now_ms;
	if (*until - now_ms > QUEUE_MAX_MS)
		return 503;
	*until += q->append_ms;
	*delay_ms = (int)(*until - now_ms);
	return 200;
}
