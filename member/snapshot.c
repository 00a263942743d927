#include <errno.h>
#include <string.h>

#include "member/snapshot.h"
#include "misc/codec.h"

/* Fields of the array on the wire. */
enum {
	HAS_CONFIG,
	CONFIG_ERA,
	CONFIG_OFFSET,
	CONFIG_AGE,
	CONFIG,
	BACKENDS_ERA,
	BACKENDS_OFFSET,
	BACKENDS_AGE,
	BACKENDS,
	MEMBERS,
	VERDICTS,
	EVACUATIONS,
	FIELDS
};

/* Initializes an empty snapshot. */
void snapshot_init(struct snapshot *s)
{
	memset(s, 0, sizeof(*s));
	s->backends = g_array_new(FALSE, FALSE, sizeof(struct backend_change));
	s->members = g_array_new(FALSE, FALSE, sizeof(struct peer_report));
	s->verdicts = g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
}

/* Frees its contents. */
void snapshot_clear(struct snapshot *s)
{
	buf_free(&s->config);
	g_array_unref(s->backends);
	s->backends = NULL;
	g_array_unref(s->members);
	s->members = NULL;
	g_array_unref(s->verdicts);
	s->verdicts = NULL;
}

/* Packs the members: their descriptions, and the ages of their signs. */
static void pack_members(msgpack_packer *pk, const GArray *members)
{
	msgpack_pack_array(pk, 2 * (size_t)members->len);
	for (guint i = 0; i < members->len; i++) {
		const struct peer_report *r =
			&g_array_index(members, struct peer_report, i);

		gossip_pack_info(pk, &r->info);
		msgpack_pack_uint32(pk, r->sign_age_ms);
	}
}

/* Packs the digests of quarantined requests and their terms. */
static void pack_verdicts(msgpack_packer *pk, const GArray *verdicts)
{
	msgpack_pack_array(pk, 2 * (size_t)verdicts->len);
	for (guint i = 0; i < verdicts->len; i++) {
		const struct crash_notice *n =
			&g_array_index(verdicts, struct crash_notice, i);

		msgpack_pack_uint64(pk, n->digest);
		msgpack_pack_uint32(pk, n->detail);
	}
}

/* Packs the names of the evacuated data centres. */
static void pack_evacuations(msgpack_packer *pk, const struct evacuations *e)
{
	msgpack_pack_array(pk, e->n);
	for (unsigned i = 0; i < e->n; i++)
		codec_pack_cstr(pk, e->list[i].dc);
}

/* Encodes a snapshot. */
void snapshot_write(const struct snapshot *s, struct buf *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, FIELDS);
	msgpack_pack_uint8(&pk, s->has_config);
	msgpack_pack_uint64(&pk, s->config_pos.era);
	msgpack_pack_uint64(&pk, s->config_pos.offset);
	msgpack_pack_uint32(&pk, s->config_age_ms);
	msgpack_pack_bin_with_body(&pk, s->config.ptr, s->config.len);
	msgpack_pack_uint64(&pk, s->backends_pos.era);
	msgpack_pack_uint64(&pk, s->backends_pos.offset);
	msgpack_pack_uint32(&pk, s->backends_age_ms);
	if (s->has_backends)
		msgpack_pack_array(&pk, s->backends->len);
	else
		msgpack_pack_nil(&pk);
	for (guint i = 0; s->has_backends && i < s->backends->len; i++)
		gossip_pack_change(
			&pk,
			&g_array_index(s->backends, struct backend_change, i));
	pack_members(&pk, s->members);
	pack_verdicts(&pk, s->verdicts);
	pack_evacuations(&pk, &s->evacuations);
}

static bool is_uint(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool is_u32(const msgpack_object *o)
{
	return is_uint(o) && o->via.u64 <= UINT32_MAX;
}

static bool read_members(const msgpack_object *o, GArray *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 2)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i += 2) {
		struct peer_report r;

		if (!gossip_read_info(&o->via.array.ptr[i], &r.info) ||
		    !is_u32(&o->via.array.ptr[i + 1]))
			return false;
		r.sign_age_ms = (uint32_t)o->via.array.ptr[i + 1].via.u64;
		g_array_append_val(out, r);
	}
	return true;
}

static bool read_verdicts(const msgpack_object *o, GArray *out)
{
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % 2)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i += 2) {
		const msgpack_object *v = &o->via.array.ptr[i];
		struct crash_notice n = {CRASH_NOTICE_QUARANTINE, 0, 0, 0};

		if (!is_uint(&v[0]) || !is_u32(&v[1]))
			return false;
		n.digest = v[0].via.u64;
		n.detail = (uint32_t)v[1].via.u64;
		g_array_append_val(out, n);
	}
	return true;
}

static bool read_evacuations(const msgpack_object *o, struct snapshot *s)
{
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < o->via.array.size; i++) {
		struct lstr dc = codec_str(&o->via.array.ptr[i]);

		if (evacuations_add(&s->evacuations, dc, s->config_pos.era) < 0)
			return false;
	}
	return true;
}

/*
 * Checks the types of all fields and copies them to s. Returns false if one is
 * invalid.
 */
static bool read_fields(const msgpack_object *o, struct snapshot *s)
{
	const msgpack_object *f = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != FIELDS ||
	    !is_uint(&f[HAS_CONFIG]) || !is_uint(&f[CONFIG_ERA]) ||
	    !is_uint(&f[CONFIG_OFFSET]) || !is_u32(&f[CONFIG_AGE]) ||
	    f[CONFIG].type != MSGPACK_OBJECT_BIN ||
	    !is_uint(&f[BACKENDS_ERA]) || !is_uint(&f[BACKENDS_OFFSET]) ||
	    !is_u32(&f[BACKENDS_AGE]) ||
	    (f[BACKENDS].type != MSGPACK_OBJECT_ARRAY &&
	     f[BACKENDS].type != MSGPACK_OBJECT_NIL))
		return false;
	s->has_config = f[HAS_CONFIG].via.u64 != 0;
	s->config_pos = (struct store_position){f[CONFIG_ERA].via.u64,
						f[CONFIG_OFFSET].via.u64};
	s->config_age_ms = (uint32_t)f[CONFIG_AGE].via.u64;
	buf_add(&s->config, f[CONFIG].via.bin.ptr, f[CONFIG].via.bin.size);
	s->backends_pos = (struct store_position){f[BACKENDS_ERA].via.u64,
						  f[BACKENDS_OFFSET].via.u64};
	s->backends_age_ms = (uint32_t)f[BACKENDS_AGE].via.u64;
	s->has_backends = f[BACKENDS].type == MSGPACK_OBJECT_ARRAY;
	for (uint32_t i = 0; s->has_backends && i < f[BACKENDS].via.array.size;
	     i++) {
		struct backend_change c;

		if (!gossip_read_change(&f[BACKENDS].via.array.ptr[i], &c))
			return false;
		g_array_append_val(s->backends, c);
	}
	return read_members(&f[MEMBERS], s->members) &&
	       read_verdicts(&f[VERDICTS], s->verdicts) &&
	       read_evacuations(&f[EVACUATIONS], s);
}

/*
 * Decodes into s, which must be freshly initialized. Returns 0 or -EPROTO; s
 * must be cleared in both cases.
 */
int snapshot_read(struct lstr bytes, struct snapshot *s)
{
	msgpack_unpacked u;
	size_t off = 0;
	int rc = -EPROTO;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, bytes.ptr, bytes.len, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    read_fields(&u.data, s))
		rc = 0;
	msgpack_unpacked_destroy(&u);
	return rc;
}
