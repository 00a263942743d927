#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "common/event.h"
#include "control/backend_log.h"
#include "control/control.h"
#include "control/publish.h"
#include "control/relay.h"
#include "control/sources.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	/* Granularity of periodic work; reads are due about twice a second. */
	TICK_MS = 100,
	/* Attempts to enqueue a message to the traffic thread: 5 s in all. */
	SEND_TRIES = 5000,
	SEND_PAUSE_US = 1000,
	/*
	 * Instances that poll for the configuration: a poll may be lost for 3
	 * s, and a version must be in force everywhere within 2 s.
	 */
	CONFIG_POLLERS = 2,
	/* Of an instance that isn't a member yet: behind all others. */
	UNKNOWN_RANK = 1 << 20,
};

/*
 * control_send_traffic() sends a message to the traffic thread. A listing of
 * many servers may fill the queue faster than the traffic thread empties it.
 * The traffic thread never waits for this one, so blocking here can't deadlock.
 */
void control_send_traffic(struct control *c, int kind, void *data)
{
	for (int i = 0; i < SEND_TRIES; i++) {
		if (mailbox_send(c->out, kind, data) == 0)
			return;
		usleep(SEND_PAUSE_US);
	}
	mp_invariant(false,
		     "the queue to the traffic thread stayed full; kind=%d",
		     kind);
}

/*
 * Sends a change of the list to the traffic thread and logs it. The first list
 * is logged as a whole.
 */
static void on_backend(void *priv, const struct backend_change *ch)
{
	struct backend_change *copy = g_new(struct backend_change, 1);
	struct control *c = priv;

	*copy = *ch;
	if (c->list_logged)
		backend_log_change(ch);
	control_send_traffic(c, TO_TRAFFIC_BACKEND, copy);
}

/* Updates the description of this instance that each datagram carries. */
static void update_self(struct control *c, int64_t now_ms)
{
	struct peer_info *self = &c->peers.peers.self;

	self->store_era = c->store.era;
	self->records_era = c->records.checked_era;
	/*
	 * Only answers of the store to this instance confirm its poll. When
	 * lists fed by peers counted too, two pollers cut off from the store
	 * were not replaced, and a version was in force 3 s late.
	 */
	self->config = config_watch_progress(&c->config,
					     c->backends.answered_ms, now_ms);
	if (!c->list_logged && c->backends.list.loaded) {
		c->list_logged = true;
		backend_log_list(&c->backends.list);
	}
	if (c->can_serve || !c->config.version || !c->backends.list.loaded)
		return;
	c->can_serve = true;
	self->ready = true;
	/* Those that start with it in its data centre look for a source. */
	if (c->peers.peers.joined_by_store)
		peer_channel_greet(&c->peers, now_ms);
}

/*
 * Reports to the peers at once what a poll has returned; with the next
 * heartbeat they would learn of it half a second later.
 */
static void announce_progress(struct control *c)
{
	int64_t now_ms = clock_boot_ms();

	if (!c->config.polls)
		return;
	update_self(c, now_ms);
	peer_channel_heartbeat_live(&c->peers, now_ms);
}

/* Handles a new version. */
static void on_config(void *priv, struct config *cfg)
{
	struct control *c = priv;

	control_send_traffic(c, TO_TRAFFIC_CONFIG, cfg);
	announce_progress(c);
}

/* Handles a change of the evacuated data centres, likewise. */
static void on_evacuations(void *priv, const struct evacuations *e)
{
	struct control *c = priv;

	control_send_traffic(c, TO_TRAFFIC_EVACUATIONS,
			     g_memdup2(e, sizeof(*e)));
	announce_progress(c);
}

/*
 * Sends the recent changes, unless the list isn't confirmed in the present era.
 */
static void send_feed(struct control *c, enum feed_target to, int64_t now_ms)
{
	if (backend_watch_is_current(&c->backends))
		feeder_send(&c->feeder, &c->peers, &c->backends.list, to,
			    now_ms);
}

/* Sends the changes of an own read to the peers; it counts as a heartbeat. */
static void on_read_done(void *priv, bool recovered)
{
	struct control *c = priv;
	int64_t now_ms = clock_boot_ms();
	bool large = hubs_enabled(&c->peers.peers);
	unsigned rank = peers_rank(&c->peers.peers, now_ms);

	control_publish_age(c);
	update_self(c, now_ms);
	send_feed(c, feeder_target_after_read(large, rank), now_ms);
	if (recovered)
		config_watch_restart(&c->config);
}

/* Handles a peer's message, except for membership. */
static void on_peer(void *priv, const struct gossip_message *m)
{
	struct control *c = priv;
	int64_t now_ms = clock_boot_ms();

	if (relay_from_peer(c, m))
		return;
	c->seen_peer = true;
	if (!c->peers.peers.joined_ms)
		sources_join(c, now_ms);
	store_endpoint_update_era(&c->store, m->sender.store_era,
				  m->sender.name);
	if (m->kind == GOSSIP_FEED) {
		backend_watch_apply_feed(&c->backends, &m->feed, now_ms);
		control_publish_age(c);
	}
	if (m->kind == GOSSIP_CRASHES)
		crash_watch_add_peer(&c->crashes, m->sender.name, m->crashes);
	sources_get_config(
		c, &m->sender,
		config_watch_on_progress(&c->config, &m->sender.config, now_ms),
		now_ms);
}

/* Logs peers that have become silent, once each. */
static void log_lost_peers(struct control *c, int64_t now_ms)
{
	const struct peer *p;

	while ((p = peers_next_lost(&c->peers.peers, now_ms)) != NULL)
		mp_event(EV_PEER_LOST, G_LOG_LEVEL_MESSAGE,
			 "peer=%s dc=%s leaving=%d silent_ms=%" G_GINT64_FORMAT,
			 p->info.name, p->info.dc, p->info.leaving,
			 now_ms - p->heartbeat_ms);
}

/* Collects what the startup decides on. */
static struct start_state start_state(const struct control *c)
{
	const struct peer_table *t = &c->peers.peers;

	return (struct start_state){
		.done = c->can_serve,
		.joined_by_store = t->joined_ms
					   ? t->joined_by_store
					   : c->join.store.call != STORE_IDLE,
		.joined_by_peer = t->joined_ms && !t->joined_by_store,
		.member_failures = c->join.failures,
		.started_ms = c->started_ms,
	};
}

/*
 * Announces a new era at once: instances that don't read the store continue
 * from the position of one that does.
 */
static void announce_era(struct control *c, int64_t now_ms)
{
	if (!c->config.polls || c->config.pos.era == c->era_announced)
		return;
	c->era_announced = c->config.pos.era;
	peer_channel_heartbeat_live(&c->peers, now_ms);
}

/* Runs all periodic work that is due. */
static void run_due(struct control *c)
{
	int64_t now_ms = clock_boot_ms();
	bool joined = c->peers.peers.joined_ms != 0;
	bool large = hubs_enabled(&c->peers.peers);
	unsigned rank =
		joined ? peers_rank(&c->peers.peers, now_ms) : UNKNOWN_RANK;
	struct start_state start = start_state(c);
	bool reads = start_should_read_store(&start, now_ms);
	unsigned store_failures =
		c->config.failures + c->backends.failures + c->join.failures;

	sources_join(c, now_ms);
	sources_set_delays(c, large, rank, now_ms);
	sources_tick(c, now_ms);
	config_watch_tick(&c->config, reads || c->peer_fetch.config_too_large,
			  rank < CONFIG_POLLERS, now_ms);
	backend_watch_tick(&c->backends, reads, rank, large, now_ms);
	control_publish_age(c);
	control_publish_usage(c);
	update_self(c, now_ms);
	if (start_should_fetch_from_peers(&start, store_failures))
		peer_fetch_tick(&c->peer_fetch, store_failures > 0, now_ms);
	send_feed(c,
		  feeder_target_after_feed(&c->feeder, large, rank,
					   c->backends.list.fresh_ms, now_ms),
		  now_ms);
	announce_era(c, now_ms);
	peer_channel_tick(&c->peers, now_ms);
	crash_watch_tick(&c->crashes, rank, large);
	record_check_tick(&c->records, rank == 0, now_ms);
	log_lost_peers(c, now_ms);
	control_publish_peers(c, now_ms);
}

static void on_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	run_due(t->data);
}

/* Resets what depends on the era; runs outside the store callback. */
static void on_new_era(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct control *c = t->data;
	int64_t now_ms = clock_boot_ms();

	config_watch_new_era(&c->config, now_ms);
	backend_watch_new_era(&c->backends, now_ms);
	run_due(c);
}

/* Defers the handling of a new era to the event loop. */
static void on_era_risen(void *priv)
{
	struct control *c = priv;

	ev_timer_stop(c->loop, &c->era_timer);
	ev_timer_start(c->loop, &c->era_timer);
}

static void on_verdict(void *priv, const struct verdict *v)
{
	control_send_traffic(priv, TO_TRAFFIC_VERDICT,
			     g_memdup2(v, sizeof(*v)));
}

/* Handles verdicts read from the store. */
static void on_stored_verdicts(void *priv, const GArray *notices)
{
	struct control *c = priv;

	crash_watch_add_stored(&c->crashes, notices);
}

/* Handles the record of an instance in the store. */
static void on_record(void *priv, const struct peer_info *p)
{
	struct control *c = priv;

	record_check_note(&c->records, p);
}

/* Continues the startup now that the members are known. */
static void on_members(void *priv)
{
	run_due(priv);
}

/*
 * Handles the end of a stall. Datagrams that waited say nothing of the present:
 * signs of life may be of instances that are gone, and ages count from when a
 * datagram was sent. The same holds for the answer to a poll.
 */
static void on_stall_ended(void *priv, int64_t stalled_ms)
{
	struct control *c = priv;
	unsigned dropped = peer_channel_discard(&c->peers);

	c->peers.peers.listening_ms = clock_boot_ms();
	config_watch_restart(&c->config);
	mp_event(EV_STALLED, G_LOG_LEVEL_MESSAGE,
		 "stalled_ms=%" G_GINT64_FORMAT " datagrams=%u", stalled_ms,
		 dropped);
}

/* Handles SIGTERM and SIGINT: peers stop naming this instance to callers. */
static void on_term(struct ev_loop *loop, ev_signal *s, int revents)
{
	struct control *c = s->data;

	if (c->stopping_ms)
		return;
	c->stopping_ms = clock_boot_ms();
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE, "signal=%d", s->signum);
	c->peers.peers.self.leaving = true;
	peer_channel_heartbeat_all(&c->peers, c->stopping_ms);
	control_publish_peers(c, c->stopping_ms);
	control_send_traffic(c, TO_TRAFFIC_STOP, NULL);
}

/* Applies changed settings and logs those that need a restart. */
static void apply_settings(struct control *c,
			   const struct instance_settings *loaded)
{
	struct buf changed = {0}, deferred = {0};

	instance_settings_diff(&c->settings, loaded, &changed);
	instance_settings_apply_reload(&c->settings, loaded);
	instance_settings_diff(&c->settings, loaded, &deferred);
	mp_event(EV_RELOADED, G_LOG_LEVEL_MESSAGE,
		 "settings=%s changed=[%.*s ] at_next_start=[%.*s ]",
		 changed.len ? "changed" : "as before", (int)changed.len,
		 changed.len ? changed.ptr : "", (int)deferred.len,
		 deferred.len ? deferred.ptr : "");
	buf_free(&changed);
	buf_free(&deferred);
	mp_log_set_level(c->settings.log_level);
	control_send_traffic(
		c, TO_TRAFFIC_BOUNDS,
		g_memdup2(&c->settings.bounds, sizeof(c->settings.bounds)));
}

/* Handles SIGHUP: reloads the settings; invalid ones change nothing. */
static void on_hup(struct ev_loop *loop, ev_signal *s, int revents)
{
	struct control *c = s->data;
	struct instance_settings loaded;

	if (c->settings_source.load(c->settings_source.priv, &loaded))
		mp_event(EV_RELOADED, G_LOG_LEVEL_MESSAGE,
			 "settings=bad; the previous settings stay in force");
	else
		apply_settings(c, &loaded);
}

/* Handles a message of the traffic thread. */
static void from_traffic(void *priv, struct mailbox_msg *m)
{
	struct control *c = priv;

	switch ((enum from_traffic)m->kind) {
	case FROM_TRAFFIC_STOPPED:
		ev_break(c->loop, EVBREAK_ALL);
		break;
	case FROM_TRAFFIC_CRASH:
		crash_watch_add_local(&c->crashes, m->data);
		g_free(m->data);
		break;
	case FROM_TRAFFIC_LOAD:
	case FROM_TRAFFIC_LIMIT_CALL:
	case FROM_TRAFFIC_QUOTA_ASK:
	case FROM_TRAFFIC_QUOTA_ANSWER:
	case FROM_TRAFFIC_LIMITS:
	case FROM_TRAFFIC_DRAIN:
	case FROM_TRAFFIC_SHORTAGE:
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
 * control_init() prepares the control thread on the default loop of the calling
 * thread. Returns 0 or a negative errno.
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
	g_strlcpy(self.caller_addr, s->callers, sizeof(self.caller_addr));
	if (s->own)
		g_strlcpy(self.own_addr, s->own, sizeof(self.own_addr));
	if (getrandom(&self.boot_id, sizeof(self.boot_id), 0) !=
	    sizeof(self.boot_id))
		return -EIO;
	self.boot_id >>= 1; /* fits a signed integer too */
	rc = peer_channel_open(&c->peers, c->loop, s->peers, &self, on_peer, c);
	if (rc)
		return rc;
	rc = peer_fetch_init(&c->peer_fetch, c->loop, s, &c->peers.peers,
			     &c->config, &c->backends, &c->join, &c->crashes);
	if (rc)
		return rc;
	mailbox_init(&c->in, c->loop, from_traffic, c);
	watch_signal(c, &c->term, SIGTERM, on_term);
	watch_signal(c, &c->interrupt, SIGINT, on_term);
	watch_signal(c, &c->hup, SIGHUP, on_hup);
	return 0;
}

/*
 * control_run() runs the control thread until the traffic thread has stopped.
 */
void control_run(struct control *c)
{
	struct sockaddr_in addr;

	socket_parse_addr(c->settings.store, &addr);
	ev_timer_init(&c->era_timer, on_new_era, 0, 0);
	c->era_timer.data = c;
	store_endpoint_init(&c->store, &addr, on_era_risen, c);
	crash_watch_start(&c->crashes, c->loop, &c->store, &c->peers,
			  on_verdict, c);
	record_check_init(&c->records, c->loop, &c->store, &c->peers.peers,
			  &c->crashes);
	member_join_start(&c->join, c->loop, &c->store, &c->peers,
			  instance_settings_seeds(&c->settings),
			  instance_settings_is_seed(&c->settings),
			  c->settings.first_start, on_members, on_record,
			  on_stored_verdicts, c);
	config_watch_start(&c->config, c->loop, &c->store, &c->source,
			   on_config, c);
	c->config.evacuated = on_evacuations;
	backend_watch_start(&c->backends, c->loop, &c->store, on_backend,
			    on_read_done, c);
	c->backends.list.heartbeat_ms = (int)c->settings.heartbeat_ms;
	c->started_ms = clock_boot_ms();
	ev_timer_init(&c->tick, on_tick, TICK_MS / 1000.0, TICK_MS / 1000.0);
	c->tick.data = c;
	ev_timer_start(c->loop, &c->tick);
	stall_start(&c->stall, c->loop, on_stall_ended, c);
	ev_run(c->loop, 0);
}
