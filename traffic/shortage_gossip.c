#include "common/event.h"
#include "core/mechanisms.h"
#include "misc/clock.h"
#include "traffic/shortage_gossip.h"

enum {
	/* Between two reports. */
	PERIOD_MS = 500,
	/* While requests find no room. */
	SHORT_PERIOD_MS = 150,
};

/* Moves a service's counts into a report; false if there are none. */
static bool take_item(struct service *s, struct shortage_item *it)
{
	struct shortage_counts c = shortage_take_untold(&s->shortage);

	it->service = g_str_hash(s->name);
	it->counts.asked = MIN(c.asked, SHORTAGE_COUNT_MAX);
	it->counts.missed = MIN(c.missed, SHORTAGE_COUNT_MAX);
	return c.asked || c.missed;
}

/* Fills a report; counts that don't fit are told with the next one. */
static void collect(struct traffic *t, struct shortage_gossip *update)
{
	GHashTableIter it;
	gpointer v;

	update->n = 0;
	g_hash_table_iter_init(&it, t->backends.services);
	while (update->n < SHORTAGE_GOSSIP_MAX &&
	       g_hash_table_iter_next(&it, NULL, &v)) {
		if (take_item(v, &update->items[update->n]))
			update->n++;
	}
}

static void on_period(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	struct shortage_gossip *update = g_new(struct shortage_gossip, 1);

	collect(t, update);
	/* With a full queue it is lost like a datagram. */
	if (!update->n ||
	    mailbox_send(t->control_inbox, FROM_TRAFFIC_SHORTAGE, update))
		g_free(update);
}

/* Initializes the timer. */
void shortage_gossip_init(struct traffic *t)
{
	ev_init(&t->shortage_timer, on_period);
	t->shortage_timer.data = t;
}

/* Schedules a report after `period_ms`, unless one is due sooner. */
static void schedule(struct traffic *t, unsigned period_ms)
{
	double s = period_ms / 1000.0 * (0.75 + 0.5 * g_rand_double(t->rand));

	if (ev_is_active(&t->shortage_timer) &&
	    ev_timer_remaining(t->loop, &t->shortage_timer) <= s)
		return;
	ev_timer_stop(t->loop, &t->shortage_timer);
	ev_timer_set(&t->shortage_timer, s, 0);
	ev_timer_start(t->loop, &t->shortage_timer);
}

/* Logs that waits end, or that they have their usual length again. */
static void log_change(struct service *s, int64_t now_ms)
{
	double share = shortage_share(&s->shortage, now_ms);
	double cut = shortage_wait_cut(share);

	if (!s->shortage_ms && cut >= 1) {
		s->shortage_ms = now_ms;
		mp_event(EV_SHORTAGE_BEGUN, G_LOG_LEVEL_MESSAGE,
			 "service=%s share=%.2f waiting=%u", s->name, share,
			 s->waiting.length);
	} else if (s->shortage_ms && cut <= 0) {
		mp_event(EV_SHORTAGE_ENDED, G_LOG_LEVEL_MESSAGE,
			 "service=%s share=%.2f ms=%" G_GINT64_FORMAT, s->name,
			 share, now_ms - s->shortage_ms);
		s->shortage_ms = 0;
	}
}

/* Counts a new request, or that it found no room. */
void shortage_gossip_count(struct request *r, bool missed, int64_t now_ms)
{
	struct admit_request view = request_admission_view(r, now_ms);
	struct shortage_counts own = {.asked = !missed, .missed = missed};

	if (!mechanisms.shortage ||
	    (missed ? !r->counted_asked || r->counted_missed
		    : !admit_can_be_on_time(&view)))
		return;
	r->counted_asked = true;
	r->counted_missed = missed;
	shortage_record(&r->service->shortage, own, now_ms);
	log_change(r->service, now_ms);
	if (shortage_is_felt(&r->service->shortage, now_ms))
		schedule(r->traffic, missed ? SHORT_PERIOD_MS : PERIOD_MS);
}

/* Adds what a peer has counted. */
void shortage_gossip_received(struct traffic *t,
			      const struct shortage_gossip *update)
{
	int64_t now_ms = clock_ms();
	GHashTableIter it;
	gpointer v;

	if (!mechanisms.shortage)
		return;
	g_hash_table_iter_init(&it, t->backends.services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct service *s = v;
		uint32_t id = g_str_hash(s->name);

		for (unsigned i = 0; i < update->n; i++) {
			if (update->items[i].service == id)
				shortage_record_told(&s->shortage,
						     update->items[i].counts,
						     now_ms);
		}
	}
}
