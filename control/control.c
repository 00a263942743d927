#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "common/event.h"
#include "control/control.h"
#include "control/publish.h"
#include "control/relay.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	/* Granularity of all that is due; reads are due twice a second. */
	TICK_MS = 100,
	/* Waits for room in the queue to the traffic thread: 5 s in all. */
	SEND_TRIES = 5000,
	SEND_PAUSE_US = 1000,
	/*
	 * Instances that poll for the configuration: one poll may be lost
	 * for 3 s, and a version must be in force everywhere within 2 s.
	 */
	CONFIG_POLLERS = 2,
	/*
	 * Without the store an instance knows the others by then: they send
	 * heartbeats also to those that seem lost, every 5 s.
	 */
	ACQUAINTED_MS = 6000,
};

/*
 * control_tell_traffic() sends the traffic thread a message. A listing of many servers
 * may fill the queue before that has had its turn; it never waits for this thread, so
 * waiting for it is safe.
 */
void control_tell_traffic(struct control *c, int kind, void *data)
{
	for (int i = 0; i < SEND_TRIES; i++) {
		if (mailbox_send(c->out, kind, data) == 0)
			return;
		usleep(SEND_PAUSE_US);
	}
	mp_invariant(false, "the traffic thread takes no messages; kind=%d",
		     kind);
}

static void log_change(const struct backend_change *ch)
{
	if (ch->removed)
		mp_event(EV_MEMBER_REMOVED, G_LOG_LEVEL_MESSAGE,
			 "backend=%s offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT,
			 ch->entry.id, ch->pos.offset, ch->pos.era);
	else
		mp_event(ch->entry.draining ? EV_MEMBER_LEAVING
					    : EV_MEMBER_JOINED,
			 G_LOG_LEVEL_MESSAGE,
			 "backend=%s service=%s dc=%s offset=%" G_GUINT64_FORMAT
			 " era=%" G_GUINT64_FORMAT,
			 ch->entry.id, ch->entry.service, ch->entry.dc,
			 ch->pos.offset, ch->pos.era);
}

static void on_backend(void *priv, const struct backend_change *ch)
{
	struct backend_change *copy = g_new(struct backend_change, 1);

	*copy = *ch;
	log_change(ch);
	control_tell_traffic(priv, TO_TRAFFIC_BACKEND, copy);
}

/* What every datagram says of this instance. */
static void stamp_self(struct control *c, int64_t now_ms)
{
	struct peer_info *self = &c->peers.peers.self;

	self->store_era = c->store.era;
	self->records_era = c->records.checked_era;
	/*
	 * Only the store's answers to this instance vouch for its poll: a list
	 * that others fed kept two pollers that were both cut off from the
	 * store from being replaced, and a version was in force 3 s late.
	 */
	self->config =
		config_watch_mark(&c->config, c->backends.answered_ms, now_ms);
	c->knew = c->knew || (c->config.version && c->backends.list.loaded);
	self->ready = c->knew;
}

/*
 * A new version. One that a poll brought is told to the peers at once: they
 * would hear of it half a second later.
 */
static void on_config(void *priv, struct config *cfg)
{
	struct control *c = priv;
	int64_t now_ms = clock_ms();

	control_tell_traffic(c, TO_TRAFFIC_CONFIG, cfg);
	if (!c->config.polls)
		return;
	stamp_self(c, now_ms);
	peer_channel_beat_live(&c->peers, now_ms);
}

/* Passes the list on, unless nobody knows yet what the present era holds. */
static void feed(struct control *c, enum feed_to to, int64_t now_ms)
{
	if (backend_watch_is_current(&c->backends))
		feeder_send(&c->feeder, &c->peers, &c->backends.list, to,
			    now_ms);
}

/* After an own read: passes it on, which also is a heartbeat. */
static void on_read_done(void *priv, bool recovered)
{
	struct control *c = priv;
	int64_t now_ms = clock_ms();
	bool many = hubs_serve(&c->peers.peers);
	unsigned rank = peers_rank(&c->peers.peers, now_ms);

	control_publish_age(c);
	stamp_self(c, now_ms);
	feed(c, feeder_after_read(many, rank), now_ms);
	if (recovered)
		config_watch_restart(&c->config);
}

/*
 * A peer has a version that is new here: in a large system it is asked for
 * it, as the store's calls are dear there.
 */
static void fetch_config(struct control *c, const struct peer_info *peer,
			 enum config_need need)
{
	/* If another question is under way, the next heartbeat asks again. */
	if (need == CONFIG_ASK)
		(void)introduce_config(&c->introduce, peer, true);
	else if (need == CONFIG_READ &&
		 (!hubs_serve(&c->peers.peers) ||
		  introduce_config(&c->introduce, peer, false)))
		config_watch_read(&c->config);
}

/* What a peer tells that is not about who lives. */
static void on_peer(void *priv, const struct gossip_message *m)
{
	struct control *c = priv;
	int64_t now_ms = clock_ms();

	if (relay_from_peer(c, m))
		return;
	c->met = true;
	store_endpoint_learn(&c->store, m->sender.store_era, m->sender.name);
	if (m->kind == GOSSIP_FEED) {
		backend_watch_feed(&c->backends, &m->feed, now_ms);
		control_publish_age(c);
	}
	if (m->kind == GOSSIP_CRASH)
		crash_watch_heard(&c->crashes, m->sender.name, m->crashes);
	fetch_config(c, &m->sender,
		     config_watch_heard(&c->config, &m->sender.config, now_ms));
}

/* Both hold elements of so many bytes. */
static bool same_array(const GArray *a, const GArray *b, size_t size)
{
	return a && b && a->len == b->len &&
	       (a->len == 0 || !memcmp(a->data, b->data, a->len * size));
}

static bool same_view(const struct peer_view *a, const struct peer_view *b)
{
	return a->instances == b->instances &&
	       same_array(a->named, b->named, sizeof(struct peer_brief)) &&
	       same_array(a->sharers, b->sharers, sizeof(struct limit_sharer));
}

static void clear_view(struct peer_view *v)
{
	if (v->named)
		g_array_unref(v->named);
	if (v->sharers)
		g_array_unref(v->sharers);
}

/* Those that share what servers take; empty while they aren't known yet. */
static GArray *sharers(const struct control *c, int64_t now_ms)
{
	bool known = c->record.listed || now_ms - c->started_ms > ACQUAINTED_MS;

	if (!known)
		return g_array_new(FALSE, FALSE, sizeof(struct limit_sharer));
	return peers_sharers(&c->peers.peers,
			     (uint32_t)(c->settings.bounds.grace_s * 1000),
			     now_ms);
}

/* Tells the traffic thread of the peers when something changed. */
static void publish_peers(struct control *c, int64_t now_ms)
{
	struct peer_view v = {
		.instances = peers_count(&c->peers.peers, now_ms),
		.named = peers_for_callers(&c->peers.peers, now_ms),
		.sharers = sharers(c, now_ms),
	};

	if (same_view(&v, &c->last_view)) {
		clear_view(&v);
		return;
	}
	mp_event(EV_PEERS_CHANGED, G_LOG_LEVEL_MESSAGE,
		 "instances=%u for_callers=%u sharers=%u", v.instances,
		 v.named->len, v.sharers->len);
	clear_view(&c->last_view);
	c->last_view = v;
	/* Both threads only read them, and hold them by a reference each. */
	g_array_ref(v.named);
	g_array_ref(v.sharers);
	control_tell_traffic(c, TO_TRAFFIC_PEERS, g_memdup2(&v, sizeof(v)));
}

static void log_lost_peers(struct control *c, int64_t now_ms)
{
	const struct peer *p;

	while ((p = peers_next_lost(&c->peers.peers, now_ms)) != NULL)
		mp_event(EV_PEER_LOST, G_LOG_LEVEL_MESSAGE,
			 "peer=%s dc=%s leaving=%d silent_ms=%" G_GINT64_FORMAT,
			 p->info.name, p->info.dc, p->info.leaving,
			 now_ms - p->heard_ms);
}

static struct start_view start_view(const struct control *c, int64_t now_ms)
{
	return (struct start_view){
		.knows = c->knew,
		.many = hubs_serve(&c->peers.peers),
		.first = c->settings.first_start,
		.listed = c->record.listed,
		.listed_ms = c->record.listed_ms,
		.ready = peers_ready(&c->peers.peers, now_ms),
		.refused = c->introduce.refused,
		.failures = c->record.failures,
		.rank = peers_start_rank(&c->peers.peers, now_ms),
		.since_ms = c->started_ms,
	};
}

/* Those that don't read the store go on from the bookmark of one that does. */
static void tell_era(struct control *c, int64_t now_ms)
{
	if (!c->config.polls || c->config.pos.era == c->era_told)
		return;
	c->era_told = c->config.pos.era;
	peer_channel_beat_live(&c->peers, now_ms);
}

/* Does all that is due. */
static void step(struct control *c)
{
	int64_t now_ms = clock_ms();
	unsigned rank = peers_rank(&c->peers.peers, now_ms);
	struct start_view start = start_view(c, now_ms);
	bool reads = start_reads_store(&start, now_ms);
	unsigned store_failures =
		c->config.failures + c->backends.failures + c->record.failures;

	c->config.patient = start.many && rank >= HUBS;
	config_watch_tick(&c->config, reads || c->introduce.config_left,
			  rank < CONFIG_POLLERS, now_ms);
	backend_watch_tick(&c->backends, reads, rank, start.many, now_ms);
	control_publish_age(c);
	control_publish_cost(c);
	stamp_self(c, now_ms);
	if (start_asks_peers(&start, store_failures))
		introduce_tick(&c->introduce, store_failures > 0, now_ms);
	feed(c,
	     feeder_after_feed(&c->feeder, start.many, rank,
			       c->backends.list.fresh_ms, now_ms),
	     now_ms);
	tell_era(c, now_ms);
	peer_channel_tick(&c->peers, now_ms);
	crash_watch_tick(&c->crashes, rank, start.many);
	record_check_tick(&c->records, rank == 0, now_ms);
	log_lost_peers(c, now_ms);
	publish_peers(c, now_ms);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	step(t->data);
}

static void on_new_era(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct control *c = t->data;
	int64_t now_ms = clock_ms();

	config_watch_new_era(&c->config, now_ms);
	backend_watch_new_era(&c->backends, now_ms);
	step(c);
}

static void on_era_risen(void *priv)
{
	struct control *c = priv;

	ev_timer_stop(c->loop, &c->era_risen);
	ev_timer_start(c->loop, &c->era_risen);
}

static void on_verdict(void *priv, const struct verdict *v)
{
	control_tell_traffic(priv, TO_TRAFFIC_VERDICT,
			     g_memdup2(v, sizeof(*v)));
}

/* Verdicts that stand in the store. */
static void on_crash_records(void *priv, const GArray *news)
{
	struct control *c = priv;

	crash_watch_stored(&c->crashes, news);
}

/* The members are known: what to do next depends on how many there are. */
static void on_members(void *priv)
{
	step(priv);
}

/* SIGTERM: peers drop this instance from their answers at once. */
static void on_term(struct ev_loop *loop, ev_signal *s, int revents)
{
	struct control *c = s->data;

	if (c->stopping_ms)
		return;
	c->stopping_ms = clock_ms();
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE, "signal=%d", s->signum);
	c->peers.peers.self.leaving = true;
	peer_channel_beat_all(&c->peers, c->stopping_ms);
	publish_peers(c, c->stopping_ms);
	control_tell_traffic(c, TO_TRAFFIC_STOP, NULL);
}

/* Takes over changed settings and says which wait for the next start. */
static void take_settings(struct control *c,
			  const struct instance_settings *fresh)
{
	struct buf all = {0}, rest = {0};

	instance_settings_diff(&c->settings, fresh, &all);
	instance_settings_apply_reload(&c->settings, fresh);
	instance_settings_diff(&c->settings, fresh, &rest);
	mp_event(EV_RELOADED, G_LOG_LEVEL_MESSAGE,
		 "settings=%s changed=[%.*s ] at_next_start=[%.*s ]",
		 all.len ? "changed" : "as before", (int)all.len,
		 all.len ? all.ptr : "", (int)rest.len,
		 rest.len ? rest.ptr : "");
	buf_free(&all);
	buf_free(&rest);
	mp_log_set_level(c->settings.log_level);
	control_tell_traffic(
		c, TO_TRAFFIC_BOUNDS,
		g_memdup2(&c->settings.bounds, sizeof(c->settings.bounds)));
}

/* SIGHUP: the settings are read and checked anew; bad ones change nothing. */
static void on_hup(struct ev_loop *loop, ev_signal *s, int revents)
{
	struct control *c = s->data;
	struct instance_settings fresh;

	if (c->settings_source.load(c->settings_source.priv, &fresh))
		mp_event(EV_RELOADED, G_LOG_LEVEL_MESSAGE,
			 "settings=bad; the old ones stay in force");
	else
		take_settings(c, &fresh);
}

static void from_traffic(void *priv, struct mailbox_msg *m)
{
	struct control *c = priv;

	switch ((enum from_traffic)m->kind) {
	case FROM_TRAFFIC_STOPPED:
		ev_break(c->loop, EVBREAK_ALL);
		break;
	case FROM_TRAFFIC_CRASH:
		crash_watch_own(&c->crashes, m->data);
		g_free(m->data);
		break;
	case FROM_TRAFFIC_LOAD:
	case FROM_TRAFFIC_LIMIT_CALL:
	case FROM_TRAFFIC_LIMITS:
	case FROM_TRAFFIC_DRAIN:
		relay_from_traffic(c, (enum from_traffic)m->kind, m->data);
		break;
	}
}

static void watch_signal(struct control *c, ev_signal *s, int signum,
			 void (*cb)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(s, cb, signum);
	s->data = c;
	ev_signal_start(c->loop, s);
}

/*
 * control_init() prepares the control thread on the default loop of the
 * calling thread. Returns 0 or a negative errno.
 */
int control_init(struct control *c, const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct config_source *source, struct mailbox *out)
{
	struct peer_info self = {0};
	int rc;

	memset(c, 0, sizeof(*c));
	c->loop = ev_default_loop(EVFLAG_NOENV);
	c->settings = *s;
	c->settings_source = *settings_source;
	c->source = *source;
	c->out = out;
	g_strlcpy(self.name, s->name, sizeof(self.name));
	g_strlcpy(self.dc, s->dc, sizeof(self.dc));
	g_strlcpy(self.callers, s->callers, sizeof(self.callers));
	if (s->own)
		g_strlcpy(self.own, s->own, sizeof(self.own));
	if (getrandom(&self.boot, sizeof(self.boot), 0) != sizeof(self.boot))
		return -EIO;
	self.boot >>= 1; /* fits a signed reader too */
	rc = peer_channel_open(&c->peers, c->loop, s->peers, &self, on_peer, c);
	if (rc)
		return rc;
	rc = introduce_init(&c->introduce, c->loop, s->peers, &c->peers.peers,
			    &c->config, &c->backends);
	if (rc)
		return rc;
	mailbox_init(&c->in, c->loop, from_traffic, c);
	watch_signal(c, &c->term, SIGTERM, on_term);
	watch_signal(c, &c->interrupt, SIGINT, on_term);
	watch_signal(c, &c->hup, SIGHUP, on_hup);
	return 0;
}

/* control_run() runs the control thread until the traffic has stopped. */
void control_run(struct control *c)
{
	struct sockaddr_in addr;

	socket_parse_addr(c->settings.store, &addr);
	ev_timer_init(&c->era_risen, on_new_era, 0, 0);
	c->era_risen.data = c;
	store_endpoint_init(&c->store, &addr, on_era_risen, c);
	crash_watch_start(&c->crashes, c->loop, &c->store, &c->peers,
			  on_verdict, c);
	record_check_init(&c->records, c->loop, &c->store, &c->peers.peers,
			  &c->crashes);
	member_record_start(&c->record, c->loop, &c->store, &c->peers.peers,
			    on_members, on_crash_records, c);
	config_watch_start(&c->config, c->loop, &c->store, &c->source,
			   on_config, c);
	backend_watch_start(&c->backends, c->loop, &c->store, on_backend,
			    on_read_done, c);
	c->backends.list.heartbeat_ms = (int)c->settings.heartbeat_ms;
	c->started_ms = clock_ms();
	ev_timer_init(&c->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
	c->tick.data = c;
	ev_timer_start(c->loop, &c->tick);
	ev_run(c->loop, 0);
}
