#include "misc/clock.h"
#include "traffic/inflight_report.h"

enum {
	/*
	 * Changes within this interval are sent together. Peers select servers
	 * by these counts, so every millisecond of delay matters.
	 */
	COALESCE_MS = 1,
	/*
	 * While requests are in flight the report is repeated, as it may get
	 * lost.
	 */
	REPEAT_MS = 400,
};

static void arm_timer(struct traffic *t, int ms)
{
	ev_timer_stop(t->loop, &t->inflight_report_timer);
	ev_timer_set(&t->inflight_report_timer, ms / 1000.0, 0);
	ev_timer_start(t->loop, &t->inflight_report_timer);
}

static void on_report_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	struct peer_load *load = g_new(struct peer_load, 1);
	unsigned n;

	t->inflight_report_pending = false;
	peer_loads_expire(&t->peer_loads, &t->backends, clock_ms());
	peer_loads_collect(&t->backends, load);
	n = load->n;
	/* With a full queue it is lost like a datagram. */
	if (mailbox_send(t->control_inbox, FROM_TRAFFIC_LOAD, load))
		g_free(load);
	if (n)
		arm_timer(t, REPEAT_MS);
}

/* Initialises the report timer and the peers' counts. */
void inflight_report_init(struct traffic *t)
{
	peer_loads_init(&t->peer_loads);
	ev_init(&t->inflight_report_timer, on_report_timer);
	t->inflight_report_timer.data = t;
}

/* Schedules a report after a request was sent to or returned from a server. */
void inflight_report_changed(struct traffic *t, const struct service *s)
{
	if (service_reports_load(s) || t->inflight_report_pending)
		return;
	t->inflight_report_pending = true;
	arm_timer(t, COALESCE_MS);
}
