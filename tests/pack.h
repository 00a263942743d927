/* Packs members of the platform's maps. */
#ifndef MP_TESTS_PACK_H
#define MP_TESTS_PACK_H

#include "misc/codec.h"

static inline void pack_pair(msgpack_packer *pk, const char *name,
			     const char *value)
{
	codec_pack_cstr(pk, name);
	codec_pack_cstr(pk, value);
}

static inline void pack_number(msgpack_packer *pk, const char *name, uint64_t v)
{
	codec_pack_cstr(pk, name);
	msgpack_pack_uint64(pk, v);
}

#endif
