#include <msgpack.h>

#include "member/gossip.h"
#include "misc/codec.h"

/* Positions in the arrays on the wire. */
enum {
	HEAD_FIELDS = 17,
	FEED_FIELDS = 9,
	CHANGE_FIELDS = 13,
	CHANGE_ID_FIELDS = 4, /* of one that names a server only */
	ROLL_FIELDS = 4,
	CRASH_FIELDS = 3,
	LOAD_FIELDS = 3,
	LIMIT_FIELDS = 5,
	DRAIN_FIELDS = 2,
	CALL_FIELDS = 4,
};

enum {
	/* Room that one change takes at most, with names of usual length. */
	CHANGE_BYTES = 190,
	/* And what stands before the changes. */
	FEED_HEAD_BYTES = 240,
	/* Entries of a roll that fit one, behind its sender's names. */
	ROLL_PART = (GOSSIP_MAX - 290) / 5,
};

static void pack_addr(msgpack_packer *pk, const struct sockaddr_in *sa)
{
	msgpack_pack_uint32(pk, ntohl(sa->sin_addr.s_addr));
	msgpack_pack_uint16(pk, ntohs(sa->sin_port));
}

static void pack_position(msgpack_packer *pk, struct store_position p)
{
	msgpack_pack_uint64(pk, p.era);
	msgpack_pack_uint64(pk, p.offset);
}

static void pack_info(msgpack_packer *pk, const struct peer_info *p)
{
	codec_pack_cstr(pk, p->name);
	codec_pack_cstr(pk, p->dc);
	codec_pack_cstr(pk, p->callers);
	codec_pack_cstr(pk, p->own);
	pack_addr(pk, &p->addr);
	msgpack_pack_uint64(pk, p->boot);
	msgpack_pack_uint8(pk, p->leaving);
	msgpack_pack_uint8(pk, p->ready);
	msgpack_pack_uint64(pk, p->store_era);
	msgpack_pack_uint64(pk, p->records_era);
	pack_position(pk, p->config.pos);
	msgpack_pack_uint32(pk, p->config.age_ms);
	msgpack_pack_uint64(pk, p->config.version);
	msgpack_pack_uint32(pk, p->config.digest);
}

static void pack_sender(msgpack_packer *pk, enum gossip_kind kind,
			const struct peer_info *p)
{
	bool alone = kind == GOSSIP_BEAT || kind == GOSSIP_AGAIN;

	msgpack_pack_array(pk, HEAD_FIELDS + !alone);
	msgpack_pack_int(pk, kind);
	pack_info(pk, p);
}

/* gossip_write_beat() writes a heartbeat. */
void gossip_write_beat(struct buf *out, const struct peer_info *self)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_BEAT, self);
}

/* gossip_pack_change() writes one change of the list. */
void gossip_pack_change(msgpack_packer *pk, const struct backend_change *c)
{
	const struct backend_entry *e = &c->entry;

	bool named_only = c->removed || c->missing;

	msgpack_pack_array(pk, named_only ? CHANGE_ID_FIELDS : CHANGE_FIELDS);
	pack_position(pk, c->pos);
	codec_pack_cstr(pk, e->id);
	msgpack_pack_uint8(pk, c->doubted   ? CHANGE_DOUBTED
			       : c->missing ? CHANGE_MISSING
					    : CHANGE_PLAIN);
	if (named_only)
		return;
	codec_pack_cstr(pk, e->service);
	codec_pack_cstr(pk, e->dc);
	pack_addr(pk, &e->addr);
	msgpack_pack_uint32(pk, e->slots);
	msgpack_pack_uint8(pk, e->draining);
	msgpack_pack_uint32(pk, e->warm_up_ms);
	msgpack_pack_uint64(pk, e->born_ms);
	msgpack_pack_uint64(pk, e->sequence);
}

static struct store_position pos_at(const struct backend_feed *feed, guint i)
{
	return g_array_index(feed->changes, struct backend_change, i).pos;
}

/*
 * gossip_feed_begin() chooses the first change to send: none that the peers
 * were not yet sent, from `told` on, is left out, and older ones are
 * repeated as far as one datagram goes, against loss. Beyond
 * changes_max the oldest are left out all the same.
 */
guint gossip_feed_begin(const struct backend_feed *feed,
			struct store_position told, guint changes_max)
{
	guint fit = (GOSSIP_MAX - FEED_HEAD_BYTES) / CHANGE_BYTES;
	guint len = feed->changes->len;
	guint begin = len > fit ? len - fit : 0;
	guint least = len > changes_max ? len - changes_max : 0;

	while (begin > least &&
	       store_position_cmp(pos_at(feed, begin - 1), told) >= 0)
		begin--;
	return begin;
}

/* Packs changes from `begin` on as far as they fit; returns the end. */
static guint pack_changes(struct buf *out, const struct backend_feed *feed,
			  guint begin)
{
	guint end = begin;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	while (end < feed->changes->len &&
	       out->len + CHANGE_BYTES <= GOSSIP_MAX - FEED_HEAD_BYTES)
		gossip_pack_change(&pk, &g_array_index(feed->changes,
						       struct backend_change,
						       end++));
	return end;
}

/* Where the part that begins with a change goes on from. */
static struct store_position part_from(const struct backend_feed *feed,
				       guint begin)
{
	struct store_position after, next;

	if (begin == 0)
		return feed->from;
	after = store_position_next(pos_at(feed, begin - 1));
	next = begin < feed->changes->len ? pos_at(feed, begin) : feed->to;
	/* What a copy of the store lacks all stands at one place. */
	return store_position_cmp(next, after) < 0 ? next : after;
}

/*
 * gossip_write_feed() writes one datagram with the changes from `begin` on
 * and returns the index of the first that did not fit. Only the last one says
 * how old the list is, as only with it the list is complete.
 */
guint gossip_write_feed(struct buf *out, const struct peer_info *self,
			const struct backend_feed *feed, guint begin)
{
	struct buf changes = {0};
	guint end = pack_changes(&changes, feed, begin);
	bool last = end == feed->changes->len;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_FEED, self);
	msgpack_pack_array(&pk, FEED_FIELDS);
	pack_position(&pk, part_from(feed, begin));
	pack_position(&pk, feed->listed);
	pack_position(&pk, last ? feed->to : pos_at(feed, end));
	msgpack_pack_uint32(&pk, last ? feed->age_ms : AGE_UNKNOWN);
	msgpack_pack_uint32(&pk, feed->settle_ms);
	msgpack_pack_array(&pk, end - begin);
	buf_add_lstr(out, buf_lstr(&changes));
	buf_free(&changes);
	return end;
}

/*
 * gossip_write_load() writes what an instance has out. It goes to all some
 * twenty times a second from each, so all that a heartbeat says is left out.
 */
void gossip_write_load(struct buf *out, const struct peer_load *load)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, LOAD_FIELDS);
	msgpack_pack_int(&pk, GOSSIP_LOAD);
	msgpack_pack_uint32(&pk, load->peer);
	msgpack_pack_array(&pk, 2 * (size_t)load->n);
	for (unsigned i = 0; i < load->n; i++) {
		msgpack_pack_uint32(&pk, load->items[i].backend);
		msgpack_pack_uint32(&pk, load->items[i].count);
	}
}

/* Ids that are ready, or those that aren't. */
static void pack_roll_ids(msgpack_packer *pk, const struct roll *r, bool ready)
{
	size_t n = 0;

	for (guint i = 0; i < r->entries->len; i++)
		n += g_array_index(r->entries, struct roll_entry, i).ready ==
		     ready;
	msgpack_pack_array(pk, n);
	for (guint i = 0; i < r->entries->len; i++) {
		const struct roll_entry *e =
			&g_array_index(r->entries, struct roll_entry, i);

		if (e->ready == ready)
			msgpack_pack_fix_uint32(pk, e->id);
	}
}

/*
 * gossip_write_roll() writes the entries of a roll from `begin` on that fit a
 * datagram, 5 bytes each, and returns the index of the next one.
 */
guint gossip_write_roll(struct buf *out, const struct peer_info *self,
			const struct roll *roll, guint begin)
{
	struct roll part;
	msgpack_packer pk;
	guint end;

	roll_init(&part);
	end = roll_part(roll, begin, ROLL_PART, &part);
	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_ROLL, self);
	msgpack_pack_array(&pk, ROLL_FIELDS);
	msgpack_pack_uint32(&pk, part.lo);
	msgpack_pack_uint32(&pk, part.hi);
	pack_roll_ids(&pk, &part, true);
	pack_roll_ids(&pk, &part, false);
	roll_clear(&part);
	return end;
}

/* gossip_write_who() asks for one that a roll names and nobody else did. */
void gossip_write_who(struct buf *out, const struct peer_info *self,
		      uint32_t id)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_WHO, self);
	msgpack_pack_uint32(&pk, id);
}

/* gossip_write_same() says that the roll is as it was. */
void gossip_write_same(struct buf *out, const struct peer_info *self,
		       uint32_t digest)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_SAME, self);
	msgpack_pack_uint32(&pk, digest);
}

/* gossip_write_again() asks for the whole roll. */
void gossip_write_again(struct buf *out, const struct peer_info *self)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_AGAIN, self);
}

/* gossip_write_person() passes on what another instance said of itself. */
void gossip_write_person(struct buf *out, const struct peer_info *self,
			 const struct peer_info *person)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_PERSON, self);
	msgpack_pack_array(&pk, HEAD_FIELDS - 1);
	pack_info(&pk, person);
}

/* gossip_write_crashes() writes at most CRASH_NEWS_MAX news. */
void gossip_write_crashes(struct buf *out, const struct peer_info *self,
			  const struct crash_news *news, unsigned n)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_CRASH, self);
	msgpack_pack_array(&pk, CRASH_FIELDS * (size_t)n);
	for (unsigned i = 0; i < n; i++) {
		msgpack_pack_int(&pk, news[i].kind);
		msgpack_pack_uint64(&pk, news[i].digest);
		msgpack_pack_uint32(&pk, news[i].detail);
	}
}

/*
 * gossip_write_limits() writes what servers say of their limits. Its sender is
 * an id only, as it goes to all while servers are in need.
 */
void gossip_write_limits(struct buf *out, const struct limit_news *news)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, GOSSIP_LIMIT);
	msgpack_pack_uint32(&pk, news->peer);
	msgpack_pack_array(&pk, LIMIT_FIELDS * (size_t)news->n);
	for (unsigned i = 0; i < news->n; i++) {
		const struct limit_item *it = &news->items[i];

		msgpack_pack_uint32(&pk, it->backend);
		msgpack_pack_uint8(&pk, it->named);
		msgpack_pack_double(&pk, it->per_s);
		msgpack_pack_uint32(&pk, it->asked_ago_ms);
		msgpack_pack_uint32(&pk, it->heard_ago_ms);
	}
}

/* gossip_write_drain() writes which servers have said that they leave. */
void gossip_write_drain(struct buf *out, const struct drain_news *news)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, GOSSIP_DRAIN);
	msgpack_pack_uint32(&pk, news->peer);
	msgpack_pack_array(&pk, DRAIN_FIELDS * (size_t)news->n);
	for (unsigned i = 0; i < news->n; i++) {
		codec_pack_cstr(&pk, news->items[i].id);
		msgpack_pack_uint64(&pk, news->items[i].born_ms);
	}
}

/* gossip_write_call() writes a question for a send, or a grant. */
void gossip_write_call(struct buf *out, const struct limit_call *call)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, CALL_FIELDS);
	msgpack_pack_int(&pk, call->grant ? GOSSIP_GRANT : GOSSIP_WANT);
	msgpack_pack_uint32(&pk, call->from);
	msgpack_pack_uint32(&pk, call->what);
	msgpack_pack_uint32(&pk, call->serial);
}
