#include <string.h>

#include "core/crash_ledger.h"

enum {
	/*
	 * Ends of different servers that prove it. One or two happen to any
	 * request that runs beside the cause: of 46 that were at ended servers
	 * 9 were at two of them, as their retries went where the cause's did.
	 */
	PROOF_ENDS = 3,
	/*
	 * From the last end to the judgement: all instances that had requests
	 * at that server have found out and told so by then (a round trip for
	 * the check, 1 to 100 ms, a datagram, and its first repetition after
	 * 20 ms).
	 */
	JUDGE_MS = 50,
	/*
	 * A quarantined request is tried again after this, by one instance,
	 * and later each time: a server that was mended or a wrong verdict is
	 * found out at the cost of at most one server a term.
	 */
	TERM_MS = 60 * 1000,
	TERM_MAX_MS = 10 * 60 * 1000,
	/* An end that nothing was added to says nothing after this. */
	SUSPECT_MS = 10 * 60 * 1000,
	/* A verdict is dropped when no server has ended for so long. */
	FORGET_MS = 60 * 60 * 1000,
	/*
	 * Cases kept, 80 bytes each. When the servers of a service end all at
	 * once each instance has some four requests at each.
	 */
	CASES_MAX = 512,
};

/* crash_tracker_init() makes an empty one; `changed` hears of each verdict. */
void crash_tracker_init(struct crash_tracker *l,
			void (*changed)(void *priv, const struct crash_case *c,
					enum crash_change what, int64_t now_ms),
			void *priv)
{
	l->cases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	l->changed = changed;
	l->priv = priv;
}

/* crash_tracker_free() frees what it holds. */
void crash_tracker_free(struct crash_tracker *l)
{
	g_hash_table_unref(l->cases);
}

static struct crash_case *find(const struct crash_tracker *l, uint64_t digest)
{
	return g_hash_table_lookup(l->cases, &digest);
}

/* crash_tracker_find() returns what is held against a request, or NULL. */
const struct crash_case *crash_tracker_find(const struct crash_tracker *l,
					    uint64_t digest)
{
	return find(l, digest);
}

/* Drops a case; its holder hears of it first. */
static void drop(struct crash_tracker *l, struct crash_case *c,
		 enum crash_change why, int64_t now_ms)
{
	l->changed(l->priv, c, why, now_ms);
	g_hash_table_remove(l->cases, &c->digest);
}

/* The case that is given up first: no verdict, then the oldest. */
static bool goes_before(const struct crash_case *a, const struct crash_case *b)
{
	if (a->quarantined != b->quarantined)
		return b->quarantined;
	return a->last_crash_ms < b->last_crash_ms;
}

static void make_room(struct crash_tracker *l, int64_t now_ms)
{
	struct crash_case *first = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size(l->cases) < CASES_MAX)
		return;
	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!first || goes_before(v, first))
			first = v;
	}
	drop(l, first, CRASH_EXPIRED, now_ms);
}

static struct crash_case *find_or_add(struct crash_tracker *l, uint64_t digest,
				      int64_t now_ms)
{
	struct crash_case *c = find(l, digest);

	if (c)
		return c;
	make_room(l, now_ms);
	c = g_new0(struct crash_case, 1);
	c->digest = digest;
	g_hash_table_insert(l->cases, &c->digest, c);
	return c;
}

static bool has_end(const struct crash_case *c, uint32_t server)
{
	for (unsigned i = 0; i < c->nservers; i++) {
		if (c->servers[i] == server)
			return true;
	}
	return false;
}

static void add_end(struct crash_case *c, uint32_t server)
{
	if (c->nservers == CRASH_SERVERS_MAX)
		memmove(c->servers, c->servers + 1,
			(CRASH_SERVERS_MAX - 1) * sizeof(*c->servers));
	else
		c->nservers++;
	c->servers[c->nservers - 1] = server;
}

/* Tells whether `a` was at each of the ended servers that `b` was at. */
static bool covers(const struct crash_case *a, const struct crash_case *b)
{
	for (unsigned i = 0; i < b->nservers; i++) {
		if (!has_end(a, b->servers[i]))
			return false;
	}
	return true;
}

/* Tells whether a verdict accounts for the end of a server. */
static bool is_explained(const struct crash_tracker *l, uint32_t server)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;

		if (c->quarantined && has_end(c, server))
			return true;
	}
	return false;
}

/* Takes off `c` the ends that `culprit` accounts for. */
static void clear_ends(struct crash_case *c, const struct crash_case *culprit)
{
	unsigned n = 0;

	for (unsigned i = 0; i < c->nservers; i++) {
		if (!has_end(culprit, c->servers[i]))
			c->servers[n++] = c->servers[i];
	}
	c->nservers = n;
	if (n < PROOF_ENDS)
		c->due_ms = 0;
}

/* Clears all others of the ends that the culprit accounts for. */
static void clear_others(struct crash_tracker *l,
			 const struct crash_case *culprit, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (c->quarantined)
			continue;
		clear_ends(c, culprit);
		if (c->nservers)
			continue;
		l->changed(l->priv, c, CRASH_RELEASED, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

static int64_t term_ms(unsigned terms)
{
	int64_t ms = TERM_MS;

	for (unsigned i = 1; i < terms && ms < TERM_MAX_MS; i++)
		ms *= 2;
	return ms < TERM_MAX_MS ? ms : TERM_MAX_MS;
}

static void quarantine(struct crash_tracker *l, struct crash_case *c,
		       unsigned terms, int64_t now_ms)
{
	c->quarantined = true;
	c->periods = terms;
	c->due_ms = now_ms + term_ms(terms);
	l->changed(l->priv, c, CRASH_QUARANTINED, now_ms);
	clear_others(l, c, now_ms);
}

/*
 * crash_tracker_add_crash() takes in that a server ended while it had the request.
 * Each server counts once, whoever tells of it and how often.
 */
void crash_tracker_add_crash(struct crash_tracker *l, uint64_t digest,
			     uint32_t server, int64_t now_ms)
{
	struct crash_case *c = find(l, digest);

	if (c && has_end(c, server))
		return;
	if (!(c && c->quarantined) && is_explained(l, server))
		return;
	c = find_or_add(l, digest, now_ms);
	add_end(c, server);
	c->last_crash_ms = now_ms;
	if (c->quarantined) {
		clear_others(l, c, now_ms);
		return;
	}
	if (c->nservers >= PROOF_ENDS)
		c->due_ms = now_ms + JUDGE_MS;
	l->changed(l->priv, c, CRASH_SUSPECTED, now_ms);
}

/*
 * crash_tracker_quarantine() takes over another instance's verdict, with the
 * number of terms that it knows of.
 */
void crash_tracker_quarantine(struct crash_tracker *l, uint64_t digest,
			      unsigned terms, int64_t now_ms)
{
	struct crash_case *c = find_or_add(l, digest, now_ms);

	if (c->quarantined)
		return;
	if (!c->last_crash_ms)
		c->last_crash_ms = now_ms;
	quarantine(l, c, terms ? terms : 1, now_ms);
}

/* One that stood beside is out of it: the others may be clear by now. */
static void judge_again(struct crash_tracker *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined && c->nservers >= PROOF_ENDS && !c->due_ms)
			c->due_ms = now_ms + JUDGE_MS;
	}
}

/*
 * crash_tracker_add_answer() takes in that a server has run the request and
 * answered: it doesn't end all that run it.
 */
void crash_tracker_add_answer(struct crash_tracker *l, uint64_t digest,
			      int64_t now_ms)
{
	struct crash_case *c = find(l, digest);

	if (!c)
		return;
	drop(l, c, CRASH_RELEASED, now_ms);
	judge_again(l, now_ms);
}

/* Tells whether some other request was wherever `c` was. */
static bool is_ambiguous(const struct crash_tracker *l,
			 const struct crash_case *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *other = v;

		if (other != c && !other->quarantined && covers(other, c))
			return true;
	}
	return false;
}

static struct crash_case *next_to_judge(const struct crash_tracker *l,
					int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined && c->due_ms && c->due_ms <= now_ms)
			return c;
	}
	return NULL;
}

/*
 * crash_tracker_decide() reaches the verdicts that are due. One may clear others,
 * so each is judged on what is left.
 */
void crash_tracker_decide(struct crash_tracker *l, int64_t now_ms)
{
	struct crash_case *c;

	while ((c = next_to_judge(l, now_ms)) != NULL) {
		c->due_ms = 0;
		if (!is_ambiguous(l, c))
			quarantine(l, c, 1, now_ms);
	}
}

static bool is_forgotten(const struct crash_case *c, int64_t now_ms)
{
	return now_ms - c->last_crash_ms >=
	       (c->quarantined ? FORGET_MS : SUSPECT_MS);
}

static void forget(struct crash_tracker *l, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!is_forgotten(v, now_ms))
			continue;
		l->changed(l->priv, v, CRASH_EXPIRED, now_ms);
		g_hash_table_iter_remove(&it);
	}
}

/* A term is over: the next begins with a trial by the instance that tries. */
static void end_terms(struct crash_tracker *l, bool tries, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct crash_case *c = v;

		if (!c->quarantined || c->due_ms > now_ms)
			continue;
		c->periods++;
		c->due_ms = now_ms + term_ms(c->periods);
		l->changed(l->priv, c, tries ? CRASH_TRIAL : CRASH_QUARANTINED,
			   now_ms);
	}
}

/*
 * crash_tracker_tick() ends terms and forgets what is old. `tries`: this instance is the one of
 * all that lets a copy through when a term is over.
 */
void crash_tracker_tick(struct crash_tracker *l, bool tries, int64_t now_ms)
{
	end_terms(l, tries, now_ms);
	forget(l, now_ms);
}

/* crash_tracker_due_ms() tells when the next judgement is due; 0: none is. */
int64_t crash_tracker_due_ms(const struct crash_tracker *l)
{
	int64_t due = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, l->cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;

		if (!c->quarantined && c->due_ms && (!due || c->due_ms < due))
			due = c->due_ms;
	}
	return due;
}
