#include <string.h>

#include "core/crash_tracker.h"

enum {
	/*
	 * Crashes of different servers that lead to quarantine. One or two can
	 * happen to any request that is executed alongside the cause: of 46
	 * that were at crashed servers 9 were at two of them, as their retries
	 * went to the same servers as the cause's.
	 */
	CRASHES_MIN = 3,
	/*
	 * Delay of the decision after the last crash: by then all instances
	 * with requests at that server have noticed and reported it (a round
	 * trip of 1 to 100 ms for the check, a datagram, and its first
	 * repetition after 20 ms).
	 */
	DECISION_DELAY_MS = 50,
	/*
	 * First and longest quarantine period. After each one instance tries
	 * the request again, and the next is twice as long: a fixed server or a
	 * wrong decision is found out at the cost of at most one server per
	 * period.
	 */
	PERIOD_MS = 60 * 1000,
	PERIOD_MAX_MS = 10 * 60 * 1000,
	/* Without another crash a suspect is dropped after this. */
	SUSPECT_EXPIRY_MS = 10 * 60 * 1000,
	/* A quarantine is dropped after this time without a crash. */
	QUARANTINE_EXPIRY_MS = 60 * 60 * 1000,
	/*
	 * News of a crash arrives within this time; an answer is remembered for
	 * as long, since the news may be older.
	 */
	ANSWER_EXPIRY_MS = 10 * 1000,
	/*
	 * Cases and answers kept, at most 80 bytes each. When all servers of a
	 * service crash at once, each instance has about four requests at each.
	 */
	CASES_MAX = 512,
};

/*
 * Initializes an empty tracker; `changed` is called on each change of a case.
 */
void crash_tracker_init(struct crash_tracker *t,
			void (*changed)(void *priv, const struct crash_case *c,
					enum crash_change what, int64_t now_ms),
			void *priv)
{
	t->cases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	t->answers = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	t->changed = changed;
	t->priv = priv;
}

/* Frees the tracker's contents. */
void crash_tracker_free(struct crash_tracker *t)
{
	g_hash_table_unref(t->cases);
	g_hash_table_unref(t->answers);
}

/* Returns the case of a request, or NULL. */
static struct crash_case *find(const struct crash_tracker *t, uint64_t digest)
{
	return g_hash_table_lookup(t->cases, &digest);
}

/* Returns the case of a request, or NULL. */
const struct crash_case *crash_tracker_find(const struct crash_tracker *t,
					    uint64_t digest)
{
	return find(t, digest);
}

/* Reports a case as closed and removes it. */
static void close_case(struct crash_tracker *t, struct crash_case *c,
		       enum crash_change why, int64_t now_ms)
{
	t->changed(t->priv, c, why, now_ms);
	g_hash_table_remove(t->cases, &c->digest);
}

/* Returns whether a is evicted before b: suspects first, then the oldest. */
static bool is_evicted_before(const struct crash_case *a,
			      const struct crash_case *b)
{
	if (a->quarantined != b->quarantined)
		return b->quarantined;
	return a->last_crash_ms < b->last_crash_ms;
}

/* Evicts a case if the table is full. */
static void evict_if_full(struct crash_tracker *t, int64_t now_ms)
{
	struct crash_case *first = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(t->cases) < CASES_MAX)
		return;
	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!first || is_evicted_before(v, first))
			first = v;
	}
	close_case(t, first, CRASH_EXPIRED, now_ms);
}

/* Returns the case of a request, a new one if there is none. */
static struct crash_case *find_or_add(struct crash_tracker *t, uint64_t digest,
				      int64_t now_ms)
{
	struct crash_case *c = find(t, digest);

	if (c)
		return c;
	evict_if_full(t, now_ms);
	c = g_new0(struct crash_case, 1);
	c->digest = digest;
	g_hash_table_insert(t->cases, &c->digest, c);
	return c;
}

/* Returns whether a server's crash is held against the request. */
static bool was_at(const struct crash_case *c, uint32_t server)
{
	for (unsigned i = 0; i < c->nservers; i++) {
		if (c->servers[i] == server)
			return true;
	}
	return false;
}

/* Adds a server; if the list is full, the oldest is dropped. */
static void add_server(struct crash_case *c, uint32_t server)
{
	if (c->nservers == CRASH_SERVERS_MAX)
		memmove(c->servers, c->servers + 1,
			(CRASH_SERVERS_MAX - 1) * sizeof(*c->servers));
	else
		c->nservers++;
	c->servers[c->nservers - 1] = server;
}

/* Returns whether `a` was at each crashed server that `b` was at. */
static bool was_at_all_of(const struct crash_case *a,
			  const struct crash_case *b)
{
	for (unsigned i = 0; i < b->nservers; i++) {
		if (!was_at(a, b->servers[i]))
			return false;
	}
	return true;
}

/* Returns whether a quarantined request explains a server's crash. */
static bool is_explained(const struct crash_tracker *t, uint32_t server)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;

		if (c->quarantined && was_at(c, server))
			return true;
	}
	return false;
}

/* Removes from `c` the crashes that `culprit` explains. */
static void remove_explained(struct crash_case *c,
			     const struct crash_case *culprit)
{
	unsigned n = 0;

	for (unsigned i = 0; i < c->nservers; i++) {
		if (!was_at(culprit, c->servers[i]))
			c->servers[n++] = c->servers[i];
	}
	c->nservers = n;
	if (n < CRASHES_MIN)
		c->due_ms = 0;
}

/* Removes from all other suspects the crashes that `culprit` explains. */
static void clear_others(struct crash_tracker *t,
			 const struct crash_case *culprit, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (c->quarantined)
			continue;
		remove_explained(c, culprit);
		if (c->nservers)
			continue;
		t->changed(t->priv, c, CRASH_RELEASED, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

/* Returns the length of a quarantine period by its number, from 1 on. */
static int64_t period_ms(unsigned periods)
{
	int64_t ms = PERIOD_MS;

	for (unsigned i = 1; i < periods && ms < PERIOD_MAX_MS; i++)
		ms *= 2;
	return ms < PERIOD_MAX_MS ? ms : PERIOD_MAX_MS;
}

/* Quarantines a request and clears others of the crashes that it explains. */
static void quarantine(struct crash_tracker *t, struct crash_case *c,
		       unsigned periods, int64_t now_ms)
{
	c->quarantined = true;
	c->periods = periods;
	c->due_ms = now_ms + period_ms(periods);
	t->changed(t->priv, c, CRASH_QUARANTINED, now_ms);
	clear_others(t, c, now_ms);
}

/* Returns whether the request was answered after at_ms. */
static bool was_answered(const struct crash_tracker *t, uint64_t digest,
			 int64_t at_ms)
{
	const int64_t *answered_ms = g_hash_table_lookup(t->answers, &digest);

	return answered_ms && *answered_ms > at_ms;
}

/*
 * Adds the crash at at_ms of a server that had the request. Each server counts
 * once, no matter who reports it and how often. A crash before the request's
 * last answer, which has cleared it, doesn't count.
 */
void crash_tracker_add_crash(struct crash_tracker *t, uint64_t digest,
			     uint32_t server, int64_t at_ms, int64_t now_ms)
{
	struct crash_case *c = find(t, digest);

	if ((c && was_at(c, server)) || was_answered(t, digest, at_ms))
		return;
	if (!(c && c->quarantined) && is_explained(t, server))
		return;
	c = find_or_add(t, digest, now_ms);
	add_server(c, server);
	c->last_crash_ms = now_ms;
	if (c->quarantined) {
		clear_others(t, c, now_ms);
		return;
	}
	if (c->nservers >= CRASHES_MIN)
		c->due_ms = now_ms + DECISION_DELAY_MS;
	t->changed(t->priv, c, CRASH_SUSPECTED, now_ms);
}

/*
 * Applies another instance's decision to quarantine a request, with the number
 * of periods that it knows of.
 */
void crash_tracker_quarantine(struct crash_tracker *t, uint64_t digest,
			      unsigned periods, int64_t now_ms)
{
	struct crash_case *c = find_or_add(t, digest, now_ms);

	if (c->quarantined)
		return;
	if (!c->last_crash_ms)
		c->last_crash_ms = now_ms;
	quarantine(t, c, periods ? periods : 1, now_ms);
}

/*
 * Schedules a decision on all suspects with enough crashes: a request that made
 * them ambiguous has been cleared.
 */
static void schedule_decisions(struct crash_tracker *t, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined && c->nservers >= CRASHES_MIN && !c->due_ms)
			c->due_ms = now_ms + DECISION_DELAY_MS;
	}
}

/* Returns whether no news of a crash before an answer is on its way. */
static gboolean is_answer_old(gpointer digest, gpointer at_ms, gpointer now_ms)
{
	return *(const int64_t *)now_ms - *(const int64_t *)at_ms >=
	       ANSWER_EXPIRY_MS;
}

/* Remembers when a request was answered. */
static void remember_answer(struct crash_tracker *t, uint64_t digest,
			    int64_t at_ms, int64_t now_ms)
{
	g_hash_table_foreach_remove(t->answers, is_answer_old, &now_ms);
	if (!was_answered(t, digest, at_ms) &&
	    g_hash_table_size(t->answers) < CASES_MAX)
		g_hash_table_replace(t->answers,
				     g_memdup2(&digest, sizeof(digest)),
				     g_memdup2(&at_ms, sizeof(at_ms)));
}

/*
 * Clears a request, as a server has executed and answered it at at_ms: it
 * doesn't crash every server.
 */
void crash_tracker_add_answer(struct crash_tracker *t, uint64_t digest,
			      int64_t at_ms, int64_t now_ms)
{
	struct crash_case *c = find(t, digest);

	remember_answer(t, digest, at_ms, now_ms);
	if (!c)
		return;
	close_case(t, c, CRASH_RELEASED, now_ms);
	schedule_decisions(t, now_ms);
}

/* Returns whether another suspect was at all crashed servers of `c`. */
static bool is_ambiguous(const struct crash_tracker *t,
			 const struct crash_case *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *other = v;

		if (other != c && !other->quarantined &&
		    was_at_all_of(other, c))
			return true;
	}
	return false;
}

/* Returns a suspect whose decision is due, or NULL. */
static struct crash_case *next_due(const struct crash_tracker *t,
				   int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined && c->due_ms && c->due_ms <= now_ms)
			return c;
	}
	return NULL;
}

/*
 * Decides all suspects that are due, one after the other, as the quarantine of
 * one may clear others.
 */
void crash_tracker_decide(struct crash_tracker *t, int64_t now_ms)
{
	struct crash_case *c;

	while ((c = next_due(t, now_ms)) != NULL) {
		c->due_ms = 0;
		if (!is_ambiguous(t, c))
			quarantine(t, c, 1, now_ms);
	}
}

/* Returns whether a case is too old to be kept. */
static bool is_expired(const struct crash_case *c, int64_t now_ms)
{
	return now_ms - c->last_crash_ms >=
	       (c->quarantined ? QUARANTINE_EXPIRY_MS : SUSPECT_EXPIRY_MS);
}

/* Removes the expired cases. */
static void expire(struct crash_tracker *t, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!is_expired(v, now_ms))
			continue;
		t->changed(t->priv, v, CRASH_EXPIRED, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * Starts the next period of quarantines that are due, with a trial if
 * `runs_trials`.
 */
static void end_periods(struct crash_tracker *t, bool runs_trials,
			int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined || c->due_ms > now_ms)
			continue;
		c->periods++;
		c->due_ms = now_ms + period_ms(c->periods);
		t->changed(t->priv, c,
			   runs_trials ? CRASH_TRIAL : CRASH_QUARANTINED,
			   now_ms);
	}
}

/*
 * Ends quarantine periods and removes expired cases. `runs_trials`: this is the
 * one instance that lets a copy through when a period is over.
 */
void crash_tracker_tick(struct crash_tracker *t, bool runs_trials,
			int64_t now_ms)
{
	end_periods(t, runs_trials, now_ms);
	expire(t, now_ms);
}

/* Returns when the next decision is due; 0: none. */
int64_t crash_tracker_due_ms(const struct crash_tracker *t)
{
	int64_t due = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;

		if (!c->quarantined && c->due_ms && (!due || c->due_ms < due))
			due = c->due_ms;
	}
	return due;
}
