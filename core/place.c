#include <string.h>

#include "core/outlier.h"
#include "core/place.h"

/*
 * A server is slower by this factor while more than KNEE_SHARE of its slots
 * work (measured by the users on their servers).
 */
static const double KNEE_SHARE = 0.8;
static const double KNEE_SLOWDOWN = 1.7;

/* A server that has just started takes twice as long (the users' figure). */
static const double COLD_SLOWDOWN = 2.0;

/*
 * What a unit of remembered failure is worth in time: one recent failure
 * makes a server look three times as slow, so that it is used when the
 * others are nearly full, and not before.
 */
static const double TROUBLE_SLOWDOWN = 2.0;

/* Worth of keeping a request in its data centre: one round trip, and the
 * bytes between data centres, which are paid for. */
static const double OTHER_DC_MS = 6;

/* Work time up to which a report counts as usual speed, in percent. */
enum { PROMPT_SLOWDOWN_PCT = 150 };

/*
 * Requests at once with which a server gets most done. Beyond KNEE_SHARE all
 * of its work slows down: three on four slots do 28% more than four, while
 * two on two slots do 18% more than one.
 */
static unsigned best_concurrency(unsigned slots)
{
	unsigned below = (unsigned)(KNEE_SHARE * slots);

	return below * KNEE_SLOWDOWN >= slots ? below : slots;
}

/*
 * How busy b is: by its report, or, if the service's servers make none, by
 * the requests that the instances together have there.
 */
static struct load_report busy_view(const struct backend *b)
{
	if (b->service->load_support != LOAD_NOT_TOLD)
		return b->load;
	return (struct load_report){
		.running = b->in_flight + (unsigned)b->peers_in_flight,
		.slots = b->entry.slots ? b->entry.slots : 1,
		.slowdown_pct = 100,
	};
}

static bool is_avoided(const struct place_query *q, const struct backend *b)
{
	for (unsigned i = 0; i < q->navoid; i++) {
		if (q->avoid[i] == b)
			return true;
	}
	return false;
}

/*
 * Reports younger than this still say something: a server's speed changes
 * about every 300 ms.
 */
enum { REPORT_FRESH_MS = 250 };

/*
 * Whom to ask first: ranks add up and the lowest go first. A random part
 * below 1 spreads instances over servers that are alike; the steps below say
 * what goes before what. Another data centre costs a round trip and paid
 * bytes, so the first round asks in the own one only. Later rounds, when
 * neither of two was idle and quick, also ask elsewhere, where a step of 2
 * waited until all of the own one were known to be full: a busy data centre
 * had 43% on time next to one with 79% (109 instances, twice the usual load);
 * with 0.4 these are 52% and 76%, and bytes between data centres grow by a
 * third. A server that keeps failing comes last.
 */
static const double RANK_SHUNNED = 8;
static const double RANK_FULL = 3;
static const double RANK_OTHER_DC = 0.4;
static const double RANK_SLOW = 1.5;
static const double RANK_COLD = 0.7;
static const double RANK_EACH_OF_OURS = 0.5;
static const double RANK_QUICK = -0.5;

/* Remembered failure up to which a server counts as sound. */
static const double SOUND_TROUBLE = 0.5;

/* What a remembered report says for or against asking b now. */
static double report_rank(const struct place_query *q, const struct backend *b)
{
	if (!b->load.at_ms || q->now_ms - b->load.at_ms > REPORT_FRESH_MS)
		return 0;
	if (!place_has_room(b, 1))
		return RANK_FULL;
	return b->load.slowdown_pct > PROMPT_SLOWDOWN_PCT ? RANK_SLOW
							  : RANK_QUICK;
}

/* Tells whether b may get new work for this query. */
static bool is_candidate(const struct place_query *q, const struct backend *b)
{
	if (b->entry.draining || b->drained || is_avoided(q, b))
		return false;
	return !q->own_dc_only || !strcmp(b->entry.dc, q->dc);
}

/* place_candidates() lists them all; unref the array after use. */
GPtrArray *place_candidates(const struct place_query *q)
{
	const GPtrArray *all = q->service->backends;
	GPtrArray *fit = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		if (is_candidate(q, g_ptr_array_index(all, i)))
			g_ptr_array_add(fit, g_ptr_array_index(all, i));
	}
	return fit;
}

/* Orders candidates: lower is asked first; ties are broken at random. */
static double ask_rank(const struct place_query *q, const struct backend *b)
{
	double rank = g_rand_double(q->rand);
	double trouble = outlier_trouble(b, q->now_ms);

	if (outlier_shuns(b, q->now_ms))
		rank += RANK_SHUNNED + trouble;
	else if (trouble > 0)
		rank += trouble;
	if (strcmp(b->entry.dc, q->dc))
		rank += RANK_OTHER_DC;
	if (b->warm_until_ms > q->now_ms)
		rank += RANK_COLD;
	rank += RANK_EACH_OF_OURS * b->in_flight;
	return rank + report_rank(q, b);
}

/*
 * place_choose() picks up to `want` servers to ask next, those of the own
 * data centre first. Returns how many it wrote to out.
 */
unsigned place_choose(const struct place_query *q, unsigned want,
		      struct backend **out)
{
	double ranks[PLACE_ASK_MAX];
	unsigned n = 0;
	const GPtrArray *all = q->service->backends;

	if (want > PLACE_ASK_MAX)
		want = PLACE_ASK_MAX;
	for (guint i = 0; i < all->len; i++) {
		struct backend *b = g_ptr_array_index(all, i);

		if (!is_candidate(q, b))
			continue;
		double rank = ask_rank(q, b);
		unsigned at = n;

		while (at > 0 && ranks[at - 1] > rank)
			at--;
		if (at >= want)
			continue;
		for (unsigned k = n < want ? n : want - 1; k > at; k--) {
			ranks[k] = ranks[k - 1];
			out[k] = out[k - 1];
		}
		ranks[at] = rank;
		out[at] = b;
		if (n < want)
			n++;
	}
	return n;
}

/*
 * place_estimate_ms() expects how long a request takes at b, from its last
 * report: its present speed, the share of its slots at work, the queue, and
 * what is remembered of failures.
 */
double place_estimate_ms(const struct backend *b, const char *dc,
			 double work_ms, int64_t now_ms)
{
	const struct load_report view = busy_view(b), *l = &view;
	unsigned slots = l->slots ? l->slots : 1;
	unsigned busy = l->running + l->waiting;
	double ms = work_ms;

	if (l->slowdown_pct)
		ms *= l->slowdown_pct / 100.0;
	if (b->warm_until_ms > now_ms)
		ms *= COLD_SLOWDOWN;
	if (busy + 1 > KNEE_SHARE * slots)
		ms *= KNEE_SLOWDOWN;
	if (busy >= slots)
		ms += ms * (busy - slots + 1) / slots;
	ms *= 1 + TROUBLE_SLOWDOWN * outlier_trouble(b, now_ms);
	if (strcmp(b->entry.dc, dc))
		ms += OTHER_DC_MS;
	return ms;
}

/*
 * place_has_room() tells whether `more` requests may be sent to b. None is sent
 * into a server's queue: it waits better here, where the first server with
 * room takes it, and a server whose queue is full may never answer.
 */
bool place_has_room(const struct backend *b, unsigned more)
{
	const struct load_report view = busy_view(b), *l = &view;

	return l->running + l->waiting + more <= best_concurrency(l->slots);
}

/*
 * place_is_prompt() tells whether asking further servers can gain little: b
 * has a slot free, works at its usual speed and has not failed lately.
 */
bool place_is_prompt(const struct backend *b, int64_t now_ms)
{
	const struct load_report *l = &b->load;

	return l->running + l->waiting + 1 <= KNEE_SHARE * l->slots &&
	       l->slowdown_pct <= PROMPT_SLOWDOWN_PCT &&
	       b->warm_until_ms <= now_ms &&
	       outlier_trouble(b, now_ms) < SOUND_TROUBLE;
}
