#include <errno.h>
#include <math.h>
#include <string.h>

#include <msgpack.h>

#include "member/gossip.h"
#include "misc/codec.h"
#include "misc/text.h"

enum { CRASH_FIELDS_WITHOUT_AGE = 3 };

/*
 * Iterates over the elements of an array. `bad` is set once one is missing or
 * has the wrong type, and stays set.
 */
struct cursor {
	const msgpack_object *at, *end;
	bool bad;
};

/* Starts at the first element; anything but an array gives a bad cursor. */
static struct cursor cursor_of(const msgpack_object *o)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return (struct cursor){.bad = true};
	return (struct cursor){o->via.array.ptr,
			       o->via.array.ptr + o->via.array.size, false};
}

/* Returns the next element, or nil if there is none. */
static const msgpack_object *next(struct cursor *c)
{
	static const msgpack_object nil = {.type = MSGPACK_OBJECT_NIL};

	if (c->bad || c->at == c->end) {
		c->bad = true;
		return &nil;
	}
	return c->at++;
}

/* Reads an unsigned integer. */
static uint64_t next_uint(struct cursor *c)
{
	const msgpack_object *o = next(c);

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		c->bad = true;
		return 0;
	}
	return o->via.u64;
}

/* Reads an unsigned integer that must not be greater than max. */
static uint64_t next_uint_to(struct cursor *c, uint64_t max)
{
	uint64_t v = next_uint(c);

	if (v <= max)
		return v;
	c->bad = true;
	return 0;
}

/* Reads an unsigned integer of 32 bits. */
static uint32_t next_u32(struct cursor *c)
{
	return (uint32_t)next_uint_to(c, UINT32_MAX);
}

/* Reads a finite number >= 0; integers may be encoded as such. */
static double next_number(struct cursor *c)
{
	const msgpack_object *o = next(c);
	bool whole = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
	bool real = o->type == MSGPACK_OBJECT_FLOAT32 ||
		    o->type == MSGPACK_OBJECT_FLOAT64;
	double v = whole ? (double)o->via.u64 : real ? o->via.f64 : -1;

	if (isfinite(v) && v >= 0)
		return v;
	c->bad = true;
	return 0;
}

/*
 * Reads a string that fits into `max` bytes with its terminating null byte; it
 * may be empty, and can be logged as it is.
 */
static void next_string(struct cursor *c, char *dst, size_t max)
{
	const msgpack_object *o = next(c);

	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= max ||
	    (o->via.str.size && !text_is_printable(codec_str(o)))) {
		c->bad = true;
		return;
	}
	memcpy(dst, o->via.str.ptr, o->via.str.size);
	dst[o->via.str.size] = '\0';
}

/* Reads an IPv4 address and port. */
static void next_addr(struct cursor *c, struct sockaddr_in *sa)
{
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_addr.s_addr = htonl(next_u32(c));
	sa->sin_port = htons((uint16_t)next_uint_to(c, UINT16_MAX));
}

/* Reads a position; the store numbers its eras in 32 bits. */
static struct store_position next_position(struct cursor *c)
{
	uint64_t era = next_u32(c);

	return (struct store_position){era, next_uint(c)};
}

/* Decodes one change. Returns false if it is invalid. */
bool gossip_read_change(const msgpack_object *o, struct backend_change *out)
{
	struct cursor c = cursor_of(o);
	struct backend_entry *e = &out->entry;
	uint64_t kind;

	memset(out, 0, sizeof(*out));
	out->pos = next_position(&c);
	next_string(&c, e->id, sizeof(e->id));
	kind = next_uint(&c);
	out->missing = kind == CHANGE_MISSING;
	out->unconfirmed = kind == CHANGE_UNCONFIRMED;
	out->removed = !out->missing && c.at == c.end;
	if (c.at == c.end)
		return !c.bad;
	next_string(&c, e->service, sizeof(e->service));
	next_string(&c, e->dc, sizeof(e->dc));
	next_addr(&c, &e->addr);
	e->slots = next_u32(&c);
	e->draining = next_uint(&c) != 0;
	e->warm_up_ms = next_u32(&c);
	e->server_start_ms = next_uint(&c);
	e->sequence = next_uint(&c);
	return !c.bad;
}

static bool read_feed(const msgpack_object *o, struct backend_feed *f)
{
	struct cursor c = cursor_of(o), list;

	f->from = next_position(&c);
	f->listed_from = next_position(&c);
	f->to = next_position(&c);
	f->age_ms = next_u32(&c);
	f->covered_ms = next_u32(&c);
	f->after_gap = next_uint(&c) != 0;
	list = cursor_of(next(&c));
	f->changes = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	while (!list.bad && list.at < list.end) {
		struct backend_change change;

		if (!gossip_read_change(next(&list), &change))
			return false;
		g_array_append_val(f->changes, change);
	}
	return !c.bad && !list.bad;
}

static bool read_counts(const msgpack_object *o, struct peer_load *load)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end && load->n < PEER_LOAD_MAX) {
		struct peer_load_item *i = &load->items[load->n++];

		i->backend = next_u32(&c);
		i->count = next_u32(&c);
	}
	return !c.bad;
}

static void read_info(struct cursor *c, struct peer_info *p)
{
	next_string(c, p->name, sizeof(p->name));
	next_string(c, p->dc, sizeof(p->dc));
	next_string(c, p->caller_addr, sizeof(p->caller_addr));
	next_string(c, p->own_addr, sizeof(p->own_addr));
	next_addr(c, &p->addr);
	p->boot_id = next_uint(c);
	p->leaving = next_uint(c) != 0;
	p->ready = next_uint(c) != 0;
	p->store_era = next_u32(c);
	p->records_era = next_u32(c);
	p->config.pos = next_position(c);
	p->config.age_ms = next_u32(c);
	p->config.version = next_uint(c);
	p->config.digest = next_u32(c);
}

/* Decodes the description of an instance. Returns false if it is invalid. */
bool gossip_read_info(const msgpack_object *o, struct peer_info *p)
{
	struct cursor c = cursor_of(o);

	read_info(&c, p);
	return !c.bad;
}

static bool read_infos(const msgpack_object *o, GArray *out)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end) {
		struct peer_report r;

		if (!gossip_read_info(next(&c), &r.info))
			return false;
		r.sign_age_ms = next_u32(&c);
		g_array_append_val(out, r);
	}
	return !c.bad;
}

static bool read_relayed(const msgpack_object *o, struct buf *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	buf_add(out, o->via.bin.ptr, o->via.bin.size);
	return true;
}

static bool read_ids(const msgpack_object *o, GArray *out)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end) {
		uint32_t id = next_u32(&c);

		g_array_append_val(out, id);
	}
	return !c.bad;
}

static bool read_roster_ids(const msgpack_object *o, bool ready, bool relayed,
			    GArray *out)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end) {
		struct roster_entry e = {next_u32(&c), ready, relayed};

		g_array_append_val(out, e);
	}
	return !c.bad;
}

static bool read_roster(const msgpack_object *o, struct roster *r)
{
	struct cursor c = cursor_of(o);

	roster_init(r);
	r->lo = next_u32(&c);
	r->hi = next_u32(&c);
	return read_roster_ids(next(&c), true, false, r->entries) &&
	       read_roster_ids(next(&c), false, false, r->entries) &&
	       read_roster_ids(next(&c), true, true, r->entries) &&
	       read_roster_ids(next(&c), false, true, r->entries) && !c.bad;
}

/*
 * Reads at most CRASH_NOTICES_MAX notices. Returns false if one is of an
 * unknown kind.
 */
static bool read_crashes(const msgpack_object *o, GArray *out)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end && out->len < CRASH_NOTICES_MAX) {
		struct crash_notice n = {
			.kind = (enum crash_notice_kind)next_u32(&c),
			.digest = next_uint(&c),
			.detail = next_u32(&c),
		};

		/* Records of earlier versions are a notice without an age. */
		if (o->via.array.size != CRASH_FIELDS_WITHOUT_AGE)
			n.age_ms = next_u32(&c);

		if (n.kind < CRASH_NOTICE_CRASHED ||
		    n.kind > CRASH_NOTICE_QUARANTINE)
			return false;
		g_array_append_val(out, n);
	}
	return !c.bad;
}

static bool read_limits(const msgpack_object *o, struct limit_gossip *update)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end && update->n < LIMIT_GOSSIP_MAX) {
		struct limit_gossip_item *it = &update->items[update->n++];

		it->backend = next_u32(&c);
		it->limited = next_uint(&c) != 0;
		it->per_s = next_number(&c);
		it->sent_ago_ms = next_u32(&c);
		it->received_ago_ms = next_u32(&c);
	}
	return !c.bad;
}

static bool read_draining(const msgpack_object *o, struct drain_gossip *update)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end && update->n < DRAIN_GOSSIP_MAX) {
		struct drain_gossip_item *it = &update->items[update->n++];

		next_string(&c, it->id, sizeof(it->id));
		it->server_start_ms = next_uint(&c);
	}
	return !c.bad;
}

/* Returns false also if a count is larger than any instance's. */
static bool read_shortage(const msgpack_object *o,
			  struct shortage_gossip *update)
{
	struct cursor c = cursor_of(o);

	while (!c.bad && c.at < c.end && update->n < SHORTAGE_GOSSIP_MAX) {
		struct shortage_item *it = &update->items[update->n++];

		it->service = next_u32(&c);
		it->counts.asked = next_u32(&c);
		it->counts.missed = next_u32(&c);
		if (it->counts.asked > SHORTAGE_COUNT_MAX ||
		    it->counts.missed > SHORTAGE_COUNT_MAX)
			return false;
	}
	return !c.bad;
}

static bool read_grant(struct cursor *c, struct gossip_message *m)
{
	m->call.grant = m->kind == GOSSIP_GRANT;
	m->call.from = next_u32(c);
	m->call.resource = next_u32(c);
	m->call.serial = next_u32(c);
	return !c->bad;
}

/*
 * Returns whether a message carries the peer_info of its sender, and not only
 * an id.
 */
bool gossip_has_sender_info(const struct gossip_message *m)
{
	switch (m->kind) {
	case GOSSIP_LOAD:
	case GOSSIP_LIMITS:
	case GOSSIP_DRAINING:
	case GOSSIP_SHORTAGE:
	case GOSSIP_GRANT_REQUEST:
	case GOSSIP_GRANT:
	case GOSSIP_QUOTA_ASK:
	case GOSSIP_QUOTA_ANSWER:
		return false;
	default:
		return true;
	}
}

/* Reads what follows the sender. */
static bool read_body(struct cursor *c, struct gossip_message *m)
{
	switch (m->kind) {
	case GOSSIP_HEARTBEAT:
	case GOSSIP_JOIN:
	case GOSSIP_ROSTER_REQUEST:
		return true;
	case GOSSIP_ROSTER_DIGEST:
		m->digest = next_u32(c);
		return !c->bad;
	case GOSSIP_FEED:
		return read_feed(next(c), &m->feed);
	case GOSSIP_LOAD:
		m->load.peer = next_u32(c);
		return read_counts(next(c), &m->load) && !c->bad;
	case GOSSIP_LIMITS:
		m->limits.peer = next_u32(c);
		return read_limits(next(c), &m->limits) && !c->bad;
	case GOSSIP_DRAINING:
		m->drain.peer = next_u32(c);
		return read_draining(next(c), &m->drain) && !c->bad;
	case GOSSIP_SHORTAGE:
		m->shortage.peer = next_u32(c);
		return read_shortage(next(c), &m->shortage) && !c->bad;
	case GOSSIP_GRANT_REQUEST:
	case GOSSIP_GRANT:
		return read_grant(c, m);
	case GOSSIP_QUOTA_ASK:
	case GOSSIP_QUOTA_ANSWER:
		return gossip_read_quota(c->at, (size_t)(c->end - c->at),
					 &m->quota);
	case GOSSIP_ROSTER:
		return read_roster(next(c), &m->roster);
	case GOSSIP_INFO_REQUEST:
		m->ids = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		return read_ids(next(c), m->ids);
	case GOSSIP_INFO:
		m->infos =
			g_array_new(FALSE, FALSE, sizeof(struct peer_report));
		return read_infos(next(c), m->infos);
	case GOSSIP_RELAY:
		return read_relayed(next(c), &m->relayed);
	case GOSSIP_CRASHES:
		m->crashes =
			g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
		return read_crashes(next(c), m->crashes);
	}
	return false;
}

/*
 * Decodes a datagram. Returns 0, or -EPROTO if it is invalid; m must be cleared
 * in both cases.
 */
int gossip_read(struct lstr bytes, struct gossip_message *m)
{
	msgpack_unpacked u;
	size_t off = 0;
	int rc = -EPROTO;

	memset(m, 0, sizeof(*m));
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes.ptr, bytes.len, &off) ==
	    MSGPACK_UNPACK_SUCCESS) {
		struct cursor c = cursor_of(&u.data);

		m->kind = (enum gossip_kind)next_u32(&c);
		if (gossip_has_sender_info(m))
			read_info(&c, &m->sender);
		if (!c.bad && read_body(&c, m))
			rc = 0;
	}
	msgpack_unpacked_destroy(&u);
	return rc;
}

/* Frees what gossip_read() allocated. */
void gossip_message_clear(struct gossip_message *m)
{
	if (m->feed.changes)
		g_array_unref(m->feed.changes);
	m->feed.changes = NULL;
	if (m->crashes)
		g_array_unref(m->crashes);
	m->crashes = NULL;
	buf_free(&m->relayed);
	if (m->ids)
		g_array_unref(m->ids);
	m->ids = NULL;
	if (m->infos)
		g_array_unref(m->infos);
	m->infos = NULL;
	roster_clear(&m->roster);
}
