#include "common/event.h"
#include "misc/clock.h"
#include "traffic/drain_gossip.h"

enum {
	ANNOUNCEMENTS = 3, /* repeated, since datagrams may be lost */
	RESEND_MS = 1000,
	/*
	 * One instance is enough to inform a new peer: each waits for a random
	 * time up to this, and sends nothing if another one was first.
	 */
	NEW_PEER_JITTER_MS = 1000,
	TICK_MS = 100,
};

/*
 * Logs that a server drains; `by` says who announced it. b is its entry, or
 * NULL.
 */
static void log_draining(const struct server_state *s, const char *by,
			 const struct backend *b)
{
	mp_event(EV_BACKEND_DRAINING, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s by=%s listed=%d listed_as_draining=%d "
		 "in_flight=%u",
		 s->id, b ? b->service->name : "-", by, b != NULL,
		 b && b->entry.draining, b ? b->in_flight : 0);
}

/* Starts the timer unless it is running. */
static void start_timer(struct traffic *t)
{
	if (ev_is_active(&t->drain_timer))
		return;
	ev_timer_set(&t->drain_timer, TICK_MS / 1000.0, 0);
	ev_timer_start(t->loop, &t->drain_timer);
}

/* Sends the announcements that are due. Returns whether more will follow. */
static bool send_due(struct traffic *t, int64_t now_ms)
{
	struct drain_gossip update = {.n = 0};
	struct drain_gossip *copy;
	bool more = false;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.states.by_start);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_state *s = v;
		struct drain_gossip_item *item;

		if (!s->drain_publishes_left)
			continue;
		if (update.n == DRAIN_GOSSIP_MAX ||
		    now_ms < s->next_drain_publish_ms) {
			more = true;
			continue;
		}
		item = &update.items[update.n++];
		g_strlcpy(item->id, s->id, sizeof(item->id));
		item->server_start_ms = s->server_start_ms;
		s->drain_publishes_left--;
		s->next_drain_publish_ms = now_ms + RESEND_MS;
		more = more || s->drain_publishes_left;
	}
	if (!update.n)
		return more;
	copy = g_memdup2(&update, sizeof(update));
	/* If the queue is full it is lost, as a datagram may be. */
	if (mailbox_send(t->control_inbox, FROM_TRAFFIC_DRAIN, copy))
		g_free(copy);
	return more;
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;

	if (send_due(t, clock_ms()))
		start_timer(t);
}

/* Initializes the timer. */
void drain_gossip_init(struct traffic *t)
{
	ev_init(&t->drain_timer, on_tick);
	t->drain_timer.data = t;
}

/* Handles an announcement in a response of b. */
void drain_gossip_announced(struct traffic *t, struct backend *b)
{
	struct server_state *s = b->state;

	if (s->draining)
		return;
	s->draining = true;
	s->drain_publishes_left = ANNOUNCEMENTS;
	s->next_drain_publish_ms = 0;
	log_draining(s, "answer", b);
	if (send_due(t, clock_ms()))
		start_timer(t);
}

/* Handles announcements that a peer has passed on. */
void drain_gossip_received(struct traffic *t, const struct drain_gossip *update)
{
	for (unsigned i = 0; i < update->n; i++) {
		const struct drain_gossip_item *it = &update->items[i];
		struct server_state *s = server_state_get(
			&t->backends.states, it->id, it->server_start_ms);
		const struct backend *b =
			g_hash_table_lookup(t->backends.by_id, it->id);

		if (!s->draining)
			log_draining(s, "peer", b && b->state == s ? b : NULL);
		s->draining = true;
		if (s->drain_publishes_left)
			s->drain_publishes_left--;
		server_state_release(s);
	}
}

/* Announces the listed servers that drain to new peers. */
void drain_gossip_peers_changed(struct traffic *t)
{
	int64_t now_ms = clock_ms();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct server_state *s = ((struct backend *)v)->state;

		if (!s->draining || s->drain_publishes_left)
			continue;
		s->drain_publishes_left = 1;
		s->next_drain_publish_ms =
			now_ms +
			g_rand_int_range(t->rand, 0, NEW_PEER_JITTER_MS);
		start_timer(t);
	}
}
