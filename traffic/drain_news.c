#include "common/event.h"
#include "misc/clock.h"
#include "traffic/drain_news.h"

enum {
	TELLS = 3, /* datagrams may be lost */
	AGAIN_MS = 1000,
	/*
	 * A new peer needs to be told by one instance only: each waits for a random
	 * time up to this, and drops its turn if another was first.
	 */
	TELL_NEW_MS = 1000,
	TICK_MS = 100,
};

static void log_draining(const struct server_state *m, const char *by,
			 const struct backend *b)
{
	mp_event(EV_BACKEND_DRAINING, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s by=%s listed=%d listed_as_draining=%d "
		 "in_flight=%u",
		 m->id, b ? b->service->name : "-", by, b != NULL,
		 b && b->entry.draining, b ? b->in_flight : 0);
}

static void arm(struct traffic *t)
{
	if (ev_is_active(&t->drain_timer))
		return;
	ev_timer_set(&t->drain_timer, TICK_MS / 1000.0, 0);
	ev_timer_start(t->loop, &t->drain_timer);
}

/* Sends what is due; returns whether more will be. */
static bool tell_due(struct traffic *t, int64_t now_ms)
{
	struct drain_news news = {.n = 0};
	struct drain_news *copy;
	bool more = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.states.by_start);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_state *m = v;
		struct drain_item *item;

		if (!m->drain_publishes_left)
			continue;
		if (news.n == DRAIN_NEWS_MAX ||
		    now_ms < m->next_drain_publish_ms) {
			more = true;
			continue;
		}
		item = &news.items[news.n++];
		g_strlcpy(item->id, m->id, sizeof(item->id));
		item->server_start_ms = m->server_start_ms;
		m->drain_publishes_left--;
		m->next_drain_publish_ms = now_ms + AGAIN_MS;
		more = more || m->drain_publishes_left;
	}
	if (!news.n)
		return more;
	copy = g_memdup2(&news, sizeof(news));
	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_DRAIN, copy))
		g_free(copy);
	return more;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;

	if (tell_due(t, clock_ms()))
		arm(t);
}

/* drain_news_init() prepares the timer. */
void drain_news_init(struct traffic *t)
{
	ev_init(&t->drain_timer, on_tick);
	t->drain_timer.data = t;
}

/* drain_news_announced() is called when b announced it in a response. */
void drain_news_announced(struct traffic *t, struct backend *b)
{
	struct server_state *m = b->state;

	if (m->draining)
		return;
	m->draining = true;
	m->drain_publishes_left = TELLS;
	m->next_drain_publish_ms = 0;
	log_draining(m, "answer", b);
	if (tell_due(t, clock_ms()))
		arm(t);
}

/* drain_news_received() applies what a peer has passed on. */
void drain_news_received(struct traffic *t, const struct drain_news *news)
{
	for (unsigned i = 0; i < news->n; i++) {
		const struct drain_item *it = &news->items[i];
		struct server_state *m = server_state_get(
			&t->backends.states, it->id, it->server_start_ms);
		const struct backend *b =
			g_hash_table_lookup(t->backends.by_id, it->id);

		if (!m->draining)
			log_draining(m, "peer", b && b->state == m ? b : NULL);
		m->draining = true;
		if (m->drain_publishes_left)
			m->drain_publishes_left--;
		server_state_release(m);
	}
}

/* drain_news_peers_changed() tells new peers of the servers that are still listed. */
void drain_news_peers_changed(struct traffic *t)
{
	int64_t now_ms = clock_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_state *m = ((struct backend *)v)->state;

		if (!m->draining || m->drain_publishes_left)
			continue;
		m->drain_publishes_left = 1;
		m->next_drain_publish_ms =
			now_ms + g_rand_int_range(t->rand, 0, TELL_NEW_MS);
		arm(t);
	}
}
