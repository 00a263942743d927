/* Packs JSON text, with single quotes and without escapes, as msgpack. */
#ifndef MP_TESTS_JSON_PACK_H
#define MP_TESTS_JSON_PACK_H

#include <glib.h>

#include "misc/codec.h"

static inline const char *json_skip(const char *s)
{
	return s + strspn(s, " ,:\n");
}

static inline const char *json_pack(msgpack_packer *pk, const char *s);

/* Packs the members of a map or array; the count comes first. */
static inline const char *json_pack_members(msgpack_packer *pk, const char *s)
{
	bool map = *s++ == '{';
	struct buf members = {0};
	msgpack_packer inner;
	size_t n = 0;

	msgpack_packer_init(&inner, &members, codec_buf_write);
	for (s = json_skip(s); *s != '}' && *s != ']'; s = json_skip(s)) {
		s = json_pack(&inner, s);
		n++;
	}
	if (map)
		msgpack_pack_map(pk, n / 2);
	else
		msgpack_pack_array(pk, n);
	codec_buf_write(pk->data, members.ptr, members.len);
	buf_free(&members);
	return s + 1;
}

/* Packs the value at s. Returns what follows it. */
static inline const char *json_pack(msgpack_packer *pk, const char *s)
{
	const char *end;
	char *rest;
	double v;

	s = json_skip(s);
	if (*s == '{' || *s == '[')
		return json_pack_members(pk, s);
	if (*s == '\'') {
		end = strchr(++s, '\'');
		codec_pack_lstr(pk, (struct lstr){s, (size_t)(end - s)});
		return end + 1;
	}
	if (g_str_has_prefix(s, "null")) {
		msgpack_pack_nil(pk);
		return s + strlen("null");
	}
	if (g_str_has_prefix(s, "true")) {
		msgpack_pack_true(pk);
		return s + strlen("true");
	}
	v = g_ascii_strtod(s, &rest);
	if (v >= 0 && v < 1e18 && (double)(uint64_t)v == v)
		msgpack_pack_uint64(pk, (uint64_t)v);
	else
		msgpack_pack_double(pk, v);
	return rest;
}

static inline void json_write(struct buf *out, const char *text)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, codec_buf_write);
	json_pack(&pk, text);
}

#endif
