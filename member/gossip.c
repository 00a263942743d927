#include <msgpack.h>

#include "member/gossip.h"
#include "misc/codec.h"

/* Lengths of the arrays on the wire. */
enum {
	SENDER_FIELDS = 17,
	FEED_FIELDS = 10,
	CHANGE_FIELDS = 13,
	CHANGE_ID_FIELDS = 4, /* of a change with an id only */
	ROSTER_FIELDS = 6,
	CRASH_FIELDS = 4,
	LOAD_FIELDS = 3,
	LIMIT_FIELDS = 5,
	DRAIN_FIELDS = 2,
	CALL_FIELDS = 4,
	SHORTAGE_FIELDS = 3,
};

enum {
	/* Maximum size of a change with names of usual length. */
	CHANGE_MAX_BYTES = 190,
	/* Maximum size of a peer_report, with names of usual length. */
	INFO_MAX_BYTES = 195,
	/* Size of everything before the changes. */
	FEED_HEADER_BYTES = 240,
	/*
	 * Roster entries per datagram; 290 bytes are left for the sender and
	 * the headers, an entry takes 5.
	 */
	ROSTER_PART_ENTRIES = (GOSSIP_RELAYED_MAX - 290) / 5,
};

/* Packs an IPv4 address and port in host byte order. */
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

/* Packs what an instance announces about itself; read by read_info(). */
static void pack_info(msgpack_packer *pk, const struct peer_info *p)
{
	codec_pack_cstr(pk, p->name);
	codec_pack_cstr(pk, p->dc);
	codec_pack_cstr(pk, p->caller_addr);
	codec_pack_cstr(pk, p->own_addr);
	pack_addr(pk, &p->addr);
	msgpack_pack_uint64(pk, p->boot_id);
	msgpack_pack_uint8(pk, p->leaving);
	msgpack_pack_uint8(pk, p->ready);
	msgpack_pack_uint64(pk, p->store_era);
	msgpack_pack_uint64(pk, p->records_era);
	pack_position(pk, p->config.pos);
	msgpack_pack_uint32(pk, p->config.age_ms);
	msgpack_pack_uint64(pk, p->config.version);
	msgpack_pack_uint32(pk, p->config.digest);
}

/* Begins a datagram: its kind and the sender's peer_info. */
static void pack_sender(msgpack_packer *pk, enum gossip_kind kind,
			const struct peer_info *p)
{
	bool no_body = kind == GOSSIP_HEARTBEAT || kind == GOSSIP_JOIN ||
		       kind == GOSSIP_ROSTER_REQUEST;

	msgpack_pack_array(pk, SENDER_FIELDS + !no_body);
	msgpack_pack_int(pk, kind);
	pack_info(pk, p);
}

/* Writes a heartbeat. */
void gossip_write_heartbeat(struct buf *out, const struct peer_info *self)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_HEARTBEAT, self);
}

/* Packs one change of the backend list. */
void gossip_pack_change(msgpack_packer *pk, const struct backend_change *c)
{
	const struct backend_entry *e = &c->entry;

	bool named_only = c->removed || c->missing;

	msgpack_pack_array(pk, named_only ? CHANGE_ID_FIELDS : CHANGE_FIELDS);
	pack_position(pk, c->pos);
	codec_pack_cstr(pk, e->id);
	msgpack_pack_uint8(pk, c->unconfirmed ? CHANGE_UNCONFIRMED
			       : c->missing   ? CHANGE_MISSING
					      : CHANGE_PLAIN);
	if (named_only)
		return;
	codec_pack_cstr(pk, e->service);
	codec_pack_cstr(pk, e->dc);
	pack_addr(pk, &e->addr);
	msgpack_pack_uint32(pk, e->slots);
	msgpack_pack_uint8(pk, e->draining);
	msgpack_pack_uint32(pk, e->warm_up_ms);
	msgpack_pack_uint64(pk, e->server_start_ms);
	msgpack_pack_uint64(pk, e->sequence);
}

/* Returns the position of change `i`. */
static struct store_position pos_at(const struct backend_feed *feed, guint i)
{
	return g_array_index(feed->changes, struct backend_change, i).pos;
}

/*
 * Returns the index of the first change to send. Everything from `sent_to` on,
 * which peers have not been sent yet, is included; as many older changes as fit
 * into one datagram are repeated in case they were lost. Never more than
 * changes_max: beyond that the oldest are left out.
 */
guint gossip_feed_first(const struct backend_feed *feed,
			struct store_position sent_to, guint changes_max)
{
	guint fit = (GOSSIP_RELAYED_MAX - FEED_HEADER_BYTES) / CHANGE_MAX_BYTES;
	guint len = feed->changes->len;
	guint begin = len > fit ? len - fit : 0;
	guint least = len > changes_max ? len - changes_max : 0;

	while (begin > least &&
	       store_position_cmp(pos_at(feed, begin - 1), sent_to) >= 0)
		begin--;
	return begin;
}

/*
 * Packs changes starting at `begin` until the datagram is full. Returns the
 * index after the last.
 */
static guint pack_changes(struct buf *out, const struct backend_feed *feed,
			  guint begin, size_t max)
{
	guint end = begin;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	while (end < feed->changes->len &&
	       out->len + CHANGE_MAX_BYTES <= max - FEED_HEADER_BYTES)
		gossip_pack_change(&pk, &g_array_index(feed->changes,
						       struct backend_change,
						       end++));
	return end;
}

/* Returns the position where the part starting at change `begin` continues. */
static struct store_position part_from(const struct backend_feed *feed,
				       guint begin)
{
	struct store_position after, next;

	if (begin == 0)
		return feed->from;
	after = store_position_next(pos_at(feed, begin - 1));
	next = begin < feed->changes->len ? pos_at(feed, begin) : feed->to;
	/* Changes for records that a restored copy lacks share one position. */
	return store_position_cmp(next, after) < 0 ? next : after;
}

/* Writes a feed of at most `max` bytes; see gossip_write_feed(). */
static guint write_feed(struct buf *out, const struct peer_info *self,
			const struct backend_feed *feed, guint begin,
			size_t max)
{
	struct buf changes = {0};
	guint end = pack_changes(&changes, feed, begin, max);
	bool last = end == feed->changes->len;
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_FEED, self);
	msgpack_pack_array(&pk, FEED_FIELDS);
	pack_position(&pk, part_from(feed, begin));
	pack_position(&pk, feed->listed_from);
	pack_position(&pk, last ? feed->to : pos_at(feed, end));
	msgpack_pack_uint32(&pk, last ? feed->age_ms : AGE_UNKNOWN);
	msgpack_pack_uint32(&pk, feed->covered_ms);
	msgpack_pack_uint8(&pk, feed->after_gap);
	msgpack_pack_array(&pk, end - begin);
	buf_add_lstr(out, buf_lstr(&changes));
	buf_free(&changes);
	return end;
}

/*
 * Writes one datagram with the changes starting at `begin` and returns the
 * index of the first that did not fit. Only the last datagram states the age of
 * the list, since the list is complete only with it.
 */
guint gossip_write_feed(struct buf *out, const struct peer_info *self,
			const struct backend_feed *feed, guint begin)
{
	return write_feed(out, self, feed, begin, GOSSIP_RELAYED_MAX);
}

/* Writes all changes from the position `since` on, for a connection. */
void gossip_write_changes(struct buf *out, const struct peer_info *self,
			  const struct backend_feed *feed,
			  struct store_position since)
{
	guint begin = 0;

	while (begin < feed->changes->len &&
	       store_position_cmp(pos_at(feed, begin), since) < 0)
		begin++;
	write_feed(out, self, feed, begin, SIZE_MAX);
}

/*
 * Writes this instance's requests in flight. Sent to all peers about twenty
 * times a second, so the sender is an id only.
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

/* Packs the ids of the entries of one kind. */
static void pack_roster_ids(msgpack_packer *pk, const struct roster *r,
			    bool ready, bool relayed)
{
	size_t n = 0;

	for (guint i = 0; i < r->entries->len; i++) {
		const struct roster_entry *e =
			&g_array_index(r->entries, struct roster_entry, i);

		n += e->ready == ready && e->relayed == relayed;
	}
	msgpack_pack_array(pk, n);
	for (guint i = 0; i < r->entries->len; i++) {
		const struct roster_entry *e =
			&g_array_index(r->entries, struct roster_entry, i);

		if (e->ready == ready && e->relayed == relayed)
			msgpack_pack_fix_uint32(pk, e->id);
	}
}

/*
 * Writes as many roster entries as fit into a datagram, starting at `begin`.
 * Returns the index of the next one.
 */
guint gossip_write_roster(struct buf *out, const struct peer_info *self,
			  const struct roster *roster, guint begin)
{
	struct roster part;
	msgpack_packer pk;
	guint end;

	roster_init(&part);
	end = roster_part(roster, begin, ROSTER_PART_ENTRIES, &part);
	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_ROSTER, self);
	msgpack_pack_array(&pk, ROSTER_FIELDS);
	msgpack_pack_uint32(&pk, part.lo);
	msgpack_pack_uint32(&pk, part.hi);
	pack_roster_ids(&pk, &part, true, false);
	pack_roster_ids(&pk, &part, false, false);
	pack_roster_ids(&pk, &part, true, true);
	pack_roster_ids(&pk, &part, false, true);
	roster_clear(&part);
	return end;
}

/*
 * Asks for the peer_info of instances that only a roster has named so far: of
 * as many as fit into a datagram, starting at `begin`. Returns the index of the
 * next one.
 */
guint gossip_write_info_request(struct buf *out, const struct peer_info *self,
				const GArray *ids, guint begin)
{
	guint n = MIN(ids->len - begin, ROSTER_PART_ENTRIES);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_INFO_REQUEST, self);
	msgpack_pack_array(&pk, n);
	for (guint i = 0; i < n; i++)
		msgpack_pack_uint32(&pk,
				    g_array_index(ids, uint32_t, begin + i));
	return begin + n;
}

/* Wraps a message that a relay forwards to the peers of its data centre. */
void gossip_write_relay(struct buf *out, const struct peer_info *self,
			struct lstr message)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_RELAY, self);
	msgpack_pack_bin_with_body(&pk, message.ptr, message.len);
}

/* Writes the request of an instance that doesn't know the members yet. */
void gossip_write_join(struct buf *out, const struct peer_info *self)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_JOIN, self);
}

/* Announces that the roster still has this digest. */
void gossip_write_roster_digest(struct buf *out, const struct peer_info *self,
				uint32_t digest)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_ROSTER_DIGEST, self);
	msgpack_pack_uint32(&pk, digest);
}

/* Asks for the full roster. */
void gossip_write_roster_request(struct buf *out, const struct peer_info *self)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_ROSTER_REQUEST, self);
}

/* Packs the description of an instance as an array of its own. */
void gossip_pack_info(msgpack_packer *pk, const struct peer_info *p)
{
	msgpack_pack_array(pk, SENDER_FIELDS - 1);
	pack_info(pk, p);
}

/*
 * Writes as many descriptions of instances as fit into a datagram, with the
 * ages of their signs of life. Returns their number.
 */
unsigned gossip_write_info(struct buf *out, const struct peer_info *self,
			   const struct peer_report *reports, unsigned n)
{
	struct buf packed = {0};
	msgpack_packer pk, body;
	unsigned fit = 0;

	msgpack_packer_init(&body, &packed, codec_buf_write);
	while (fit < n && packed.len + 2 * INFO_MAX_BYTES <= GOSSIP_MAX) {
		gossip_pack_info(&body, &reports[fit].info);
		msgpack_pack_uint32(&body, reports[fit++].sign_age_ms);
	}
	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_INFO, self);
	msgpack_pack_array(&pk, 2 * (size_t)fit);
	buf_add_lstr(out, buf_lstr(&packed));
	buf_free(&packed);
	return fit;
}

/* Writes `n` notices, at most CRASH_NOTICES_MAX. */
void gossip_write_crashes(struct buf *out, const struct peer_info *self,
			  const struct crash_notice *notices, unsigned n)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	pack_sender(&pk, GOSSIP_CRASHES, self);
	msgpack_pack_array(&pk, CRASH_FIELDS * (size_t)n);
	for (unsigned i = 0; i < n; i++) {
		msgpack_pack_int(&pk, notices[i].kind);
		msgpack_pack_uint64(&pk, notices[i].digest);
		msgpack_pack_uint32(&pk, notices[i].detail);
		msgpack_pack_uint32(&pk, notices[i].age_ms);
	}
}

/*
 * Writes the limits that backend servers have set. Sent to all peers for as
 * long as servers are limited, so the sender is an id only.
 */
void gossip_write_limits(struct buf *out, const struct limit_gossip *update)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, GOSSIP_LIMITS);
	msgpack_pack_uint32(&pk, update->peer);
	msgpack_pack_array(&pk, LIMIT_FIELDS * (size_t)update->n);
	for (unsigned i = 0; i < update->n; i++) {
		const struct limit_gossip_item *it = &update->items[i];

		msgpack_pack_uint32(&pk, it->backend);
		msgpack_pack_uint8(&pk, it->limited);
		msgpack_pack_double(&pk, it->per_s);
		msgpack_pack_uint32(&pk, it->sent_ago_ms);
		msgpack_pack_uint32(&pk, it->received_ago_ms);
	}
}

/* Writes which backend servers have announced that they drain. */
void gossip_write_drain(struct buf *out, const struct drain_gossip *update)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, GOSSIP_DRAINING);
	msgpack_pack_uint32(&pk, update->peer);
	msgpack_pack_array(&pk, DRAIN_FIELDS * (size_t)update->n);
	for (unsigned i = 0; i < update->n; i++) {
		codec_pack_cstr(&pk, update->items[i].id);
		msgpack_pack_uint64(&pk, update->items[i].server_start_ms);
	}
}

/* Writes how many new requests of services found no room. */
void gossip_write_shortage(struct buf *out,
			   const struct shortage_gossip *update)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_int(&pk, GOSSIP_SHORTAGE);
	msgpack_pack_uint32(&pk, update->peer);
	msgpack_pack_array(&pk, SHORTAGE_FIELDS * (size_t)update->n);
	for (unsigned i = 0; i < update->n; i++) {
		const struct shortage_item *it = &update->items[i];

		msgpack_pack_uint32(&pk, it->service);
		msgpack_pack_uint32(&pk, it->counts.asked);
		msgpack_pack_uint32(&pk, it->counts.missed);
	}
}

/* Writes a request for a send, or the grant of one. */
void gossip_write_grant(struct buf *out, const struct limit_borrow_msg *call)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, CALL_FIELDS);
	msgpack_pack_int(&pk,
			 call->grant ? GOSSIP_GRANT : GOSSIP_GRANT_REQUEST);
	msgpack_pack_uint32(&pk, call->from);
	msgpack_pack_uint32(&pk, call->resource);
	msgpack_pack_uint32(&pk, call->serial);
}
