#include <math.h>

#include "common/event.h"
#include "misc/clock.h"
#include "traffic/limits.h"

enum {
	/* Granularity of all that is due while servers are in need. */
	TICK_MS = 500,
	/*
	 * Nobody has told for so long that a limit stands: those who hold it tell
	 * the others, some a little sooner than the rest, who then need not.
	 */
	TELL_AGAIN_MS = 2000,
	TELL_SPREAD_MS = 1000,
	/*
	 * An end is told again so often, after so long each: a peer that had just
	 * heard that the limit stands needs a word that is surely newer.
	 */
	END_TELLS = 3,
	END_AGAIN_MS = 1000,
	/* An instance that is new is told at once, by some of the others. */
	TELL_NEW_MS = 200,
	/*
	 * A datagram may have been on its way, or unread, for so long: what it says
	 * is taken to be older by that.
	 */
	ON_ITS_WAY_MS = 300,
	/* For each instance: so that the first is heard of before the second. */
	LOOK_SPREAD_MS = 2000,
	LOOK_AGAIN_MS = 30 * 1000, /* the look brought no answer */
};

/* A limit that differs by this part of itself is told at once. */
static const double TOLD_STEP = 0.1;

static void log_change(const struct backend *b, enum limit_change change,
		       const struct limit_word *w, double before)
{
	const struct limit_part *p = &b->state->limit->share.part;

	mp_event(change == LIMIT_ENDED ? EV_LIMIT_ENDED : EV_LIMIT_STARTED,
		 G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s limit_per_s=%g before=%g by=%s "
		 "asked_ago_ms=%" G_GINT64_FORMAT
		 " heard_ago_ms=%" G_GINT64_FORMAT
		 " own_per_s=%.3f own_depth=%.2f",
		 b->entry.id, b->service->name, b->state->limit->said.per_s,
		 before, limit_source_name(w->source), clock_ms() - w->asked_ms,
		 clock_ms() - w->heard_ms, p->rate_s, p->depth);
}

/* A number that is none says neither that there is a limit nor that it ended. */
static void log_bad(struct traffic *t, struct backend *b, struct lstr text)
{
	t->counters.limits_bad++;
	if (b->state->limit_bad)
		return;
	b->state->limit_bad = true;
	mp_event(EV_LIMIT_INVALID, G_LOG_LEVEL_WARNING,
		 "backend=%s service=%s limit=%.*s; what was known stays in "
		 "force",
		 b->entry.id, b->service->name, (int)MIN(text.len, 64),
		 text.ptr);
}

/* Works out anew what this instance holds of b's limit. */
static void set_part(struct traffic *t, struct backend *b)
{
	const GArray *known = t->peers.sharers;
	struct limit_sharers sharers = {.n = 0};
	struct limit_part part;

	if (known)
		sharers = (struct limit_sharers){
			(const struct limit_sharer *)(void *)known->data,
			known->len};
	part = limit_part(b->state->limit->said.per_s, b->start, &sharers);
	limit_share_set(&b->state->limit->share, &part, clock_ms());
}

static void arm(struct traffic *t, int ms)
{
	if (ev_is_active(&t->limits_timer) &&
	    ev_timer_remaining(t->loop, &t->limits_timer) * 1000 <= ms)
		return;
	ev_timer_stop(t->loop, &t->limits_timer);
	ev_timer_set(&t->limits_timer, ms / 1000.0, 0);
	ev_timer_start(t->loop, &t->limits_timer);
}

/*
 * Whether it differs enough to be told: a server may work its limit out anew for
 * each answer.
 */
static bool differs(const struct backend_limit *l, enum limit_change change)
{
	double step = fabs(l->said.per_s - l->told_per_s);

	if (change == LIMIT_CHANGED)
		return step > TOLD_STEP * l->told_per_s;
	return change != LIMIT_SAME;
}

/*
 * Takes in what a server said, by itself or through a peer. Returns whether it is
 * worth telling.
 */
static bool hear(struct traffic *t, struct backend *b,
		 const struct limit_word *w)
{
	int64_t now_ms = clock_ms();
	double before = b->state->limit ? b->state->limit->said.per_s : 0;
	enum limit_change change;

	if (!b->state->limit && !w->named)
		return false;
	if (!b->state->limit) {
		b->state->limit = g_new0(struct backend_limit, 1);
		limit_share_begin(&b->state->limit->share, b->state->was_free,
				  now_ms);
	}
	change = server_limit_hear(&b->state->limit->said, w, now_ms);
	if (change == LIMIT_SAME)
		return false;
	set_part(t, b);
	arm(t, TICK_MS);
	if (!differs(b->state->limit, change))
		return false;
	b->state->limit->told_per_s = b->state->limit->said.per_s;
	log_change(b, change, w, before);
	return true;
}

static void send_news(struct traffic *t, const struct limit_news *news)
{
	struct limit_news *copy = g_memdup2(news, sizeof(*news));

	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_LIMITS, copy))
		g_free(copy);
}

static uint32_t age_ms(int64_t at_ms, int64_t now_ms)
{
	int64_t age = now_ms - at_ms;

	return age < 0 ? 0 : age > UINT32_MAX ? UINT32_MAX : (uint32_t)age;
}

/* It was told: if nobody tells it again, this instance does after a while. */
static void was_told(struct traffic *t, struct backend *b, int64_t now_ms)
{
	int spread = g_rand_int_range(t->rand, 0, TELL_SPREAD_MS);

	b->state->limit->tell_ms = now_ms + TELL_AGAIN_MS + spread;
}

/* Adds what is known of b's limit. */
static void add_item(struct limit_news *news, const struct backend *b,
		     int64_t now_ms)
{
	const struct server_limit *l = &b->state->limit->said;

	news->items[news->n++] = (struct limit_item){
		.backend = b->start,
		.named = l->named,
		.per_s = l->per_s,
		.asked_ago_ms = age_ms(l->asked_ms, now_ms),
		.heard_ago_ms = age_ms(l->heard_ms, now_ms),
	};
}

/*
 * limits_answer() takes in what an answer of b says of its limit; it was asked
 * for at asked_ms. What is new is told to the peers at once.
 */
void limits_answer(struct traffic *t, struct backend *b,
		   const struct answer_info *info, int64_t asked_ms,
		   enum limit_source source)
{
	struct limit_news news = {.n = 0};
	struct limit_word w = {
		.named = info->limit == LIMIT_NAMED,
		.per_s = info->limit_per_s,
		.asked_ms = asked_ms,
		.heard_ms = clock_ms(),
		.source = source,
	};

	if (info->limit == LIMIT_BAD) {
		log_bad(t, b, info->limit_text);
		return;
	}
	b->state->limit_bad = false;
	b->state->was_free =
		b->state->was_free || (!w.named && source == LIMIT_BY_ANSWER);
	if (!hear(t, b, &w))
		return;
	was_told(t, b, w.heard_ms);
	if (!b->state->limit->said.named) {
		b->state->limit->end_tells = END_TELLS;
		b->state->limit->tell_ms = w.heard_ms + END_AGAIN_MS;
	}
	add_item(&news, b, w.heard_ms);
	send_news(t, &news);
}

/* limits_find() finds a backend server by its start, or NULL. */
struct backend *limits_find(struct traffic *t, uint32_t start)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (b->start == start)
			return b;
	}
	return NULL;
}

/* limits_told() takes in what a peer says that servers have said. */
void limits_told(struct traffic *t, const struct limit_news *news)
{
	int64_t now_ms = clock_ms();

	for (unsigned i = 0; i < news->n; i++) {
		const struct limit_item *it = &news->items[i];
		struct backend *b = limits_find(t, it->backend);
		struct limit_word w = {
			.named = it->named,
			.per_s = it->per_s,
			.asked_ms = now_ms - it->asked_ago_ms - ON_ITS_WAY_MS,
			.heard_ms = now_ms - it->heard_ago_ms,
			.source = LIMIT_BY_PEER,
		};

		if (!b)
			continue;
		(void)hear(t, b, &w);
		if (b->state->limit && backend_is_limited(b))
			was_told(t, b, now_ms);
	}
}

/*
 * While most instances are silent to this one they can't tell it that a limit
 * stands, so that their silence says nothing.
 */
static bool hears_most(const struct traffic *t)
{
	const GArray *known = t->peers.sharers;
	guint heard = 0;

	for (guint i = 0; known && i < known->len; i++)
		heard += g_array_index(known, struct limit_sharer, i).heard;
	return known && 2 * heard > known->len;
}

/*
 * Where nobody has heard from b for long one of the instances that hold nothing of
 * its limit sends it a request, to hear whether it still stands; which one is drawn,
 * and the others then hear of it.
 */
static void plan_look(struct traffic *t, struct backend *b, int64_t now_ms)
{
	struct backend_limit *l = b->state->limit;

	if (l->share.part.held || !hears_most(t) ||
	    !server_limit_is_stale(&l->said, now_ms)) {
		l->looks = false;
		l->look_ms = 0;
		return;
	}
	if (l->look_ms == 0)
		l->look_ms =
			now_ms +
			g_rand_int_range(t->rand, 0,
					 LOOK_SPREAD_MS *
						 (int)t->peers.sharers->len);
	if (now_ms < l->look_ms)
		return;
	l->look_ms = now_ms + LOOK_AGAIN_MS;
	l->looks = true;
}

/* Whether this instance is to tell the others once more how b's limit stands. */
static bool is_due(const struct backend *b, int64_t now_ms)
{
	bool concerned = backend_is_limited(b)
				 ? b->state->limit->share.part.held
				 : b->state->limit->end_tells > 0;

	return concerned && now_ms >= b->state->limit->tell_ms;
}

/* It is told now; when it is to be told again. */
static void plan_tell(struct traffic *t, struct backend *b, int64_t now_ms)
{
	if (backend_is_limited(b)) {
		was_told(t, b, now_ms);
		return;
	}
	b->state->limit->end_tells--;
	b->state->limit->tell_ms = now_ms + END_AGAIN_MS;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	int64_t now_ms = clock_ms();
	struct limit_news news = {.n = 0};
	bool any = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (!b->state->limit ||
		    (!backend_is_limited(b) && !b->state->limit->end_tells))
			continue;
		any = true;
		plan_look(t, b, now_ms);
		if (news.n == LIMIT_NEWS_MAX || !is_due(b, now_ms))
			continue;
		plan_tell(t, b, now_ms);
		add_item(&news, b, now_ms);
	}
	if (news.n)
		send_news(t, &news);
	if (any)
		arm(t, TICK_MS);
}

/*
 * limits_peers_changed() works out anew what this instance holds. Those who are
 * new don't know of the limits: they are due to be told.
 */
void limits_peers_changed(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = v;

		if (!backend_is_limited(b))
			continue;
		set_part(t, b);
		b->state->limit->tell_ms = 0;
		arm(t, g_rand_int_range(t->rand, 0, TELL_NEW_MS));
	}
}

/*
 * limits_listed() is called when a server's entry has come. One that was off the list
 * has kept its limit, but who shares it may have changed meanwhile.
 */
void limits_listed(struct traffic *t, const char *id)
{
	struct backend *b = g_hash_table_lookup(t->backends.by_id, id);

	if (!b || !backend_is_limited(b))
		return;
	set_part(t, b);
	arm(t, TICK_MS);
}

/* limits_init() prepares the timer. */
void limits_init(struct traffic *t)
{
	ev_init(&t->limits_timer, on_tick);
	t->limits_timer.data = t;
}
