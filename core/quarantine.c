#include "core/quarantine.h"

/* Initializes an empty quarantine. */
void quarantine_init(struct quarantine *q)
{
	q->verdicts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
}

/* Returns the verdict on a request, or NULL. */
static struct verdict *find(const struct quarantine *q, uint64_t digest)
{
	return g_hash_table_lookup(q->verdicts, &digest);
}

/* Sets the verdict on a request, which replaces an earlier one. */
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

/* Returns the verdict on a request. */
enum verdict_kind quarantine_kind(const struct quarantine *q, uint64_t digest)
{
	const struct verdict *v = find(q, digest);

	return v ? v->kind : VERDICT_CLEAR;
}

/* Returns the seconds until the quarantine period ends; 0: not known. */
double quarantine_left_s(const struct quarantine *q, uint64_t digest,
			 int64_t now_ms)
{
	const struct verdict *v = find(q, digest);

	return v && v->until_ms > now_ms ? (double)(v->until_ms - now_ms) / 1000
					 : 0;
}

/* Returns whether this copy may be sent as the trial; true only once. */
bool quarantine_take_trial(struct quarantine *q, uint64_t digest)
{
	struct verdict *v = find(q, digest);

	if (!v || v->kind != VERDICT_TRIAL)
		return false;
	v->kind = VERDICT_REFUSE;
	return true;
}

/* Remembers that a server has answered a request. */
void quarantine_note_answer(struct quarantine *q, uint64_t digest)
{
	q->answered[digest % ANSWERED_SLOTS] = digest;
}

/*
 * Returns whether a request was answered recently, so that a crash isn't held
 * against it, and forgets that answer: one answer outweighs one crash. Many
 * copies of a popular request may be at servers that stop together for another
 * reason.
 */
bool quarantine_take_answer(struct quarantine *q, uint64_t digest)
{
	uint64_t *slot = &q->answered[digest % ANSWERED_SLOTS];
	bool answered = digest && *slot == digest;

	if (answered)
		*slot = 0;
	return answered;
}
