#include <inttypes.h>
#include <string.h>

#include "common/event.h"
#include "control/crash_watch.h"
#include "misc/clock.h"

enum {
	/*
	 * Delay of the first repetition, doubled for each further one. A
	 * decision waits 50 ms for evidence; if links lose 3 % of datagrams, a
	 * datagram and its first repetition are both lost once in 1,000 times.
	 */
	EVIDENCE_REPEAT_MS = 20,
	/* Repeats ends and answers for 0.14 s. */
	EVIDENCE_SENDS = 4,
	/*
	 * Repeats verdicts and their ends for 12.7 s, so that an instance that
	 * was cut off receives them, and four times in the first second. To 132
	 * peers that is 0.1 MB, a tenth of what a link of 10 Mbit/s carries.
	 */
	VERDICT_REPEAT_MS = 100,
	VERDICT_SENDS = 8,
	/* Pending broadcasts; beyond it the oldest are dropped. */
	BROADCASTS_MAX = 1024,
};

/* News to be sent repeatedly to the other instances. */
struct broadcast {
	struct crash_notice notice;
	int64_t at_ms; /* when what it tells happened */
	unsigned sends_left;
	int64_t next_ms;
	int64_t interval_ms;
};

/* Log name, event and verdict for each kind of change. */
static const struct {
	const char *name;
	enum mp_event event;
	enum verdict_kind verdict;
} change_info[] = {
	[CRASH_SUSPECTED] = {"suspected", EV_CRASH_SUSPECTED, VERDICT_SUSPECT},
	[CRASH_QUARANTINED] = {"quarantined", EV_CRASH_QUARANTINED,
			       VERDICT_REFUSE},
	[CRASH_TRIAL] = {"trial", EV_CRASH_TRIAL, VERDICT_TRIAL},
	[CRASH_RELEASED] = {"released", EV_CRASH_RELEASED, VERDICT_CLEAR},
	[CRASH_EXPIRED] = {"forgotten", EV_CRASH_RELEASED, VERDICT_CLEAR},
};

static void log_change(const struct crash_watch *w, const struct crash_case *c,
		       enum crash_change change, int64_t now_ms)
{
	mp_event(change_info[change].event, G_LOG_LEVEL_MESSAGE,
		 "digest=%016" PRIx64 " what=%s teller=%s ends=%u terms=%u "
		 "last_end_ago_ms=%" G_GINT64_FORMAT
		 " next_in_ms=%" G_GINT64_FORMAT " cases=%u",
		 c->digest, change_info[change].name,
		 w->source ? w->source : "-", c->nservers, c->periods,
		 now_ms - c->last_crash_ms, c->due_ms ? c->due_ms - now_ms : 0,
		 g_hash_table_size(w->tracker.cases));
}

static void send_verdict(struct crash_watch *w, const struct crash_case *c,
			 enum crash_change change)
{
	struct verdict v = {
		.digest = c->digest,
		.kind = change_info[change].verdict,
		.until_ms = c->due_ms,
	};

	w->verdict(w->priv, &v);
}

/* Evidence goes to the instances that decide, verdicts go to all. */
static bool goes_to_all(const struct crash_watch *w, const struct broadcast *t)
{
	if (!w->large || t->notice.kind == CRASH_NOTICE_QUARANTINE)
		return true;
	return t->notice.kind == CRASH_NOTICE_ANSWERED && w->rank < HUB_COUNT;
}

/* Sends one datagram of notices to all live peers or to the hubs. */
static void send_updates(struct crash_watch *w,
			 const struct crash_notice *notices, unsigned n,
			 bool to_all)
{
	struct buf b = {0};

	if (!n)
		return;
	gossip_write_crashes(&b, &w->channel->peers.self, notices, n);
	if (to_all)
		peer_channel_send_live(w->channel, &b, clock_boot_ms());
	else
		peer_channel_send_hubs(w->channel, &b, clock_boot_ms());
	buf_free(&b);
}

/* Sends the due broadcasts that go to all, or those that go to the hubs. */
static void send_due(struct crash_watch *w, bool to_all, int64_t now_ms)
{
	struct crash_notice notices[CRASH_NOTICES_MAX];
	unsigned n = 0;

	for (guint i = 0; i < w->broadcasts->len; i++) {
		const struct broadcast *t =
			&g_array_index(w->broadcasts, struct broadcast, i);

		if (t->next_ms > now_ms || goes_to_all(w, t) != to_all)
			continue;
		notices[n] = t->notice;
		notices[n++].age_ms = (uint32_t)(now_ms - t->at_ms);
		if (n < CRASH_NOTICES_MAX)
			continue;
		send_updates(w, notices, n, to_all);
		n = 0;
	}
	send_updates(w, notices, n, to_all);
}

/* Schedules the next repetition of the broadcasts that were sent. */
static void schedule_repeats(struct crash_watch *w, int64_t now_ms)
{
	for (guint i = 0; i < w->broadcasts->len;) {
		struct broadcast *t =
			&g_array_index(w->broadcasts, struct broadcast, i);

		if (t->next_ms > now_ms) {
			i++;
			continue;
		}
		if (--t->sends_left == 0) {
			g_array_remove_index(w->broadcasts, i);
			continue;
		}
		t->next_ms = now_ms + t->interval_ms;
		t->interval_ms *= 2;
		i++;
	}
}

/* Only the hubs receive all evidence in a large system. */
static bool decides(const struct crash_watch *w)
{
	return !w->large || w->rank < HUB_COUNT;
}

/* Sets the timer to the next decision or broadcast. */
static void arm(struct crash_watch *w, int64_t now_ms)
{
	int64_t due = decides(w) ? crash_tracker_due_ms(&w->tracker) : 0;

	for (guint i = 0; i < w->broadcasts->len; i++) {
		int64_t next = g_array_index(w->broadcasts, struct broadcast, i)
				       .next_ms;

		due = !due || next < due ? next : due;
	}
	ev_timer_stop(w->loop, &w->due);
	if (!due)
		return;
	ev_timer_set(&w->due, due > now_ms ? (due - now_ms) / 1000.0 : 0, 0);
	ev_timer_start(w->loop, &w->due);
}

/* Makes the decisions and sends the broadcasts that are due. */
static void run_due(struct crash_watch *w)
{
	int64_t now_ms = clock_ms();

	if (decides(w))
		crash_tracker_decide(&w->tracker, now_ms);
	send_due(w, true, now_ms);
	send_due(w, false, now_ms);
	schedule_repeats(w, now_ms);
	arm(w, now_ms);
}

static void on_due(struct ev_loop *loop, ev_timer *t, int revents)
{
	run_due(t->data);
}

/* Cancels pending broadcasts about a request that are now outdated. */
static void cancel_broadcasts(struct crash_watch *w, uint64_t digest)
{
	for (guint i = w->broadcasts->len; i > 0; i--) {
		const struct broadcast *t =
			&g_array_index(w->broadcasts, struct broadcast, i - 1);

		if (t->notice.digest == digest)
			g_array_remove_index(w->broadcasts, i - 1);
	}
}

/* Schedules a repeated broadcast; it is sent from the event loop. */
static void add_broadcast(struct crash_watch *w,
			  const struct crash_notice *notice, unsigned times)
{
	int64_t now_ms = clock_ms();
	struct broadcast t = {.notice = *notice,
			      .at_ms = now_ms - notice->age_ms,
			      .sends_left = times,
			      .next_ms = now_ms,
			      .interval_ms = times > EVIDENCE_SENDS
						     ? VERDICT_REPEAT_MS
						     : EVIDENCE_REPEAT_MS};

	if (w->broadcasts->len == BROADCASTS_MAX)
		g_array_remove_index(w->broadcasts, 0);
	g_array_append_val(w->broadcasts, t);
	arm(w, now_ms);
}

static struct crash_notice verdict_notice(const struct crash_case *c)
{
	return (struct crash_notice){CRASH_NOTICE_QUARANTINE, c->digest,
				     c->periods, 0};
}

/*
 * Stores and broadcasts a new verdict. The first instances all store it,
 * whoever decided, since one of them may be cut off from the store. They
 * broadcast only their own decisions.
 */
static void announce(struct crash_watch *w, const struct crash_case *c)
{
	struct crash_notice notice = verdict_notice(c);

	if (c->periods > 1 || w->rank >= HUB_COUNT)
		return;
	if (!w->from_store)
		crash_record_put(&w->record, &notice);
	if (w->source)
		return;
	cancel_broadcasts(w, c->digest);
	add_broadcast(w, &notice, VERDICT_SENDS);
}

/*
 * Deletes the stored verdict of a case that ended. One instance does so, and
 * also each one whose write is still pending after an outage of the store.
 */
static void drop_record(struct crash_watch *w, const struct crash_case *c,
			enum crash_change change)
{
	struct crash_notice notice = {CRASH_NOTICE_ANSWERED, c->digest, 0, 0};
	bool writer = change == CRASH_RELEASED ? !w->source : w->rank == 0;

	if (c->quarantined &&
	    (writer || crash_record_is_pending(&w->record, c->digest)))
		crash_record_put(&w->record, &notice);
}

/* Handles a change of a case in the tracker. */
static void on_change(void *priv, const struct crash_case *c,
		      enum crash_change change, int64_t now_ms)
{
	struct crash_watch *w = priv;

	log_change(w, c, change, now_ms);
	send_verdict(w, c, change);
	if (change == CRASH_QUARANTINED)
		announce(w, c);
	else if (change == CRASH_RELEASED || change == CRASH_EXPIRED)
		drop_record(w, c, change);
}

/*
 * An answer matters only for a request that has a case, here or at the peer that
 * tells of it: news of a crash before it may be on its way.
 */
static void apply_answer(struct crash_watch *w,
			 const struct crash_notice *notice, int64_t now_ms)
{
	const struct crash_case *c =
		crash_tracker_find(&w->tracker, notice->digest);
	bool verdict = c && c->quarantined;

	if (!c && !w->source)
		return;
	cancel_broadcasts(w, notice->digest);
	/*
	 * In a large system the hubs forward answers that end their verdicts.
	 */
	if (!w->source || (verdict && w->large && w->rank < HUB_COUNT))
		add_broadcast(w, notice,
			      verdict ? VERDICT_SENDS : EVIDENCE_SENDS);
	crash_tracker_add_answer(&w->tracker, notice->digest,
				 now_ms - notice->age_ms, now_ms);
}

/* An instance that reports another crash doesn't know the verdict yet. */
static void apply_crash(struct crash_watch *w,
			const struct crash_notice *notice, int64_t now_ms)
{
	const struct crash_case *c =
		crash_tracker_find(&w->tracker, notice->digest);
	struct crash_notice verdict;

	if (c && c->quarantined && w->source && w->rank < HUB_COUNT) {
		verdict = verdict_notice(c);
		add_broadcast(w, &verdict, 1);
	}
	if (!w->source)
		add_broadcast(w, notice, EVIDENCE_SENDS);
	crash_tracker_add_crash(&w->tracker, notice->digest, notice->detail,
				now_ms - notice->age_ms, now_ms);
}

/* Applies one notice to the tracker. */
static void apply(struct crash_watch *w, const struct crash_notice *notice)
{
	int64_t now_ms = clock_ms();

	switch (notice->kind) {
	case CRASH_NOTICE_CRASHED:
		apply_crash(w, notice, now_ms);
		break;
	case CRASH_NOTICE_ANSWERED:
		apply_answer(w, notice, now_ms);
		break;
	case CRASH_NOTICE_QUARANTINE:
		crash_tracker_quarantine(&w->tracker, notice->digest,
					 notice->detail, now_ms);
		break;
	}
	arm(w, now_ms);
}

/* crash_watch_add_local() handles a notice of this instance's own traffic. */
void crash_watch_add_local(struct crash_watch *w,
			   const struct crash_notice *notice)
{
	w->source = NULL;
	apply(w, notice);
}

/* Applies the notices of another instance or of the store. */
static void apply_all(struct crash_watch *w, const char *source,
		      const GArray *notices)
{
	w->source = source;
	for (guint i = 0; i < notices->len; i++)
		apply(w, &g_array_index(notices, struct crash_notice, i));
	w->source = NULL;
}

/* crash_watch_add_peer() handles notices from a peer. */
void crash_watch_add_peer(struct crash_watch *w, const char *source,
			  const GArray *notices)
{
	apply_all(w, source, notices);
}

/* crash_watch_add_stored() handles verdicts read from the store. */
void crash_watch_add_stored(struct crash_watch *w, const GArray *notices)
{
	w->from_store = true;
	apply_all(w, "store", notices);
	w->from_store = false;
}

/*
 * crash_watch_verdicts() returns the requests that are refused, as struct
 * crash_notice; unref the array after use.
 */
GArray *crash_watch_verdicts(const struct crash_watch *w)
{
	GArray *verdicts =
		g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, w->tracker.cases);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct crash_case *c = v;
		struct crash_notice notice = verdict_notice(c);

		if (c->quarantined)
			g_array_append_val(verdicts, notice);
	}
	return verdicts;
}

/* Broadcasts all verdicts for instances that have just joined. */
static void broadcast_verdicts(struct crash_watch *w)
{
	GArray *verdicts = crash_watch_verdicts(w);

	for (guint i = 0; i < verdicts->len; i++)
		add_broadcast(w,
			      &g_array_index(verdicts, struct crash_notice, i),
			      EVIDENCE_SENDS);
	g_array_unref(verdicts);
}

/* crash_watch_tick() does periodic work; call it about every 0.1 s. */
void crash_watch_tick(struct crash_watch *w, unsigned rank, bool large)
{
	w->rank = rank;
	w->large = large;
	if (w->joins != w->channel->joins && rank < HUB_COUNT)
		broadcast_verdicts(w);
	w->joins = w->channel->joins;
	crash_tracker_tick(&w->tracker, rank == 0, clock_ms());
	/*
	 * The rank may have changed, and with it whether this instance decides.
	 */
	arm(w, clock_ms());
}

/*
 * crash_watch_start() initializes the watch; `verdict` is called for each
 * change of a request's verdict.
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
	w->broadcasts = g_array_new(FALSE, FALSE, sizeof(struct broadcast));
	crash_tracker_init(&w->tracker, on_change, w);
	crash_record_start(&w->record, loop, store, &channel->peers.self);
	ev_init(&w->due, on_due);
	w->due.data = w;
}
