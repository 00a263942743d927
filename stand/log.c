#include <string.h>

#include "stand/log.h"

enum { LENGTH_BYTES = 4 };

/* Frees a struct log_newest. */
static void free_newest(gpointer p)
{
	struct log_newest *n = p;

	g_bytes_unref(n->value);
	g_free(n);
}

/* Releases a record. */
static void free_bytes(gpointer p)
{
	g_bytes_unref(p);
}

/* log_part_new() returns an empty partition. */
struct log_part *log_part_new(bool keyed)
{
	struct log_part *p = g_new0(struct log_part, 1);

	p->keyed = keyed;
	p->records = g_ptr_array_new_with_free_func(free_bytes);
	p->newest = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					  free_bytes, free_newest);
	p->producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

/* Copies the newest record of one key to another table. */
static void copy_newest(gpointer key, gpointer value, gpointer to)
{
	const struct log_newest *n = value;
	struct log_newest *copy = g_memdup2(n, sizeof(*n));

	g_bytes_ref(n->value);
	g_hash_table_insert(to, g_bytes_ref(key), copy);
}

/* Copies one producer to another table. */
static void copy_producer(gpointer key, gpointer value, gpointer to)
{
	g_hash_table_insert(to, g_strdup(key),
			    g_memdup2(value, sizeof(struct log_producer)));
}

/* log_part_copy() returns a copy that shares no mutable state with p. */
struct log_part *log_part_copy(const struct log_part *p)
{
	struct log_part *copy = log_part_new(p->keyed);

	copy->first = p->first;
	for (guint i = 0; i < p->records->len; i++)
		g_ptr_array_add(copy->records,
				g_bytes_ref(g_ptr_array_index(p->records, i)));
	g_hash_table_foreach(p->newest, copy_newest, copy->newest);
	g_hash_table_foreach(p->producers, copy_producer, copy->producers);
	return copy;
}

/* log_end() returns the offset of the next record. */
uint64_t log_end(const struct log_part *p)
{
	return p->first + p->records->len;
}

/* log_newest() returns the newest record of a key, or NULL. */
const struct log_newest *log_newest(const struct log_part *p, struct lstr key)
{
	GBytes *bytes = g_bytes_new(key.ptr, key.len);
	const struct log_newest *n = g_hash_table_lookup(p->newest, bytes);

	g_bytes_unref(bytes);
	return n;
}

/* Decodes the big-endian length of a record. */
static uint32_t read_length(const char *s)
{
	const unsigned char *p = (const unsigned char *)s;

	return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 |
	       (uint32_t)p[2] << 8 | p[3];
}

/* Whether the body consists of complete records. */
static bool is_well_formed(struct lstr body)
{
	size_t at = 0;

	while (at + LENGTH_BYTES <= body.len) {
		at += LENGTH_BYTES + read_length(body.ptr + at);
		if (at > body.len)
			return false;
	}
	return at == body.len;
}

/* Updates the newest record of its key; a record without value removes it. */
static void update_newest(struct log_part *p, const char *rec, size_t n,
			  uint64_t offset)
{
	size_t klen = n ? (unsigned char)rec[0] : 0;
	struct log_newest *e;
	GBytes *key;

	if (n < 1 + klen)
		return;
	key = g_bytes_new(rec + 1, klen);
	if (n == 1 + klen) {
		g_hash_table_remove(p->newest, key);
		g_bytes_unref(key);
		return;
	}
	e = g_new0(struct log_newest, 1);
	e->offset = offset;
	e->value = g_bytes_new(rec + 1 + klen, n - 1 - klen);
	g_hash_table_replace(p->newest, key, e);
}

/*
 * Checks the epoch and sequence number of an append. Sets *repeat if the append
 * was done before; pos then gets its first outcome.
 */
static enum log_outcome check_producer(struct log_part *p,
				       const struct log_condition *c,
				       struct log_producer **out,
				       struct log_position *pos, bool *repeat)
{
	struct log_producer *pr =
		g_hash_table_lookup(p->producers, c->producer);

	if (!pr) {
		pr = g_new0(struct log_producer, 1);
		pr->epoch = (uint64_t)c->epoch;
		pr->next_seq = (uint64_t)c->seq;
		g_hash_table_insert(p->producers, g_strdup(c->producer), pr);
	}
	*out = pr;
	if ((uint64_t)c->epoch < pr->epoch)
		return LOG_STALE_EPOCH;
	if ((uint64_t)c->epoch > pr->epoch) {
		pr->epoch = (uint64_t)c->epoch;
		pr->next_seq = (uint64_t)c->seq;
		pr->nseqs = 0;
	}
	for (unsigned i = 0; i < pr->nseqs && i < LOG_DEDUP_MAX; i++) {
		if (pr->seqs[i] != (uint64_t)c->seq)
			continue;
		*repeat = true;
		*pos = (struct log_position){pr->offsets[i], pr->ends[i]};
		return LOG_OK;
	}
	if ((uint64_t)c->seq == pr->next_seq)
		return LOG_OK;
	pos->end = pr->next_seq;
	return LOG_BAD_SEQ;
}

/* Stores the outcome of an append, to recognize a repeat of it. */
static void record_append(struct log_producer *pr, uint64_t seq,
			  const struct log_position *pos)
{
	unsigned i = pr->nseqs++ % LOG_DEDUP_MAX;

	pr->seqs[i] = seq;
	pr->offsets[i] = pos->offset;
	pr->ends[i] = pos->end;
	pr->next_seq = seq + 1;
}

/*
 * log_append() appends all records of a body if the conditions hold, else none.
 * pos gets their position, for LOG_CONFLICT the end of the partition and for
 * LOG_BAD_SEQ the expected sequence number (in `end`).
 */
enum log_outcome log_append(struct log_part *p, struct lstr body,
			    const struct log_condition *c,
			    struct log_position *pos)
{
	struct log_producer *pr = NULL;
	bool repeat = false;
	enum log_outcome rc;

	if (!is_well_formed(body))
		return LOG_MALFORMED;
	if (c->producer) {
		rc = check_producer(p, c, &pr, pos, &repeat);
		if (rc != LOG_OK || repeat)
			return rc;
	}
	pos->offset = pos->end = log_end(p);
	if (c->expected_end >= 0 && (uint64_t)c->expected_end != pos->end)
		return LOG_CONFLICT;
	for (size_t at = 0; at < body.len;) {
		size_t n = read_length(body.ptr + at);
		const char *rec = body.ptr + at + LENGTH_BYTES;

		if (p->keyed)
			update_newest(p, rec, n, log_end(p));
		g_ptr_array_add(p->records, g_bytes_new(rec, n));
		at += LENGTH_BYTES + n;
	}
	pos->end = log_end(p);
	if (pr)
		record_append(pr, (uint64_t)c->seq, pos);
	return LOG_OK;
}

/* Appends the low n bytes of v in big-endian order. */
static void add_big_endian(struct buf *out, uint64_t v, unsigned n)
{
	while (n-- > 0) {
		unsigned char byte = (unsigned char)(v >> (8 * n));

		buf_add(out, &byte, 1);
	}
}

/*
 * log_read() writes the end, the first offset and the records starting at
 * `from` to out: as many as fit in max_bytes, at least one.
 */
enum log_outcome log_read(const struct log_part *p, uint64_t from,
			  size_t max_bytes, struct buf *out)
{
	size_t begin = out->len;

	if (from < p->first || from > log_end(p))
		return LOG_OUT_OF_RANGE;
	add_big_endian(out, log_end(p), 8);
	add_big_endian(out, p->first, 8);
	for (uint64_t i = from; i < log_end(p); i++) {
		gsize n;
		const void *rec = g_bytes_get_data(
			g_ptr_array_index(p->records, i - p->first), &n);

		if (out->len - begin + n > max_bytes && i > from)
			break;
		add_big_endian(out, n, LENGTH_BYTES);
		buf_add(out, rec, n);
	}
	return LOG_OK;
}

/* log_trim() deletes the records before an offset. */
void log_trim(struct log_part *p, uint64_t before)
{
	if (before > log_end(p))
		before = log_end(p);
	if (before <= p->first)
		return;
	g_ptr_array_remove_range(p->records, 0, (guint)(before - p->first));
	p->first = before;
}

/* log_status() returns the HTTP status of a result. */
unsigned log_status(enum log_outcome rc)
{
	switch (rc) {
	case LOG_OK:
		return 200;
	case LOG_CONFLICT:
		return 412;
	case LOG_STALE_EPOCH:
	case LOG_BAD_SEQ:
		return 409;
	case LOG_OUT_OF_RANGE:
		return 410;
	case LOG_MALFORMED:
		break;
	}
	return 400;
}
