#include "core/quarantine.h"

/* quarantine_init() makes an empty one. */
void quarantine_init(struct quarantine *q)
{
	q->verdicts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
}

static struct verdict *find(const struct quarantine *q, uint64_t digest)
{
	return g_hash_table_lookup(q->verdicts, &digest);
}

/* quarantine_set() takes over a verdict in the place of an earlier one. */
void quarantine_set(struct quarantine *q, const struct verdict *v)
{
	struct verdict *copy;

	if (v->kind == VERDICT_CLEAR) {
		g_hash_table_remove(q->verdicts, &v->digest);
		return;
	}
	copy = g_new(struct verdict, 1);
	*copy = *v;
	g_hash_table_replace(q->verdicts, &copy->digest, copy);
}

/* quarantine_kind() tells what is held against a request. */
enum verdict_kind quarantine_kind(const struct quarantine *q, uint64_t digest)
{
	const struct verdict *v = find(q, digest);

	return v ? v->kind : VERDICT_CLEAR;
}

/* quarantine_left_s() tells in how many seconds a refused one is tried. */
double quarantine_left_s(const struct quarantine *q, uint64_t digest,
			 int64_t now_ms)
{
	const struct verdict *v = find(q, digest);

	return v && v->until_ms > now_ms ? (double)(v->until_ms - now_ms) / 1000
					 : 0;
}

/* quarantine_take_trial() tells whether this copy is the one to be tried. */
bool quarantine_take_trial(struct quarantine *q, uint64_t digest)
{
	struct verdict *v = find(q, digest);

	if (!v || v->kind != VERDICT_TRIAL)
		return false;
	v->kind = VERDICT_REFUSE;
	return true;
}

/* quarantine_note_answer() remembers that a server has answered a request. */
void quarantine_note_answer(struct quarantine *q, uint64_t digest)
{
	q->answered[digest % ANSWERED_SLOTS] = digest;
}

/*
 * quarantine_take_answer() tells whether an end is not to be held against a
 * request, as it was answered lately. Many copies of a popular one may be at
 * servers that end together for a reason of their own. One answer outweighs
 * one end.
 */
bool quarantine_take_answer(struct quarantine *q, uint64_t digest)
{
	uint64_t *slot = &q->answered[digest % ANSWERED_SLOTS];
	bool answered = digest && *slot == digest;

	if (answered)
		*slot = 0;
	return answered;
}
