#include "common/event.h"
#include "misc/clock.h"
#include "traffic/leaving.h"

enum {
	/* It is told so often, after so long each, against loss. */
	TELLS = 3,
	AGAIN_MS = 1000,
	/*
	 * Peers that are new are told by some of the others: each waits up to this
	 * long, and needn't if somebody else has told it meanwhile.
	 */
	TELL_NEW_MS = 1000,
	TICK_MS = 100,
};

static void log_leaving(const struct server_memory *m, const char *by,
			const struct backend *b)
{
	mp_event(EV_BACKEND_LEAVING, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s by=%s listed=%d listed_as_draining=%d "
		 "in_flight=%u",
		 m->id, b ? b->service->name : "-", by, b != NULL,
		 b && b->entry.draining, b ? b->in_flight : 0);
}

static void arm(struct traffic *t)
{
	if (ev_is_active(&t->leaving_timer))
		return;
	ev_timer_set(&t->leaving_timer, TICK_MS / 1000.0, 0);
	ev_timer_start(t->loop, &t->leaving_timer);
}

/* Tells the peers of those that are due; returns whether more are to be told. */
static bool tell_due(struct traffic *t, int64_t now_ms)
{
	struct leaving_news news = {.n = 0};
	struct leaving_news *copy;
	bool more = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.memories.all);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_memory *m = v;
		struct leaving_item *item;

		if (!m->leaving_tells)
			continue;
		if (news.n == LEAVING_NEWS_MAX || now_ms < m->leaving_tell_ms) {
			more = true;
			continue;
		}
		item = &news.items[news.n++];
		g_strlcpy(item->id, m->id, sizeof(item->id));
		item->born_ms = m->born_ms;
		m->leaving_tells--;
		m->leaving_tell_ms = now_ms + AGAIN_MS;
		more = more || m->leaving_tells;
	}
	if (!news.n)
		return more;
	copy = g_memdup2(&news, sizeof(news));
	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_LEAVING, copy))
		g_free(copy);
	return more;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;

	if (tell_due(t, clock_ms()))
		arm(t);
}

/* leaving_init() prepares the timer. */
void leaving_init(struct traffic *t)
{
	ev_init(&t->leaving_timer, on_tick);
	t->leaving_timer.data = t;
}

/* leaving_heard() takes in that b has said so in an answer. */
void leaving_heard(struct traffic *t, struct backend *b)
{
	struct server_memory *m = b->memory;

	if (m->leaving)
		return;
	m->leaving = true;
	m->leaving_tells = TELLS;
	m->leaving_tell_ms = 0;
	log_leaving(m, "answer", b);
	if (tell_due(t, clock_ms()))
		arm(t);
}

/* leaving_told() takes in what a peer says that servers have said. */
void leaving_told(struct traffic *t, const struct leaving_news *news)
{
	for (unsigned i = 0; i < news->n; i++) {
		const struct leaving_item *it = &news->items[i];
		struct server_memory *m = server_memory_get(
			&t->backends.memories, it->id, it->born_ms);
		const struct backend *b =
			g_hash_table_lookup(t->backends.by_id, it->id);

		if (!m->leaving)
			log_leaving(m, "peer", b && b->memory == m ? b : NULL);
		m->leaving = true;
		if (m->leaving_tells)
			m->leaving_tells--;
		server_memory_release(m);
	}
}

/* leaving_peers_changed() has those told again that the list still names. */
void leaving_peers_changed(struct traffic *t)
{
	int64_t now_ms = clock_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_memory *m = ((struct backend *)v)->memory;

		if (!m->leaving || m->leaving_tells)
			continue;
		m->leaving_tells = 1;
		m->leaving_tell_ms =
			now_ms + g_rand_int_range(t->rand, 0, TELL_NEW_MS);
		arm(t);
	}
}
