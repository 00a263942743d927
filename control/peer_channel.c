#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "common/event.h"
#include "control/membership.h"
#include "control/peer_channel.h"
#include "http/socket.h"
#include "member/distribution.h"
#include "misc/clock.h"

enum {
	DATAGRAMS_AT_ONCE = 32, /* per wakeup, so that timers get to run */
	/* More than the largest receive buffer holds. */
	DISCARDED_MAX = 100 * 1000,
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

/* peer_channel_send() sends a datagram that also serves as a heartbeat. */
void peer_channel_send(struct peer_channel *ch, const struct buf *b,
		       struct peer *p, int64_t now_ms)
{
	p->sent_ms = now_ms;
	send_plain(ch, b, p);
}

/*
 * peer_channel_send_plain() sends the live peers in a data centre, or all of
 * them if it is NULL, a datagram that does not count as a heartbeat.
 */
void peer_channel_send_plain(struct peer_channel *ch, const struct buf *b,
			     const char *dc, int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		const struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (peer_alive(p, now_ms) && (!dc || !strcmp(p->info.dc, dc)))
			send_plain(ch, b, p);
	}
}

/* Returns whether a live peer is in the own data centre. */
static bool is_near(const struct peer_channel *ch, const struct peer *p,
		    int64_t now_ms)
{
	return peer_alive(p, now_ms) && !strcmp(p->info.dc, ch->peers.self.dc);
}

/*
 * peer_channel_send_sample() sends at most `max` random live peers of the own
 * data centre a datagram that does not count as a heartbeat. So a peer receives
 * about as many as it sends, however many there are.
 */
void peer_channel_send_sample(struct peer_channel *ch, const struct buf *b,
			      unsigned max, int64_t now_ms)
{
	unsigned near = 0;

	for (guint i = 0; i < ch->peers.peers->len; i++)
		near += is_near(ch, g_ptr_array_index(ch->peers.peers, i),
				now_ms);
	for (guint i = 0; i < ch->peers.peers->len && max; i++) {
		const struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (!is_near(ch, p, now_ms))
			continue;
		if (g_random_double() * near-- >= max)
			continue;
		send_plain(ch, b, p);
		max--;
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
			peer_channel_send(ch, b, p, now_ms);
	}
}

/*
 * peer_channel_distribute() sends all live peers a datagram, which also serves
 * as a heartbeat; in a large deployment those of other data centres get it from
 * a relay, see member/distribution.h, which has the other parameters.
 */
void peer_channel_distribute(struct peer_channel *ch, const struct buf *b,
			     unsigned turn, bool new_direct, int64_t now_ms)
{
	struct distribution d;
	struct buf wrapped = {0};

	distribution_plan(&ch->peers, turn, new_direct, now_ms, &d);
	for (guint i = 0; i < d.direct->len; i++)
		peer_channel_send(ch, b, g_ptr_array_index(d.direct, i),
				  now_ms);
	if (d.relays->len)
		gossip_write_relay(&wrapped, &ch->peers.self, buf_lstr(b));
	for (guint i = 0; i < d.relays->len; i++)
		peer_channel_send(ch, &wrapped, g_ptr_array_index(d.relays, i),
				  now_ms);
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (peer_alive(p, now_ms))
			p->sent_ms = now_ms;
	}
	buf_free(&wrapped);
	distribution_clear(&d);
}

/* Forwards a message of a hub to the peers of this data centre. */
static void forward(struct peer_channel *ch, const struct gossip_message *m,
		    int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		const struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (distribution_forwards_to(&ch->peers, p, m->sender.name,
					     now_ms))
			send_plain(ch, &m->relayed, p);
	}
}

/* peer_channel_send_hubs() sends only to the hubs. */
void peer_channel_send_hubs(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (p->hub)
			peer_channel_send(ch, b, p, now_ms);
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

/*
 * peer_channel_send_quota() sends a message on a quota to its recipient, also
 * if that seems lost.
 */
void peer_channel_send_quota(struct peer_channel *ch, struct quota_message *m)
{
	const struct peer *to = hubs_find_peer(&ch->peers, m->to);
	struct buf b = {0};

	if (!to)
		return;
	m->from = peer_id(ch->peers.self.name);
	gossip_write_quota(&b, m);
	send_plain(ch, &b, to);
	buf_free(&b);
}

/* Recipients of a heartbeat; TO_DC: also the own data centre. */
enum heartbeat_targets { TO_DUE, TO_DC, TO_LIVE, TO_ALL };

static void send_heartbeats(struct peer_channel *ch, int64_t now_ms,
			    enum heartbeat_targets to)
{
	struct buf b = {0};

	gossip_write_heartbeat(&b, &ch->peers.self);
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (to == TO_ALL || (to == TO_LIVE && peer_alive(p, now_ms)) ||
		    (to == TO_DC && !strcmp(p->info.dc, ch->peers.self.dc)) ||
		    hubs_heartbeat_due(&ch->peers, p, now_ms))
			peer_channel_send(ch, &b, p, now_ms);
	}
	buf_free(&b);
}

/* peer_channel_heartbeat_live() sends live peers a heartbeat at once. */
void peer_channel_heartbeat_live(struct peer_channel *ch, int64_t now_ms)
{
	send_heartbeats(ch, now_ms, TO_LIVE);
}

/*
 * peer_channel_greet() sends the peers of this data centre a heartbeat, for
 * those that join.
 */
void peer_channel_greet(struct peer_channel *ch, int64_t now_ms)
{
	send_heartbeats(ch, now_ms, TO_DC);
}

/* peer_channel_heartbeat_all() also sends it to peers that seem lost. */
void peer_channel_heartbeat_all(struct peer_channel *ch, int64_t now_ms)
{
	send_heartbeats(ch, now_ms, TO_ALL);
}

static void on_datagram(struct peer_channel *ch, struct lstr bytes);

/* Handles a message of a hub, and forwards it in this data centre. */
static void on_relay(struct peer_channel *ch, const struct gossip_message *m,
		     int64_t now_ms)
{
	ch->relaying = true;
	on_datagram(ch, buf_lstr(&m->relayed));
	ch->relaying = false;
	forward(ch, m, now_ms);
}

/* Handles membership messages, then passes each message to the owner. */
static void on_message(struct peer_channel *ch, const struct gossip_message *m)
{
	int64_t now_ms = clock_boot_ms();

	membership_on_message(ch, m, now_ms);
	ch->received(ch->priv, m);
	if (m->kind == GOSSIP_RELAY && !ch->relaying)
		on_relay(ch, m, now_ms);
}

/* Decodes and handles a datagram. */
static void on_datagram(struct peer_channel *ch, struct lstr bytes)
{
	struct gossip_message m;

	if (gossip_read(bytes, &m))
		mp_event(EV_PEER_INVALID_DATAGRAM, G_LOG_LEVEL_WARNING,
			 "datagram of %zu bytes can't be decoded", bytes.len);
	else
		on_message(ch, &m);
	gossip_message_clear(&m);
}

/* Reads pending datagrams. */
static void on_readable(struct ev_loop *loop, ev_io *io, int revents)
{
	struct peer_channel *ch = io->data;
	char bytes[GOSSIP_MAX + 200];

	for (int i = 0; i < DATAGRAMS_AT_ONCE; i++) {
		ssize_t n = recv(ch->sock, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (n <= 0)
			return;
		ch->bytes_in += (uint64_t)n;
		on_datagram(ch, (struct lstr){bytes, (size_t)n});
	}
}

/*
 * peer_channel_discard() drops the datagrams that wait in the socket. Returns
 * their number.
 */
unsigned peer_channel_discard(struct peer_channel *ch)
{
	unsigned n = 0;
	char byte;

	while (n < DISCARDED_MAX &&
	       recv(ch->sock, &byte, sizeof(byte), MSG_DONTWAIT) >= 0)
		n++;
	return n;
}

/*
 * peer_channel_send_join() asks an instance that may be a member for peers that
 * can serve.
 */
void peer_channel_send_join(struct peer_channel *ch,
			    const struct sockaddr_in *to)
{
	struct buf b = {0};

	gossip_write_join(&b, &ch->peers.self);
	ch->bytes_out += b.len;
	/* A datagram that can't be sent counts as lost. */
	(void)!sendto(ch->sock, b.ptr, b.len, MSG_DONTWAIT | MSG_NOSIGNAL,
		      (const struct sockaddr *)to, sizeof(*to));
	buf_free(&b);
}

/* peer_channel_tick() sends what is due; call it about every 0.1 s. */
void peer_channel_tick(struct peer_channel *ch, int64_t now_ms)
{
	if (!ch->peers.joined_ms)
		return;
	hubs_assign(&ch->peers, now_ms);
	if (hubs_roster_due(&ch->peers, ch->last_roster_ms, now_ms))
		membership_publish_roster(ch, now_ms);
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
