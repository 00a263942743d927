#include "control/relay.h"
#include "misc/clock.h"

/* Peers that a report of GOSSIP_SHORTAGE goes to. */
enum { SHORTAGE_FANOUT = 16 };

/*
 * relay_from_peer() forwards a message to the traffic thread. Returns false if
 * it isn't meant for it.
 */
bool relay_from_peer(struct control *c, const struct gossip_message *m)
{
	switch (m->kind) {
	case GOSSIP_LOAD:
		control_send_traffic(c, TO_TRAFFIC_LOAD,
				     g_memdup2(&m->load, sizeof(m->load)));
		return true;
	case GOSSIP_GRANT_REQUEST:
	case GOSSIP_GRANT:
		control_send_traffic(c, TO_TRAFFIC_LIMIT_CALL,
				     g_memdup2(&m->call, sizeof(m->call)));
		return true;
	case GOSSIP_QUOTA_ASK:
		control_send_traffic(c, TO_TRAFFIC_QUOTA_ASK,
				     g_memdup2(&m->quota, sizeof(m->quota)));
		return true;
	case GOSSIP_QUOTA_ANSWER:
		control_send_traffic(c, TO_TRAFFIC_QUOTA_ANSWER,
				     g_memdup2(&m->quota, sizeof(m->quota)));
		return true;
	case GOSSIP_LIMITS:
		control_send_traffic(c, TO_TRAFFIC_LIMITS,
				     g_memdup2(&m->limits, sizeof(m->limits)));
		return true;
	case GOSSIP_DRAINING:
		control_send_traffic(c, TO_TRAFFIC_DRAIN,
				     g_memdup2(&m->drain, sizeof(m->drain)));
		return true;
	case GOSSIP_SHORTAGE:
		control_send_traffic(
			c, TO_TRAFFIC_SHORTAGE,
			g_memdup2(&m->shortage, sizeof(m->shortage)));
		return true;
	default:
		return false;
	}
}

/*
 * relay_from_traffic() sends a message of the traffic thread to the peers;
 * takes ownership of `data`.
 */
void relay_from_traffic(struct control *c, enum from_traffic kind, void *data)
{
	uint32_t self = peer_id(c->peers.peers.self.name);
	const char *dc = NULL;
	struct drain_gossip *drain = data;
	struct limit_gossip *limits = data;
	struct shortage_gossip *shortage = data;
	struct peer_load *load = data;
	struct buf b = {0};

	if (kind == FROM_TRAFFIC_LIMIT_CALL) {
		peer_channel_send_limit_call(&c->peers, data, clock_boot_ms());
	} else if (kind == FROM_TRAFFIC_QUOTA_ASK ||
		   kind == FROM_TRAFFIC_QUOTA_ANSWER) {
		peer_channel_send_quota(&c->peers, data);
	} else if (kind == FROM_TRAFFIC_LOAD) {
		load->peer = self;
		gossip_write_load(&b, load);
		if (peer_loads_are_local(
			    peers_count(&c->peers.peers, clock_boot_ms())))
			dc = c->peers.peers.self.dc;
	} else if (kind == FROM_TRAFFIC_LIMITS) {
		limits->peer = self;
		gossip_write_limits(&b, limits);
	} else if (kind == FROM_TRAFFIC_DRAIN) {
		drain->peer = self;
		gossip_write_drain(&b, drain);
	} else if (kind == FROM_TRAFFIC_SHORTAGE) {
		shortage->peer = self;
		gossip_write_shortage(&b, shortage);
		peer_channel_send_sample(&c->peers, &b, SHORTAGE_FANOUT,
					 clock_boot_ms());
		buf_free(&b);
	}
	if (b.len)
		peer_channel_send_plain(&c->peers, &b, dc, clock_boot_ms());
	buf_free(&b);
	g_free(data);
}
