#include <string.h>
#include <time.h>

#include <ck_pr.h>

#include "common/event.h"
#include "control/publish.h"
#include "member/contact.h"
#include "misc/clock.h"

enum {
	/* A live peer has answered the first heartbeat by then. */
	FIRST_HEARTBEAT_MS = 1000,
	/*
	 * If the store is unreachable, all peers are known by then: they send
	 * heartbeats every 5 s even to instances that seem lost.
	 */
	DISCOVERY_MS = 6000,
};

/*
 * Returns whether the configuration is confirmed. The store may have been
 * restored without a version that the peers know, so an instance that has just
 * started must receive their positions first.
 */
static bool is_config_confirmed(const struct control *c, int64_t now_ms)
{
	int64_t joined_ms = c->peers.peers.joined_ms;
	bool alone = joined_ms && now_ms - joined_ms > FIRST_HEARTBEAT_MS;

	return (c->seen_peer || alone) && !config_watch_is_behind(&c->config);
}

/* Returns a time of the control thread in the clock of the traffic thread. */
static uint64_t traffic_time(int64_t at_ms, int64_t now_ms)
{
	return (uint64_t)(clock_ms() - (now_ms - at_ms));
}

/*
 * control_publish_age() publishes the ages of the list and the configuration.
 */
void control_publish_age(struct control *c)
{
	int64_t now_ms = clock_boot_ms();
	uint32_t config_age_ms =
		is_config_confirmed(c, now_ms)
			? config_watch_age_ms(&c->config,
					      c->backends.answered_ms, now_ms)
			: AGE_UNKNOWN;

	ck_pr_store_64(&c->view.config_offset, c->config.pos.offset);
	ck_pr_store_64(&c->view.config_era, c->config.pos.era);
	ck_pr_store_64((uint64_t *)&c->view.config_ms,
		       traffic_time(now_ms - config_age_ms, now_ms));
	/* What is known from an earlier era is not confirmed in this one. */
	ck_pr_store_64((uint64_t *)&c->view.fresh_ms,
		       traffic_time(backend_watch_is_current(&c->backends)
					    ? c->backends.list.fresh_ms
					    : now_ms - AGE_UNKNOWN,
				    now_ms));
}

/*
 * control_publish_usage() publishes the resources used by the control thread.
 */
void control_publish_usage(struct control *c)
{
	const struct store_channel *channels[STORE_USERS] = {
		[STORE_USER_CONFIG] = &c->config.store,
		[STORE_USER_BACKENDS] = &c->backends.store,
		[STORE_USER_JOIN] = &c->join.store,
		[STORE_USER_VERDICTS] = &c->crashes.record.store,
		[STORE_USER_RECORDS] = &c->records.store,
	};
	uint64_t in = c->peers.bytes_in, out = c->peers.bytes_out;
	uint64_t calls = 0;
	struct timespec cpu;

	for (size_t i = 0; i < G_N_ELEMENTS(channels); i++) {
		in += channels[i]->bytes_in;
		out += channels[i]->bytes_out;
		calls += channels[i]->calls;
		ck_pr_store_64(&c->view.store_calls_by[i], channels[i]->calls);
	}
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu);
	ck_pr_store_64(&c->view.cpu_us, (uint64_t)cpu.tv_sec * 1000000 +
						(uint64_t)cpu.tv_nsec / 1000);
	ck_pr_store_64(&c->view.bytes_in, in);
	ck_pr_store_64(&c->view.bytes_out, out);
	ck_pr_store_64(&c->view.store_calls, calls);
	ck_pr_store_64(&c->view.store_era, c->store.era);
}

/*
 * Returns whether two arrays have equal contents; `size` is that of an element.
 */
static bool arrays_equal(const GArray *a, const GArray *b, size_t size)
{
	return a && b && a->len == b->len &&
	       (a->len == 0 || !memcmp(a->data, b->data, a->len * size));
}

static bool views_equal(const struct peer_view *a, const struct peer_view *b)
{
	return a->instances == b->instances &&
	       arrays_equal(a->named, b->named, sizeof(struct peer_endpoint)) &&
	       arrays_equal(a->participants, b->participants,
			    sizeof(struct limit_instance));
}

static void clear_view(struct peer_view *v)
{
	if (v->named)
		g_array_unref(v->named);
	if (v->participants)
		g_array_unref(v->participants);
}

/* Returns the instances that share the servers' limits; empty until known. */
static GArray *participants(const struct control *c, int64_t now_ms)
{
	bool known = c->peers.peers.joined_ms ||
		     now_ms - c->started_ms > DISCOVERY_MS;

	if (!known)
		return g_array_new(FALSE, FALSE, sizeof(struct limit_instance));
	return peers_limit_participants(
		&c->peers.peers, (uint32_t)(c->settings.bounds.grace_s * 1000),
		now_ms);
}

/* control_publish_peers() sends the traffic thread the peers if they changed. */
void control_publish_peers(struct control *c, int64_t now_ms)
{
	contact_update(&c->peers.peers, c->backends.answered_ms, now_ms);

	struct peer_view v = {
		.instances = peers_count(&c->peers.peers, now_ms),
		.named = peers_for_callers(&c->peers.peers, now_ms),
		.participants = participants(c, now_ms),
	};

	if (views_equal(&v, &c->last_view)) {
		clear_view(&v);
		return;
	}
	mp_event(EV_PEERS_CHANGED, G_LOG_LEVEL_MESSAGE,
		 "instances=%u for_callers=%u sharers=%u", v.instances,
		 v.named->len, v.participants->len);
	clear_view(&c->last_view);
	c->last_view = v;
	/* Both threads only read the arrays, and each holds a reference. */
	g_array_ref(v.named);
	g_array_ref(v.participants);
	control_send_traffic(c, TO_TRAFFIC_PEERS, g_memdup2(&v, sizeof(v)));
}
