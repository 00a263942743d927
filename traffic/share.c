#include "misc/clock.h"
#include "traffic/share.h"

enum {
	/*
	 * Changes within this are told together. The others decide on these
	 * counts, so each millisecond shows.
	 */
	GATHER_MS = 1,
	/* While requests are out they are told again, against loss. */
	AGAIN_MS = 400,
};

static void arm(struct traffic *t, int ms)
{
	ev_timer_stop(t->loop, &t->share_timer);
	ev_timer_set(&t->share_timer, ms / 1000.0, 0);
	ev_timer_start(t->loop, &t->share_timer);
}

static void on_share(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	struct peer_load *load = g_new(struct peer_load, 1);
	unsigned n;

	t->share_pending = false;
	peer_loads_expire(&t->peer_loads, &t->backends, clock_ms());
	peer_loads_collect(&t->backends, load);
	n = load->n;
	/* With a full queue this one is lost like a datagram. */
	if (mailbox_send(t->control, FROM_TRAFFIC_LOAD, load))
		g_free(load);
	if (n)
		arm(t, AGAIN_MS);
}

/* share_init() prepares the timer. */
void share_init(struct traffic *t)
{
	peer_loads_init(&t->peer_loads);
	ev_init(&t->share_timer, on_share);
	t->share_timer.data = t;
}

/* share_changed() is called when a request went to a server or came back. */
void share_changed(struct traffic *t, const struct service *s)
{
	if (service_reports_load(s) || t->share_pending)
		return;
	t->share_pending = true;
	arm(t, GATHER_MS);
}
