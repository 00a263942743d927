#include <math.h>
#include <string.h>

#include "misc/codec.h"

/* 2^53: a double represents every integer up to here. */
static const double DOUBLE_EXACT_INT_MAX = 9007199254740992.0;

/* codec_str() borrows a string or binary value; {NULL, 0} for other types. */
struct lstr codec_str(const msgpack_object *o)
{
	if (o && o->type == MSGPACK_OBJECT_STR)
		return (struct lstr){o->via.str.ptr, o->via.str.size};
	if (o && o->type == MSGPACK_OBJECT_BIN)
		return (struct lstr){o->via.bin.ptr, o->via.bin.size};
	return (struct lstr){NULL, 0};
}

/* codec_get() returns a member of a map, or NULL. */
const msgpack_object *codec_get(const msgpack_object *map, const char *name)
{
	if (!map || map->type != MSGPACK_OBJECT_MAP)
		return NULL;
	for (uint32_t i = 0; i < map->via.map.size; i++) {
		const msgpack_object_kv *kv = &map->via.map.ptr[i];

		if (lstr_eq(codec_str(&kv->key), lstr0(name)))
			return &kv->val;
	}
	return NULL;
}

/* codec_get_lstr() reads a string member. Returns whether it is present. */
bool codec_get_lstr(const msgpack_object *map, const char *name,
		    struct lstr *out)
{
	struct lstr s = codec_str(codec_get(map, name));

	if (!s.ptr)
		return false;
	*out = s;
	return true;
}

/* Reads a finite, non-negative floating-point number. */
static bool read_float(const msgpack_object *o, double *out)
{
	if (o->type != MSGPACK_OBJECT_FLOAT64 &&
	    o->type != MSGPACK_OBJECT_FLOAT32)
		return false;
	*out = o->via.f64;
	return isfinite(*out) && *out >= 0;
}

/* codec_get_uint() reads a non-negative integer member. */
bool codec_get_uint(const msgpack_object *map, const char *name, uint64_t *out)
{
	const msgpack_object *o = codec_get(map, name);
	double v;

	if (!o)
		return false;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		*out = o->via.u64;
		return true;
	}
	if (!read_float(o, &v) || v > DOUBLE_EXACT_INT_MAX || floor(v) != v)
		return false;
	*out = (uint64_t)v;
	return true;
}

/* codec_get_real() reads a non-negative number. */
bool codec_get_real(const msgpack_object *map, const char *name, double *out)
{
	const msgpack_object *o = codec_get(map, name);

	if (!o)
		return false;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
		*out = (double)o->via.u64;
		return true;
	}
	return read_float(o, out);
}

/* codec_buf_write() is the msgpack_packer callback for a struct buf. */
int codec_buf_write(void *buf, const char *p, size_t n)
{
	buf_add(buf, p, n);
	return 0;
}

/* codec_pack_lstr() packs a string. */
void codec_pack_lstr(msgpack_packer *pk, struct lstr s)
{
	msgpack_pack_str_with_body(pk, s.ptr, s.len);
}

/* codec_pack_cstr() packs a NUL-terminated string. */
void codec_pack_cstr(msgpack_packer *pk, const char *s)
{
	codec_pack_lstr(pk, lstr0(s));
}
