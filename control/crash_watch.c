#include <inttypes.h>
#include <string.h>

#include "common/event.h"
#include "control/crash_watch.h"
#include "misc/clock.h"

enum {
	/*
	 * The first repetition comes after this, the next after twice as long
	 * and so on: a judgement waits 50 ms, and a datagram and its first
	 * repetition are both lost once in 1,000 times where links lose 3 in
	 * 100.
	 */
	EVIDENCE_AGAIN_MS = 20,
	/* Ends and answers to suspects: for 0.14 s. */
	EVIDENCE_TELLS = 4,
	/*
	 * Verdicts and what ends them: for 12.7 s, so that one that was cut off
	 * hears of it, four times in the first second. To 132 peers that is
	 * 0.1 MB, a tenth of what a link of 10 Mbit/s carries.
	 */
	VERDICT_AGAIN_MS = 100,
	VERDICT_TELLS = 8,
	/* Those that wait to be told again; the oldest are given up. */
	TELLINGS_MAX = 1024,
};

/* Something to be told to the others, and how often yet. */
struct telling {
	struct crash_notice news;
	unsigned left;
	int64_t next_ms;
	int64_t gap_ms;
};

/* What a change means for the log and for the traffic thread. */
static const struct {
	const char *name;
	enum mp_event event;
	enum verdict_kind verdict;
} changes[] = {
	[CRASH_SUSPECTED] = {"suspected", EV_CRASH_SUSPECTED, VERDICT_SUSPECT},
	[CRASH_QUARANTINED] = {"quarantined", EV_CRASH_QUARANTINED,
			       VERDICT_REFUSE},
	[CRASH_TRIAL] = {"trial", EV_CRASH_TRIAL, VERDICT_TRIAL},
	[CRASH_RELEASED] = {"released", EV_CRASH_RELEASED, VERDICT_CLEAR},
	[CRASH_FORGOTTEN] = {"forgotten", EV_CRASH_RELEASED, VERDICT_CLEAR},
};

static void log_change(const struct crash_watch *w, const struct crash_case *c,
		       enum crash_change what, int64_t now_ms)
{
	mp_event(changes[what].event, G_LOG_LEVEL_MESSAGE,
		 "digest=%016" PRIx64 " what=%s teller=%s ends=%u terms=%u "
		 "last_end_ago_ms=%" G_GINT64_FORMAT
		 " next_in_ms=%" G_GINT64_FORMAT " cases=%u",
		 c->digest, changes[what].name, w->teller ? w->teller : "-",
		 c->nends, c->terms, now_ms - c->last_end_ms,
		 c->due_ms ? c->due_ms - now_ms : 0,
		 g_hash_table_size(w->ledger.cases));
}

static void tell_traffic(struct crash_watch *w, const struct crash_case *c,
			 enum crash_change what)
{
	struct verdict v = {
		.digest = c->digest,
		.kind = changes[what].verdict,
		.until_ms = c->due_ms,
	};

	w->verdict(w->priv, &v);
}

/* Evidence goes to those that judge, verdicts go to all. */
static bool is_for_all(const struct crash_watch *w, const struct telling *t)
{
	if (!w->many || t->news.kind == CRASH_NOTICE_QUARANTINE)
		return true;
	return t->news.kind == CRASH_NOTICE_ANSWERED && w->rank < HUB_COUNT;
}

static void send_news(struct crash_watch *w, const struct crash_notice *news,
		      unsigned n, bool to_all, int64_t now_ms)
{
	struct buf b = {0};

	if (!n)
		return;
	gossip_write_crashes(&b, &w->channel->peers.self, news, n);
	if (to_all)
		peer_channel_send_live(w->channel, &b, now_ms);
	else
		peer_channel_send_hubs(w->channel, &b, now_ms);
	buf_free(&b);
}

/* Sends those that are due and go to all, or those that go to the hubs. */
static void send_due(struct crash_watch *w, bool to_all, int64_t now_ms)
{
	struct crash_notice news[CRASH_NOTICES_MAX];
	unsigned n = 0;

	for (guint i = 0; i < w->tellings->len; i++) {
		const struct telling *t =
			&g_array_index(w->tellings, struct telling, i);

		if (t->next_ms > now_ms || is_for_all(w, t) != to_all)
			continue;
		news[n++] = t->news;
		if (n < CRASH_NOTICES_MAX)
			continue;
		send_news(w, news, n, to_all, now_ms);
		n = 0;
	}
	send_news(w, news, n, to_all, now_ms);
}

/* Plans the next repetition of those that were sent. */
static void plan_again(struct crash_watch *w, int64_t now_ms)
{
	for (guint i = 0; i < w->tellings->len;) {
		struct telling *t =
			&g_array_index(w->tellings, struct telling, i);

		if (t->next_ms > now_ms) {
			i++;
			continue;
		}
		if (--t->left == 0) {
			g_array_remove_index(w->tellings, i);
			continue;
		}
		t->next_ms = now_ms + t->gap_ms;
		t->gap_ms *= 2;
		i++;
	}
}

/* In a large system the hubs alone have all evidence. */
static bool judges(const struct crash_watch *w)
{
	return !w->many || w->rank < HUB_COUNT;
}

static void arm(struct crash_watch *w, int64_t now_ms)
{
	int64_t due = judges(w) ? crash_ledger_due_ms(&w->ledger) : 0;

	for (guint i = 0; i < w->tellings->len; i++) {
		int64_t next =
			g_array_index(w->tellings, struct telling, i).next_ms;

		due = !due || next < due ? next : due;
	}
	ev_timer_stop(w->loop, &w->due);
	if (!due)
		return;
	ev_timer_set(&w->due, due > now_ms ? (due - now_ms) / 1000.0 : 0, 0);
	ev_timer_start(w->loop, &w->due);
}

static void do_due(struct crash_watch *w)
{
	int64_t now_ms = clock_ms();

	if (judges(w))
		crash_ledger_judge(&w->ledger, now_ms);
	send_due(w, true, now_ms);
	send_due(w, false, now_ms);
	plan_again(w, now_ms);
	arm(w, now_ms);
}

static void on_due(struct ev_loop *loop, ev_timer *t, int revents)
{
	do_due(t->data);
}

/* What was to be told of a request before is no longer so. */
static void take_back(struct crash_watch *w, uint64_t digest)
{
	for (guint i = w->tellings->len; i > 0; i--) {
		const struct telling *t =
			&g_array_index(w->tellings, struct telling, i - 1);

		if (t->news.digest == digest)
			g_array_remove_index(w->tellings, i - 1);
	}
}

/* Tells the others, now and again; sent from the loop, not from here. */
static void tell(struct crash_watch *w, const struct crash_notice *news,
		 unsigned times)
{
	int64_t now_ms = clock_ms();
	struct telling t = {.news = *news,
			    .left = times,
			    .next_ms = now_ms,
			    .gap_ms = times > EVIDENCE_TELLS
					      ? VERDICT_AGAIN_MS
					      : EVIDENCE_AGAIN_MS};

	if (w->tellings->len == TELLINGS_MAX)
		g_array_remove_index(w->tellings, 0);
	g_array_append_val(w->tellings, t);
	arm(w, now_ms);
}

static struct crash_notice verdict_news(const struct crash_case *c)
{
	return (struct crash_notice){CRASH_NOTICE_QUARANTINE, c->digest,
				     c->terms};
}

/*
 * The first instances keep a verdict for all, whoever reached it; one alone
 * may be cut off from the store. What they reached themselves they tell.
 */
static void announce(struct crash_watch *w, const struct crash_case *c)
{
	struct crash_notice news = verdict_news(c);

	if (c->terms > 1 || w->rank >= HUB_COUNT)
		return;
	if (!w->from_store)
		crash_record_put(&w->record, &news);
	if (w->teller)
		return;
	take_back(w, c->digest);
	tell(w, &news, VERDICT_TELLS);
}

/*
 * A verdict that no longer holds leaves the store by one instance's call, and
 * by those of whoever may write it yet: the store was away.
 */
static void drop_record(struct crash_watch *w, const struct crash_case *c,
			enum crash_change what)
{
	struct crash_notice news = {CRASH_NOTICE_ANSWERED, c->digest, 0};
	bool own = what == CRASH_RELEASED ? !w->teller : w->rank == 0;

	if (c->quarantined &&
	    (own || crash_record_waits(&w->record, c->digest)))
		crash_record_put(&w->record, &news);
}

static void on_change(void *priv, const struct crash_case *c,
		      enum crash_change what, int64_t now_ms)
{
	struct crash_watch *w = priv;

	log_change(w, c, what, now_ms);
	tell_traffic(w, c, what);
	if (what == CRASH_QUARANTINED)
		announce(w, c);
	else if (what == CRASH_RELEASED || what == CRASH_FORGOTTEN)
		drop_record(w, c, what);
}

/* A request that nothing is held against needs no answer told. */
static void take_answer(struct crash_watch *w, const struct crash_notice *news,
			int64_t now_ms)
{
	const struct crash_case *c =
		crash_ledger_find(&w->ledger, news->digest);
	bool verdict = c && c->quarantined;

	if (!c)
		return;
	take_back(w, news->digest);
	/* In a large system the hubs pass on what ends a verdict of theirs. */
	if (!w->teller || (verdict && w->many && w->rank < HUB_COUNT))
		tell(w, news, verdict ? VERDICT_TELLS : EVIDENCE_TELLS);
	crash_ledger_answered(&w->ledger, news->digest, now_ms);
}

/* One that tells of an end doesn't know the verdict yet. */
static void take_end(struct crash_watch *w, const struct crash_notice *news,
		     int64_t now_ms)
{
	const struct crash_case *c =
		crash_ledger_find(&w->ledger, news->digest);
	struct crash_notice verdict;

	if (c && c->quarantined && w->teller && w->rank < HUB_COUNT) {
		verdict = verdict_news(c);
		tell(w, &verdict, 1);
	}
	if (!w->teller)
		tell(w, news, EVIDENCE_TELLS);
	crash_ledger_end(&w->ledger, news->digest, news->detail, now_ms);
}

static void take(struct crash_watch *w, const struct crash_notice *news)
{
	int64_t now_ms = clock_ms();

	switch (news->kind) {
	case CRASH_NOTICE_CRASHED:
		take_end(w, news, now_ms);
		break;
	case CRASH_NOTICE_ANSWERED:
		take_answer(w, news, now_ms);
		break;
	case CRASH_NOTICE_QUARANTINE:
		crash_ledger_quarantine(&w->ledger, news->digest, news->detail,
					now_ms);
		break;
	}
	arm(w, now_ms);
}

/* crash_watch_own() takes in what this instance's traffic saw. */
void crash_watch_own(struct crash_watch *w, const struct crash_notice *news)
{
	w->teller = NULL;
	take(w, news);
}

static void take_all(struct crash_watch *w, const char *teller,
		     const GArray *news)
{
	w->teller = teller;
	for (guint i = 0; i < news->len; i++)
		take(w, &g_array_index(news, struct crash_notice, i));
	w->teller = NULL;
}

/* crash_watch_heard() takes in news of a peer. */
void crash_watch_heard(struct crash_watch *w, const char *teller,
		       const GArray *news)
{
	take_all(w, teller, news);
}

/* crash_watch_stored() takes in verdicts that stand in the store. */
void crash_watch_stored(struct crash_watch *w, const GArray *news)
{
	w->from_store = true;
	take_all(w, "store", news);
	w->from_store = false;
}

/*
 * crash_watch_verdicts() lists the requests that are refused, as struct
 * crash_notice; unref the array after use.
 */
GArray *crash_watch_verdicts(const struct crash_watch *w)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, w->ledger.cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;
		struct crash_notice news = verdict_news(c);

		if (c->quarantined)
			g_array_append_val(all, news);
	}
	return all;
}

/* Tells those that have just joined which requests are refused. */
static void tell_verdicts(struct crash_watch *w)
{
	GArray *all = crash_watch_verdicts(w);

	for (guint i = 0; i < all->len; i++)
		tell(w, &g_array_index(all, struct crash_notice, i),
		     EVIDENCE_TELLS);
	g_array_unref(all);
}

/* crash_watch_tick() does what is due; call it every 0.1 s or so. */
void crash_watch_tick(struct crash_watch *w, unsigned rank, bool many)
{
	w->rank = rank;
	w->many = many;
	if (w->joins != w->channel->joins && rank < HUB_COUNT)
		tell_verdicts(w);
	w->joins = w->channel->joins;
	crash_ledger_tick(&w->ledger, rank == 0, clock_ms());
	/* It may be one of those that judge by now. */
	arm(w, clock_ms());
}

/*
 * crash_watch_start() prepares everything; `verdict` hears of each change of
 * what is held against a request.
 */
void crash_watch_start(struct crash_watch *w, struct ev_loop *loop,
		       struct store_endpoint *store,
		       struct peer_channel *channel,
		       void (*verdict)(void *priv, const struct verdict *v),
		       void *priv)
{
	memset(w, 0, sizeof(*w));
	w->loop = loop;
	w->channel = channel;
	w->verdict = verdict;
	w->priv = priv;
	w->tellings = g_array_new(FALSE, FALSE, sizeof(struct telling));
	crash_ledger_init(&w->ledger, on_change, w);
	crash_record_start(&w->record, loop, store, &channel->peers.self);
	ev_init(&w->due, on_due);
	w->due.data = w;
}
