#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "common/event.h"
#include "control/peer_channel.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	DATAGRAMS_AT_ONCE = 32, /* per wakeup, so that timers get to run */
	/*
	 * A changed roster is sent in full for this long, three times, since
	 * datagrams get lost.
	 */
	FULL_ROSTER_MS = 1500,
};

/* Sends a datagram that does not count as a heartbeat. */
static void send_plain(struct peer_channel *ch, const struct buf *b,
		       const struct peer *p)
{
	ch->bytes_out += b->len;
	/* A datagram that can't be sent counts as lost. */
	(void)!sendto(ch->sock, b->ptr, b->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		      (const struct sockaddr *)&p->info.addr,
		      sizeof(p->info.addr));
}

/* Sends a datagram that also serves as a heartbeat. */
static void send_datagram(struct peer_channel *ch, const struct buf *b,
			  struct peer *p, int64_t now_ms)
{
	p->sent_ms = now_ms;
	send_plain(ch, b, p);
}

/*
 * peer_channel_send_plain() sends all live peers a datagram that does not count
 * as a heartbeat.
 */
void peer_channel_send_plain(struct peer_channel *ch, const struct buf *b,
			     int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		const struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (peer_alive(p, now_ms))
			send_plain(ch, b, p);
	}
}

/*
 * peer_channel_send_live() sends all live peers a datagram, which also serves
 * as a heartbeat.
 */
void peer_channel_send_live(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (peer_alive(p, now_ms))
			send_datagram(ch, b, p, now_ms);
	}
}

/* peer_channel_send_hubs() sends only to the hubs. */
void peer_channel_send_hubs(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (p->hub)
			send_datagram(ch, b, p, now_ms);
	}
}

/* Returns a random live peer, or NULL if there is none. */
static const struct peer *random_live(const struct peer_channel *ch,
				      int64_t now_ms)
{
	guint n = ch->peers.peers->len;
	guint first = n ? (guint)g_random_int_range(0, (gint32)n) : 0;

	for (guint i = 0; i < n; i++) {
		const struct peer *p =
			g_ptr_array_index(ch->peers.peers, (first + i) % n);

		if (peer_alive(p, now_ms))
			return p;
	}
	return NULL;
}

/*
 * peer_channel_send_limit_call() sends a grant to its recipient. A request goes
 * to the named peer, if it is alive, and to another one.
 */
void peer_channel_send_limit_call(struct peer_channel *ch,
				  struct limit_borrow_msg *call, int64_t now_ms)
{
	const struct peer *named = hubs_find_peer(&ch->peers, call->to);
	const struct peer *other = call->grant ? NULL : random_live(ch, now_ms);
	struct buf b = {0};

	call->from = peer_id(ch->peers.self.name);
	gossip_write_grant(&b, call);
	if (named && peer_alive(named, now_ms))
		send_plain(ch, &b, named);
	if (other && other != named)
		send_plain(ch, &b, other);
	buf_free(&b);
}

/* Recipients of a heartbeat. */
enum heartbeat_targets { TO_DUE, TO_LIVE, TO_ALL };

static void send_heartbeats(struct peer_channel *ch, int64_t now_ms,
			    enum heartbeat_targets to)
{
	struct buf b = {0};

	gossip_write_heartbeat(&b, &ch->peers.self);
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (to == TO_ALL || (to == TO_LIVE && peer_alive(p, now_ms)) ||
		    hubs_heartbeat_due(&ch->peers, p, now_ms))
			send_datagram(ch, &b, p, now_ms);
	}
	buf_free(&b);
}

/* peer_channel_heartbeat_live() sends live peers a heartbeat at once. */
void peer_channel_heartbeat_live(struct peer_channel *ch, int64_t now_ms)
{
	send_heartbeats(ch, now_ms, TO_LIVE);
}

/* peer_channel_heartbeat_all() also sends it to peers that seem lost. */
void peer_channel_heartbeat_all(struct peer_channel *ch, int64_t now_ms)
{
	send_heartbeats(ch, now_ms, TO_ALL);
}

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
			send_datagram(ch, &b, to, now_ms);
		else
			peer_channel_send_live(ch, &b, now_ms);
	} while (at < r->entries->len);
	buf_free(&b);
}

/* Sends the full roster while it changes, and otherwise only its digest. */
static void publish_roster(struct peer_channel *ch, int64_t now_ms)
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
	if (now_ms - ch->roster_changed_ms < FULL_ROSTER_MS) {
		send_full_roster(ch, &r, NULL, now_ms);
	} else {
		gossip_write_roster_digest(&b, &ch->peers.self, digest);
		peer_channel_send_live(ch, &b, now_ms);
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
	send_datagram(ch, &b, hub, now_ms);
	buf_free(&b);
}

/* Requests details of unknown members from the sender of a roster. */
static void request_member_info(struct peer_channel *ch, struct peer *hub,
				const GArray *ids, int64_t now_ms)
{
	for (guint i = 0; hub && i < ids->len; i++) {
		struct buf b = {0};

		gossip_write_info_request(&b, &ch->peers.self,
					  g_array_index(ids, uint32_t, i));
		send_datagram(ch, &b, hub, now_ms);
		buf_free(&b);
	}
}

/* Applies a roster and requests details of the members it adds. */
static void receive_roster(struct peer_channel *ch,
			   const struct gossip_message *m, int64_t now_ms)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	hubs_apply_roster(&ch->peers, &m->roster, unknown, now_ms);
	request_member_info(ch, peers_find(&ch->peers, m->sender.name), unknown,
			    now_ms);
	g_array_unref(unknown);
}

/* Answers a request for a member's details. */
static void reply_member_info(struct peer_channel *ch,
			      const struct gossip_message *m, int64_t now_ms)
{
	struct peer *requester = peers_find(&ch->peers, m->sender.name);
	const struct peer *p = hubs_find_peer(&ch->peers, m->info_id);
	struct buf b = {0};

	if (!requester || !p)
		return;
	gossip_write_info(&b, &ch->peers.self, &p->info);
	send_datagram(ch, &b, requester, now_ms);
	buf_free(&b);
}

/*
 * Sends a heartbeat to a peer that is new, has restarted or was thought lost.
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
	gossip_write_heartbeat(&b, &ch->peers.self);
	send_datagram(ch, &b, p, now_ms);
	buf_free(&b);
}

/* Handles membership messages, then passes each message to the owner. */
static void on_message(struct peer_channel *ch, const struct gossip_message *m)
{
	int64_t now_ms = clock_ms();

	if (gossip_has_sender_info(m) &&
	    peers_note_heartbeat(&ch->peers, &m->sender, now_ms))
		on_peer_joined(ch, &m->sender, now_ms);
	if (m->kind == GOSSIP_ROSTER)
		receive_roster(ch, m, now_ms);
	else if (m->kind == GOSSIP_ROSTER_DIGEST)
		apply_digest(ch, m, now_ms);
	else if (m->kind == GOSSIP_ROSTER_REQUEST)
		resend_roster(ch, m->sender.name, now_ms);
	else if (m->kind == GOSSIP_INFO_REQUEST)
		reply_member_info(ch, m, now_ms);
	else if (m->kind == GOSSIP_INFO)
		peers_add(&ch->peers, &m->info, now_ms);
	ch->received(ch->priv, m);
}

/* Reads and decodes pending datagrams. */
static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct peer_channel *ch = io->data;
	char bytes[GOSSIP_MAX + 200];

	for (int i = 0; i < DATAGRAMS_AT_ONCE; i++) {
		ssize_t n = recv(ch->sock, bytes, sizeof(bytes), MSG_DONTWAIT);
		struct gossip_message m;

		if (n <= 0)
			return;
		ch->bytes_in += (uint64_t)n;
		if (gossip_read((struct lstr){bytes, (size_t)n}, &m))
			mp_event(EV_PEER_INVALID_DATAGRAM, G_LOG_LEVEL_WARNING,
				 "datagram of %zd bytes can't be decoded", n);
		else
			on_message(ch, &m);
		gossip_message_clear(&m);
	}
}

/* peer_channel_tick() sends what is due; call it about every 0.1 s. */
void peer_channel_tick(struct peer_channel *ch, int64_t now_ms)
{
	hubs_assign(&ch->peers, now_ms);
	if (hubs_roster_due(&ch->peers, ch->last_roster_ms, now_ms))
		publish_roster(ch, now_ms);
	send_heartbeats(ch, now_ms, TO_DUE);
}

/*
 * peer_channel_open() binds the peer address for datagrams. Returns 0 or a
 * negative errno.
 */
int peer_channel_open(struct peer_channel *ch, struct ev_loop *loop,
		      const char *listen, const struct peer_info *self,
		      void (*received)(void *priv,
				       const struct gossip_message *m),
		      void *priv)
{
	struct sockaddr_in sa;
	int rc = socket_parse_addr(listen, &sa);

	if (rc)
		return rc;
	memset(ch, 0, sizeof(*ch));
	ch->loop = loop;
	ch->received = received;
	ch->priv = priv;
	ch->sock =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (ch->sock < 0)
		return -errno;
	if (bind(ch->sock, (struct sockaddr *)&sa, sizeof(sa)))
		return -errno;
	peers_init(&ch->peers, self);
	ch->peers.self.addr = sa;
	ev_io_init(&ch->io, on_readable, ch->sock, EV_READ);
	ch->io.data = ch;
	ev_io_start(loop, &ch->io);
	return 0;
}
