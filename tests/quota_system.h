/*
 * Instances that share quotas, on a fake clock of 1 ms steps: callers pick
 * instances at random, instances ask holders by messages that take time or are
 * lost, and every run is noted.
 */
#ifndef MP_TESTS_QUOTA_SYSTEM_H
#define MP_TESTS_QUOTA_SYSTEM_H

#include "tests/unit.h"

#include <math.h>

#include <glib.h>

#include "core/quota_pick.h"

enum {
	INSTANCES = 120,
	WORKSPACES = 24,
	PATH_MS = 1, /* one way */
	SILENCE_MS = 15,
	SILENT_FOR_MS = 300,
};

struct instance {
	bool up, frozen;
	bool seen[INSTANCES]; /* members in its view */
	struct quota_bucket buckets[WORKSPACES];
	struct quota_holders holders[WORKSPACES];
};

/* One request that asks for a grant. */
struct asking {
	unsigned workspace, instance;
	struct quota_asked asked;
	int64_t next_ms; /* the next holder is asked then */
	unsigned refused;
};

struct quota_system {
	struct quota_rule rule;
	GRand *rand;
	int64_t now_ms;
	struct instance instances[INSTANCES];
	struct quota_terms terms[WORKSPACES];
	GArray *runs[WORKSPACES]; /* int64_t, when requests were sent */
	unsigned sent[WORKSPACES], refused[WORKSPACES], unreachable[WORKSPACES];
	GArray *asking;	   /* struct asking */
	unsigned asks;	   /* sent to other instances */
	double loss;	   /* of messages */
	int send_delay_ms; /* longest between grant and send */
	double never_ran;  /* part of the grants that are given back */
	GArray *unused;	   /* struct unused */
};

/* A grant that is given back later. */
struct unused {
	int64_t at_ms;
	uint32_t holder, stamp;
	unsigned workspace;
};

/* Rates from below 1 to 300 requests per second. */
static inline struct quota_terms system_terms(unsigned workspace)
{
	double rate = workspace < 4 ? 300.0 / (1 + workspace)
				    : 60.0 / (double)(workspace - 3);

	return (struct quota_terms){rate, ceil(rate)};
}

/* Determines the holders of a quota in the view of one instance. */
static inline void system_update(struct quota_system *s, unsigned i, unsigned w,
				 bool full)
{
	struct instance *self = &s->instances[i];
	struct limit_instance list[INSTANCES] = {{i + 1, 1}};
	struct limit_instances all = {list, 1};
	struct quota_start start = {0};
	struct quota_part part;
	unsigned k = 0;

	for (unsigned m = 0; m < INSTANCES; m++) {
		if (m != i && self->seen[m])
			list[all.n++] = (struct limit_instance){m + 1, 1};
	}
	if (s->terms[w].rate_s > 0)
		k = quota_holder_count(&s->rule, &s->terms[w], all.n);
	quota_holders_set(&self->holders[w], w * 2654435761u, k, &all);
	if (!k || !quota_holders_find(&self->holders[w], i + 1)) {
		quota_bucket_lose(&self->buckets[w]);
		return;
	}
	part = quota_part(&s->rule, &s->terms[w], k);
	start.full = full;
	start.from_ms = s->now_ms;
	quota_bucket_hold(&self->buckets[w], &part, &start, s->now_ms);
}

static inline void system_update_all(struct quota_system *s, unsigned w)
{
	for (unsigned i = 0; i < INSTANCES; i++)
		system_update(s, i, w, false);
}

/* Starts an instance's process: it knows nothing of what was granted. */
static inline void system_start(struct quota_system *s, unsigned i)
{
	struct instance *self = &s->instances[i];

	memset(self->buckets, 0, sizeof(self->buckets));
	memset(self->holders, 0, sizeof(self->holders));
	self->up = true;
	self->frozen = false;
	for (unsigned w = 0; w < WORKSPACES; w++)
		system_update(s, i, w, false);
}

static inline struct quota_system *system_new(uint32_t seed)
{
	struct quota_system *s = g_new0(struct quota_system, 1);

	s->rule = (struct quota_rule){5, 0.1, 20};
	s->rand = g_rand_new_with_seed(seed);
	s->now_ms = 100 * 1000;
	s->asking = g_array_new(FALSE, FALSE, sizeof(struct asking));
	s->unused = g_array_new(FALSE, FALSE, sizeof(struct unused));
	for (unsigned w = 0; w < WORKSPACES; w++) {
		s->terms[w] = system_terms(w);
		s->runs[w] = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	for (unsigned i = 0; i < INSTANCES; i++)
		memset(s->instances[i].seen, true, INSTANCES);
	for (unsigned i = 0; i < INSTANCES; i++)
		system_start(s, i);
	return s;
}

static inline void system_free(struct quota_system *s)
{
	for (unsigned w = 0; w < WORKSPACES; w++)
		g_array_unref(s->runs[w]);
	g_array_unref(s->asking);
	g_array_unref(s->unused);
	g_rand_free(s->rand);
	g_free(s);
}

/* A caller sends a request to an instance. */
static inline void system_request(struct quota_system *s, unsigned w,
				  unsigned i)
{
	struct asking a = {.workspace = w, .instance = i, .next_ms = s->now_ms};

	s->sent[w]++;
	g_array_append_val(s->asking, a);
}

static inline bool is_lost(struct quota_system *s)
{
	return g_rand_double(s->rand) < s->loss;
}

/* Notes the run of a granted request, or that it never ran. */
static inline void on_granted(struct quota_system *s, const struct asking *a,
			      uint32_t holder, uint32_t stamp)
{
	int64_t at_ms = s->now_ms;
	struct unused u = {s->now_ms, holder, stamp, a->workspace};

	if (s->send_delay_ms)
		at_ms += g_rand_int_range(s->rand, 0, s->send_delay_ms);
	if (g_rand_double(s->rand) < s->never_ran) {
		u.at_ms += g_rand_int_range(s->rand, 0, 8000);
		g_array_append_val(s->unused, u);
		return;
	}
	g_array_append_val(s->runs[a->workspace], at_ms);
}

/* Asks the next holder; returns whether the request has its result. */
static inline bool system_ask(struct quota_system *s, struct asking *a)
{
	struct instance *self = &s->instances[a->instance];
	unsigned w = a->workspace;
	struct quota_holder *h = quota_holders_pick(
		&self->holders[w], &a->asked, s->now_ms, g_rand_int(s->rand));
	struct instance *other;
	uint32_t stamp = 0;
	bool granted;

	if (!h) {
		if (a->refused ||
		    quota_holders_empty_ms(&self->holders[w], s->now_ms) >= 0)
			s->refused[w]++, quota_holders_refused(
						 &self->holders[w], s->now_ms);
		else
			s->unreachable[w]++;
		return true;
	}
	a->asked.ids[a->asked.n++] = h->id;
	other = &s->instances[h->id - 1];
	a->next_ms = s->now_ms + (other == self ? 0 : 2 * PATH_MS);
	s->asks += other != self;
	if (other != self && (!other->up || other->frozen || is_lost(s))) {
		h->silent_until_ms = s->now_ms + SILENT_FOR_MS;
		a->next_ms = s->now_ms + SILENCE_MS;
		return false;
	}
	if (!other->buckets[w].held) {
		h->silent_until_ms = s->now_ms + 1000;
		return false;
	}
	granted = quota_bucket_grant(&other->buckets[w], false, s->now_ms,
				     &stamp);
	if (other != self && is_lost(s)) {
		h->silent_until_ms = s->now_ms + SILENT_FOR_MS;
		a->next_ms = s->now_ms + SILENCE_MS;
		return false;
	}
	if (granted) {
		on_granted(s, a, h->id, stamp);
		return true;
	}
	a->refused++;
	h->empty_until_ms =
		s->now_ms + quota_bucket_wait_ms(&other->buckets[w], s->now_ms);
	return false;
}

/* Gives back the grants that are due. */
static inline void system_give_back(struct quota_system *s)
{
	for (unsigned i = 0; i < s->unused->len;) {
		struct unused u = g_array_index(s->unused, struct unused, i);
		struct quota_bucket *b =
			&s->instances[u.holder - 1].buckets[u.workspace];

		if (u.at_ms > s->now_ms) {
			i++;
			continue;
		}
		if (b->held && s->instances[u.holder - 1].up)
			quota_bucket_give_back(b, u.stamp, s->now_ms);
		g_array_remove_index_fast(s->unused, i);
	}
}

/* Moves on by a step of 1 ms. */
static inline void system_step(struct quota_system *s)
{
	s->now_ms++;
	system_give_back(s);
	for (unsigned i = 0; i < s->asking->len;) {
		struct asking *a = &g_array_index(s->asking, struct asking, i);
		bool done = !s->instances[a->instance].up;

		while (!done && a->next_ms <= s->now_ms)
			done = system_ask(s, a);
		if (done)
			g_array_remove_index_fast(s->asking, i);
		else
			i++;
	}
}

/*
 * Lets callers send for `ms`: each workspace `load` times its quota, at random
 * times to random instances that are up.
 */
static inline void system_run(struct quota_system *s, int ms, double load)
{
	for (int t = 0; t < ms; t++) {
		for (unsigned w = 0; w < WORKSPACES; w++) {
			double mean = system_terms(w).rate_s * load / 1000;
			unsigned i = (unsigned)g_rand_int_range(s->rand, 0,
								INSTANCES);

			for (; g_rand_double(s->rand) < mean; mean -= 1) {
				if (s->instances[i].up)
					system_request(s, w, i);
			}
		}
		system_step(s);
	}
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

/* Returns the most runs in any window of the rule, of those since from_ms. */
static inline unsigned system_most(struct quota_system *s, unsigned w,
				   int64_t from_ms)
{
	int64_t window_ms = (int64_t)(s->rule.window_s * 1000);
	GArray *runs = s->runs[w];
	unsigned most = 0, first = 0;

	g_array_sort(runs, compare_times);
	for (unsigned i = 0; i < runs->len; i++) {
		while (g_array_index(runs, int64_t, first) < from_ms ||
		       g_array_index(runs, int64_t, i) -
				       g_array_index(runs, int64_t, first) >=
			       window_ms) {
			if (first == i)
				break;
			first++;
		}
		if (g_array_index(runs, int64_t, i) >= from_ms &&
		    i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

/* Returns what the rule allows. */
static inline double system_allowed(const struct quota_system *s,
				    struct quota_terms q)
{
	return (q.rate_s * s->rule.window_s + q.burst) *
		       (1 + s->rule.overshoot) +
	       s->rule.slack;
}

/* Checks the rule for all workspaces. */
static inline void system_check(struct quota_system *s)
{
	for (unsigned w = 0; w < WORKSPACES; w++)
		assert_true(system_most(s, w, 0) <=
			    system_allowed(s, system_terms(w)));
}

#endif
