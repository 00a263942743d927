/*
 * Helpers around msgpack-c for the platform's message bodies, stored records
 * and the datagrams between instances. Map members are looked up by name; a
 * value of an unexpected type is treated as absent.
 */
#ifndef MP_MISC_CODEC_H
#define MP_MISC_CODEC_H

#include <stdbool.h>
#include <stdint.h>

#include <msgpack.h>

#include "misc/buf.h"
#include "misc/lstr.h"

const msgpack_object *codec_get(const msgpack_object *map, const char *name);
bool codec_get_lstr(const msgpack_object *map, const char *name,
		    struct lstr *out);
bool codec_get_uint(const msgpack_object *map, const char *name, uint64_t *out);
bool codec_get_real(const msgpack_object *map, const char *name, double *out);
struct lstr codec_str(const msgpack_object *o);

int codec_buf_write(void *buf, const char *p, size_t n);
void codec_pack_lstr(msgpack_packer *pk, struct lstr s);
void codec_pack_cstr(msgpack_packer *pk, const char *s);

#endif
