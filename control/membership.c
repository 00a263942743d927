#include "common/event.h"
#include "control/membership.h"
#include "misc/clock.h"

enum {
	/*
	 * A changed roster is sent in full for this long, three times, since
	 * datagrams get lost.
	 */
	FULL_ROSTER_MS = 1500,
	/* Peers that an instance which joins is told to fetch its state from. */
	SOURCES_MAX = 6,
	/*
	 * Details that are requested after a roster; more are requested after
	 * the next ones. While a whole deployment starts, all miss many.
	 */
	INFO_REQUEST_MAX = 30,
};

/* Sends the full roster to one peer, or to all live ones if `to` is NULL. */
static void send_full_roster(struct peer_channel *ch, const struct roster *r,
			     struct peer *to, int64_t now_ms)
{
	struct buf b = {0};
	guint at = 0;

	do {
		b.len = 0;
		at = gossip_write_roster(&b, &ch->peers.self, r, at);
		if (to)
			peer_channel_send(ch, &b, to, now_ms);
		else
			peer_channel_distribute(ch, &b, ch->roster_turn, true,
						now_ms);
	} while (at < r->entries->len);
	buf_free(&b);
}

/*
 * membership_publish_roster() sends the full roster while it changes, and
 * otherwise only its digest.
 */
void membership_publish_roster(struct peer_channel *ch, int64_t now_ms)
{
	struct buf b = {0};
	struct roster r;
	uint32_t digest;

	roster_init(&r);
	hubs_build_roster(&ch->peers, &r, now_ms);
	digest = roster_digest(&r);
	if (digest != ch->roster_digest || ch->last_roster_ms == 0)
		ch->roster_changed_ms = now_ms;
	ch->roster_digest = digest;
	ch->last_roster_ms = now_ms;
	ch->roster_turn++;
	if (now_ms - ch->roster_changed_ms < FULL_ROSTER_MS) {
		send_full_roster(ch, &r, NULL, now_ms);
	} else {
		gossip_write_roster_digest(&b, &ch->peers.self, digest);
		peer_channel_distribute(ch, &b, ch->roster_turn, true, now_ms);
	}
	roster_clear(&r);
	buf_free(&b);
}

/* Sends the full roster to a peer that missed a part of it. */
static void resend_roster(struct peer_channel *ch, const char *name,
			  int64_t now_ms)
{
	struct peer *p = peers_find(&ch->peers, name);
	struct roster r;

	if (!p)
		return;
	roster_init(&r);
	hubs_build_roster(&ch->peers, &r, now_ms);
	send_full_roster(ch, &r, p, now_ms);
	roster_clear(&r);
}

/* Compares the digest of a roster; if it differs, requests the full roster. */
static void apply_digest(struct peer_channel *ch,
			 const struct gossip_message *m, int64_t now_ms)
{
	struct peer *hub = peers_find(&ch->peers, m->sender.name);
	struct buf b = {0};

	if (hubs_apply_digest(&ch->peers, m->digest, now_ms) || !hub)
		return;
	gossip_write_roster_request(&b, &ch->peers.self);
	peer_channel_send(ch, &b, hub, now_ms);
	buf_free(&b);
}

/* Requests details of some unknown members from the sender of a roster. */
static void request_member_info(struct peer_channel *ch, struct peer *hub,
				const GArray *ids, int64_t now_ms)
{
	struct buf b = {0};
	guint at = 0;

	while (hub && at < ids->len) {
		b.len = 0;
		at = gossip_write_info_request(&b, &ch->peers.self, ids, at);
		peer_channel_send(ch, &b, hub, now_ms);
	}
	buf_free(&b);
}

/* Returns an empty array of struct peer_report. */
static GArray *reports_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(struct peer_report));
}

/* Adds the description of a peer. */
static void add_report(GArray *reports, const struct peer *p, int64_t now_ms)
{
	struct peer_report r = peer_describe(p, now_ms);

	g_array_append_val(reports, r);
}

/* Sends a peer descriptions of instances; at least one datagram. */
static void send_infos(struct peer_channel *ch, struct peer *to,
		       const GArray *reports, int64_t now_ms)
{
	struct buf b = {0};
	guint at = 0;

	do {
		b.len = 0;
		at += gossip_write_info(
			&b, &ch->peers.self,
			(const struct peer_report *)reports->data + at,
			reports->len - at);
		peer_channel_send(ch, &b, to, now_ms);
	} while (at < reports->len);
	buf_free(&b);
}

/* Sends a peer the details of all live instances. */
static void send_live_infos(struct peer_channel *ch, struct peer *to,
			    int64_t now_ms)
{
	GArray *reports = reports_new();

	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (p != to && peer_alive(p, now_ms))
			add_report(reports, p, now_ms);
	}
	send_infos(ch, to, reports, now_ms);
	g_array_unref(reports);
}

/*
 * Tells an instance that joins which peers it can fetch its state from. It
 * isn't a member yet, so this doesn't count as its heartbeat.
 */
static void reply_to_join(struct peer_channel *ch,
			  const struct gossip_message *m, int64_t now_ms)
{
	struct peer *p = peers_add(&ch->peers, &m->sender, now_ms);
	struct peer_report self = {ch->peers.self, 0};
	const struct peer_info *sources[SOURCES_MAX];
	GArray *reports;
	unsigned n;

	if (!p || !ch->peers.joined_ms)
		return;
	if (!peer_alive(p, now_ms))
		p->info = m->sender;
	n = peers_list_sources(&ch->peers, m->sender.dc, g_random_int(), now_ms,
			       SOURCES_MAX, sources);
	reports = reports_new();
	for (unsigned i = 0; i < n; i++)
		add_report(reports, peers_find(&ch->peers, sources[i]->name),
			   now_ms);
	if (ch->peers.self.ready && !ch->peers.self.leaving)
		g_array_append_val(reports, self);
	send_infos(ch, p, reports, now_ms);
	g_array_unref(reports);
}

/* Applies a roster and requests details of the members it adds. */
static void receive_roster(struct peer_channel *ch,
			   const struct gossip_message *m, int64_t now_ms)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	hubs_apply_roster(&ch->peers, &m->roster, unknown, now_ms);
	if (unknown->len > INFO_REQUEST_MAX)
		g_array_set_size(unknown, INFO_REQUEST_MAX);
	request_member_info(ch, peers_find(&ch->peers, m->sender.name), unknown,
			    now_ms);
	g_array_unref(unknown);
}

/* Answers a request for members' details. */
static void reply_member_info(struct peer_channel *ch,
			      const struct gossip_message *m, int64_t now_ms)
{
	struct peer *requester = peers_find(&ch->peers, m->sender.name);
	GArray *reports = reports_new();

	for (guint i = 0; i < m->ids->len; i++) {
		struct peer *p = hubs_find_peer(
			&ch->peers, g_array_index(m->ids, uint32_t, i));

		if (p)
			add_report(reports, p, now_ms);
	}
	if (requester)
		send_infos(ch, requester, reports, now_ms);
	g_array_unref(reports);
}

/* Adds the instances that a peer describes. */
static void receive_infos(struct peer_channel *ch,
			  const struct gossip_message *m, int64_t now_ms)
{
	for (guint i = 0; i < m->infos->len; i++)
		peers_note_report(
			&ch->peers,
			&g_array_index(m->infos, struct peer_report, i),
			now_ms);
}

/*
 * Sends a heartbeat to a peer that is new, has restarted or was thought lost.
 * In a small deployment it also gets to know all others so; in a large one, the
 * roster names them. An instance that isn't a member itself stays silent.
 */
static void on_peer_joined(struct peer_channel *ch,
			   const struct peer_info *info, int64_t now_ms)
{
	struct peer *p = peers_find(&ch->peers, info->name);
	struct buf b = {0};

	ch->has_new_peer = true;
	ch->joins++;
	mp_event(EV_PEER_JOINED, G_LOG_LEVEL_MESSAGE,
		 "peer=%s dc=%s boot=%" G_GUINT64_FORMAT, info->name, info->dc,
		 info->boot_id);
	if (!ch->peers.joined_ms)
		return;
	gossip_write_heartbeat(&b, &ch->peers.self);
	peer_channel_send(ch, &b, p, now_ms);
	buf_free(&b);
	if (!hubs_enabled(&ch->peers))
		send_live_infos(ch, p, now_ms);
}

/*
 * Tells a peer the hubs if the first hub doesn't list it: it knows others, or
 * not the first one. Parts of a deployment that started apart join so. If there
 * is no roster, the first hub may know too few instances to send any.
 */
static void redirect_to_hubs(struct peer_channel *ch,
			     const struct gossip_message *m, int64_t now_ms)
{
	struct peer *sender = peers_find(&ch->peers, m->sender.name);
	GArray *hubs;

	if (!sender || sender->in_roster || !hubs_enabled(&ch->peers) ||
	    (!hubs_roster_is_current(&ch->peers, now_ms) &&
	     !hubs_roster_is_missing(&ch->peers, now_ms)))
		return;
	hubs = reports_new();
	for (guint i = 0; i < ch->peers.peers->len && hubs->len < HUB_COUNT;
	     i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (p->hub)
			add_report(hubs, p, now_ms);
	}
	if (hubs->len)
		send_infos(ch, sender, hubs, now_ms);
	g_array_unref(hubs);
}

/* membership_on_message() handles the sender and a message on membership. */
void membership_on_message(struct peer_channel *ch,
			   const struct gossip_message *m, int64_t now_ms)
{
	if (gossip_has_sender_info(m) && m->kind != GOSSIP_JOIN &&
	    peers_note_heartbeat(&ch->peers, &m->sender, now_ms))
		on_peer_joined(ch, &m->sender, now_ms);
	switch (m->kind) {
	case GOSSIP_HEARTBEAT:
		redirect_to_hubs(ch, m, now_ms);
		break;
	case GOSSIP_ROSTER:
		receive_roster(ch, m, now_ms);
		break;
	case GOSSIP_ROSTER_DIGEST:
		apply_digest(ch, m, now_ms);
		break;
	case GOSSIP_ROSTER_REQUEST:
		resend_roster(ch, m->sender.name, now_ms);
		break;
	case GOSSIP_INFO_REQUEST:
		reply_member_info(ch, m, now_ms);
		break;
	case GOSSIP_INFO:
		receive_infos(ch, m, now_ms);
		break;
	case GOSSIP_JOIN:
		reply_to_join(ch, m, now_ms);
		break;
	default:
		break;
	}
}
