#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "common/event.h"
#include "control/peer_channel.h"
#include "http/socket.h"
#include "misc/clock.h"

enum {
	DATAGRAMS_AT_ONCE = 32, /* so that timers get their turn */
	/* A changed roll is sent whole this long, three times, against loss. */
	ROLL_WHOLE_MS = 1500,
};

static void send_plain(struct peer_channel *ch, const struct buf *b,
		       const struct peer *p)
{
	ch->bytes_out += b->len;
	/* A datagram that can't be sent is as good as lost. */
	(void)!sendto(ch->sock, b->ptr, b->len, MSG_DONTWAIT | MSG_NOSIGNAL,
		      (const struct sockaddr *)&p->info.addr,
		      sizeof(p->info.addr));
}

/* Sends what also is a heartbeat. */
static void send_datagram(struct peer_channel *ch, const struct buf *b,
			  struct peer *p, int64_t now_ms)
{
	p->sent_ms = now_ms;
	send_plain(ch, b, p);
}

/* peer_channel_send_plain() sends all live peers what is no heartbeat. */
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
 * peer_channel_send_live() sends to all live peers. Whatever a peer is sent
 * also is a heartbeat.
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

/* peer_channel_send_hubs() sends to the hubs only. */
void peer_channel_send_hubs(struct peer_channel *ch, const struct buf *b,
			    int64_t now_ms)
{
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (p->hub)
			send_datagram(ch, b, p, now_ms);
	}
}

/* A live peer, drawn at random; NULL: there is none. */
static const struct peer *any_live(const struct peer_channel *ch,
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
 * peer_channel_call() sends a grant to the one it is for; a question to the one
 * that is named, if it lives, and to another.
 */
void peer_channel_call(struct peer_channel *ch, struct limit_call *call,
		       int64_t now_ms)
{
	const struct peer *named = hubs_find(&ch->peers, call->to);
	const struct peer *other = call->grant ? NULL : any_live(ch, now_ms);
	struct buf b = {0};

	call->from = peer_id(ch->peers.self.name);
	gossip_write_call(&b, call);
	if (named && peer_alive(named, now_ms))
		send_plain(ch, &b, named);
	if (other && other != named)
		send_plain(ch, &b, other);
	buf_free(&b);
}

/* Whom a heartbeat goes to now. */
enum addressees { TO_DUE, TO_LIVE, TO_ALL };

static void send_beats(struct peer_channel *ch, int64_t now_ms,
		       enum addressees to)
{
	struct buf b = {0};

	gossip_write_beat(&b, &ch->peers.self);
	for (guint i = 0; i < ch->peers.peers->len; i++) {
		struct peer *p = g_ptr_array_index(ch->peers.peers, i);

		if (to == TO_ALL || (to == TO_LIVE && peer_alive(p, now_ms)) ||
		    hubs_beat_due(&ch->peers, p, now_ms))
			send_datagram(ch, &b, p, now_ms);
	}
	buf_free(&b);
}

/* peer_channel_beat_live() tells the live ones at once what changed here. */
void peer_channel_beat_live(struct peer_channel *ch, int64_t now_ms)
{
	send_beats(ch, now_ms, TO_LIVE);
}

/* peer_channel_beat_all() tells also those that seem gone. */
void peer_channel_beat_all(struct peer_channel *ch, int64_t now_ms)
{
	send_beats(ch, now_ms, TO_ALL);
}

/* Sends the whole roll to one peer, or to all live ones. */
static void send_whole_roll(struct peer_channel *ch, const struct roll *r,
			    struct peer *to, int64_t now_ms)
{
	struct buf b = {0};
	guint at = 0;

	do {
		b.len = 0;
		at = gossip_write_roll(&b, &ch->peers.self, r, at);
		if (to)
			send_datagram(ch, &b, to, now_ms);
		else
			peer_channel_send_live(ch, &b, now_ms);
	} while (at < r->entries->len);
	buf_free(&b);
}

/* While the roll changes it is sent whole, later its digest only. */
static void send_roll(struct peer_channel *ch, int64_t now_ms)
{
	struct buf b = {0};
	struct roll r;
	uint32_t digest;

	roll_init(&r);
	hubs_write_roll(&ch->peers, &r, now_ms);
	digest = roll_digest(&r);
	if (digest != ch->roll_digest || ch->rolled_ms == 0)
		ch->roll_changed_ms = now_ms;
	ch->roll_digest = digest;
	ch->rolled_ms = now_ms;
	if (now_ms - ch->roll_changed_ms < ROLL_WHOLE_MS) {
		send_whole_roll(ch, &r, NULL, now_ms);
	} else {
		gossip_write_same(&b, &ch->peers.self, digest);
		peer_channel_send_live(ch, &b, now_ms);
	}
	roll_clear(&r);
	buf_free(&b);
}

/* A peer that missed a part of the roll gets it whole. */
static void send_roll_again(struct peer_channel *ch, const char *name,
			    int64_t now_ms)
{
	struct peer *p = peers_find(&ch->peers, name);
	struct roll r;

	if (!p)
		return;
	roll_init(&r);
	hubs_write_roll(&ch->peers, &r, now_ms);
	send_whole_roll(ch, &r, p, now_ms);
	roll_clear(&r);
}

static void take_digest(struct peer_channel *ch, const struct gossip_message *m,
			int64_t now_ms)
{
	struct peer *hub = peers_find(&ch->peers, m->sender.name);
	struct buf b = {0};

	if (hubs_take_digest(&ch->peers, m->digest, now_ms) || !hub)
		return;
	gossip_write_again(&b, &ch->peers.self);
	send_datagram(ch, &b, hub, now_ms);
	buf_free(&b);
}

/* Asks the sender of a roll who those are that it names. */
static void ask_who(struct peer_channel *ch, struct peer *hub,
		    const GArray *ids, int64_t now_ms)
{
	for (guint i = 0; hub && i < ids->len; i++) {
		struct buf b = {0};

		gossip_write_who(&b, &ch->peers.self,
				 g_array_index(ids, uint32_t, i));
		send_datagram(ch, &b, hub, now_ms);
		buf_free(&b);
	}
}

static void take_roll(struct peer_channel *ch, const struct gossip_message *m,
		      int64_t now_ms)
{
	GArray *unknown = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	hubs_take_roll(&ch->peers, &m->roll, unknown, now_ms);
	ask_who(ch, peers_find(&ch->peers, m->sender.name), unknown, now_ms);
	g_array_unref(unknown);
}

static void answer_who(struct peer_channel *ch, const struct gossip_message *m,
		       int64_t now_ms)
{
	struct peer *asker = peers_find(&ch->peers, m->sender.name);
	const struct peer *p = hubs_find(&ch->peers, m->who);
	struct buf b = {0};

	if (!asker || !p)
		return;
	gossip_write_person(&b, &ch->peers.self, &p->info);
	send_datagram(ch, &b, asker, now_ms);
	buf_free(&b);
}

/* A peer that is new, started anew or was thought lost hears from here. */
static void welcome(struct peer_channel *ch, const struct peer_info *info,
		    int64_t now_ms)
{
	struct peer *p = peers_find(&ch->peers, info->name);
	struct buf b = {0};

	ch->joined = true;
	ch->joins++;
	mp_event(EV_PEER_JOINED, G_LOG_LEVEL_MESSAGE,
		 "peer=%s dc=%s boot=%" G_GUINT64_FORMAT, info->name, info->dc,
		 info->boot);
	gossip_write_beat(&b, &ch->peers.self);
	send_datagram(ch, &b, p, now_ms);
	buf_free(&b);
}

static void on_message(struct peer_channel *ch, const struct gossip_message *m)
{
	int64_t now_ms = clock_ms();

	if (gossip_names_sender(m) &&
	    peers_heard(&ch->peers, &m->sender, now_ms))
		welcome(ch, &m->sender, now_ms);
	if (m->kind == GOSSIP_ROLL)
		take_roll(ch, m, now_ms);
	else if (m->kind == GOSSIP_SAME)
		take_digest(ch, m, now_ms);
	else if (m->kind == GOSSIP_AGAIN)
		send_roll_again(ch, m->sender.name, now_ms);
	else if (m->kind == GOSSIP_WHO)
		answer_who(ch, m, now_ms);
	else if (m->kind == GOSSIP_PERSON)
		peers_add(&ch->peers, &m->person, now_ms);
	ch->received(ch->priv, m);
}

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
				 "%zd bytes that are no message of ours", n);
		else
			on_message(ch, &m);
		gossip_message_clear(&m);
	}
}

/* peer_channel_tick() sends what is due; call it every 0.1 s or so. */
void peer_channel_tick(struct peer_channel *ch, int64_t now_ms)
{
	hubs_mark(&ch->peers, now_ms);
	if (hubs_roll_due(&ch->peers, ch->rolled_ms, now_ms))
		send_roll(ch, now_ms);
	send_beats(ch, now_ms, TO_DUE);
}

/*
 * peer_channel_open() binds the peers' address for datagrams. Returns 0 or a
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
