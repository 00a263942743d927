#include <string.h>

#include "platform/store.h"
#include "stand/lease.h"

static void free_key(gpointer p)
{
	g_bytes_unref(p);
}

/* lease_init() prepares an empty set of leases. */
void lease_init(struct lease *l, int ttl_ms)
{
	l->ttl_ms = ttl_ms;
	l->written_ms = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					      free_key, g_free);
}

/*
 * lease_renew() renews a lease if the append is of a backend server's entry. An
 * entry with keep=1 in the query has none, and stays until it is deleted.
 */
void lease_renew(struct lease *l, const struct query *q, struct lstr body,
		 int64_t now_ms)
{
	const char *topic = query_text(q, "topic");
	size_t klen = body.len > 4 ? (unsigned char)body.ptr[4] : 0;

	if (!topic || strcmp(topic, STORE_TOPIC_BACKENDS) ||
	    query_int(q, "keep", 0) || body.len < 5 + klen)
		return;
	g_hash_table_replace(l->written_ms, g_bytes_new(body.ptr + 5, klen),
			     g_memdup2(&now_ms, sizeof(now_ms)));
}

/* lease_restart() renews the leases of all keys of a restored partition. */
void lease_restart(struct lease *l, const struct log_part *p, int64_t now_ms)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, p->newest);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_hash_table_replace(l->written_ms, g_bytes_ref(key),
				     g_memdup2(&now_ms, sizeof(now_ms)));
}

/* Returns the length before the sequence number, which every write changes. */
static size_t prefix_before_sequence(const char *p, size_t n)
{
	static const char name[] = "sequenceNumber";
	const char *at = memmem(p, n, name, sizeof(name) - 1);

	return at ? (size_t)(at - p) : n;
}

/*
 * lease_is_repeat() returns whether an append only renews a lease: changes_only
 * is set and the entry has nothing new but its sequence number.
 */
bool lease_is_repeat(const struct lease *l, const struct log_part *p,
		     const struct query *q, struct lstr body)
{
	const char *topic = query_text(q, "topic");
	size_t klen = body.len > 4 ? (unsigned char)body.ptr[4] : 0;
	const struct log_newest *n;
	const char *value;
	gsize len;

	if (!l->changes_only || !topic || strcmp(topic, STORE_TOPIC_BACKENDS) ||
	    body.len <= 5 + klen)
		return false;
	n = log_newest(p, (struct lstr){body.ptr + 5, klen});
	if (!n)
		return false;
	value = g_bytes_get_data(n->value, &len);
	len = prefix_before_sequence(value, len);
	return len == prefix_before_sequence(body.ptr + 5 + klen,
					     body.len - 5 - klen) &&
	       !memcmp(value, body.ptr + 5 + klen, len);
}

/* lease_expire() removes entries whose lease ended; true if any. */
bool lease_expire(struct lease *l, struct log_part *p, int64_t now_ms)
{
	struct log_condition cond = {.expected_end = -1};
	bool dropped = false;
	GHashTableIter it;
	gpointer key, at;

	g_hash_table_iter_init(&it, l->written_ms);
	while (g_hash_table_iter_next(&it, &key, &at)) {
		struct log_position pos;
		struct buf rec = {0};
		gsize n;
		const void *text = g_bytes_get_data(key, &n);
		unsigned char head[] = {0, 0, (n + 1) >> 8, n + 1, n};

		if (now_ms - *(int64_t *)at < l->ttl_ms)
			continue;
		buf_add(&rec, head, sizeof(head));
		buf_add(&rec, text, n);
		log_append(p, buf_lstr(&rec), &cond, &pos);
		buf_free(&rec);
		g_hash_table_iter_remove(&it);
		dropped = true;
	}
	return dropped;
}
