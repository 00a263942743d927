#include <errno.h>
#include <string.h>

#include "conf/values.h"
#include "misc/codec.h"

/* conf_init() initializes version 0, which is empty. */
void conf_init(struct conf_values *v)
{
	memset(v, 0, sizeof(*v));
	v->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* conf_clear() frees the values. */
void conf_clear(struct conf_values *v)
{
	g_hash_table_unref(v->values);
	v->values = NULL;
}

/* conf_get() returns the value of a key, or NULL. */
const char *conf_get(const struct conf_values *v, const char *key)
{
	return g_hash_table_lookup(v->values, key);
}

/* Returns whether every item is KEY=VALUE with a non-empty key. */
static bool are_pairs_valid(char **set_kv)
{
	for (char **kv = set_kv; kv && *kv; kv++) {
		const char *eq = strchr(*kv, '=');

		if (!eq || eq == *kv)
			return false;
	}
	return true;
}

/*
 * conf_apply() turns v into its next version: set_kv holds "key=value" items,
 * unset holds keys to remove; either may be NULL. Returns 0, or without any
 * change -ESTALE if base is not v's version and -EINVAL for a malformed item.
 */
int conf_apply(struct conf_values *v, uint64_t base, const char *patch_id,
	       char **set_kv, char **unset)
{
	if (base != v->version)
		return -ESTALE;
	if (!are_pairs_valid(set_kv))
		return -EINVAL;
	for (char **kv = set_kv; kv && *kv; kv++) {
		const char *eq = strchr(*kv, '=');

		g_hash_table_replace(v->values,
				     g_strndup(*kv, (gsize)(eq - *kv)),
				     g_strdup(eq + 1));
	}
	for (char **k = unset; k && *k; k++)
		g_hash_table_remove(v->values, *k);
	v->version++;
	g_strlcpy(v->patch_id, patch_id, sizeof(v->patch_id));
	return 0;
}

/* conf_write() packs a version as a record: [version, patch id, {values}]. */
void conf_write(const struct conf_values *v, struct buf *out)
{
	msgpack_packer pk;
	GHashTableIter it;
	gpointer key, value;

	msgpack_packer_init(&pk, out, codec_buf_write);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_uint64(&pk, v->version);
	codec_pack_cstr(&pk, v->patch_id);
	msgpack_pack_map(&pk, g_hash_table_size(v->values));
	g_hash_table_iter_init(&it, v->values);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		codec_pack_cstr(&pk, key);
		codec_pack_cstr(&pk, value);
	}
}

/* Unpacks a map of strings; returns false for other types. */
static bool unpack_pairs(const msgpack_object *map, GHashTable *values)
{
	for (uint32_t i = 0; i < map->via.map.size; i++) {
		struct lstr k = codec_str(&map->via.map.ptr[i].key);
		struct lstr x = codec_str(&map->via.map.ptr[i].val);

		if (!k.ptr || !x.ptr)
			return false;
		g_hash_table_replace(values, g_strndup(k.ptr, k.len),
				     g_strndup(x.ptr, x.len));
	}
	return true;
}

/* Unpacks the fields of a record; returns false if it is malformed. */
static bool unpack_fields(const msgpack_object *o, struct conf_values *v)
{
	const msgpack_object *f = o->via.array.ptr;
	struct lstr id;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3 ||
	    f[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    f[2].type != MSGPACK_OBJECT_MAP)
		return false;
	id = codec_str(&f[1]);
	if (!id.ptr || id.len >= sizeof(v->patch_id))
		return false;
	v->version = f[0].via.u64;
	memcpy(v->patch_id, id.ptr, id.len);
	v->patch_id[id.len] = '\0';
	return unpack_pairs(&f[2], v->values);
}

/*
 * conf_read() unpacks a record into v, which must be newly initialized. Returns
 * 0, or -EPROTO for a malformed or truncated record.
 */
int conf_read(struct lstr record, struct conf_values *v)
{
	msgpack_unpacked u;
	size_t off = 0;
	int rc = -EPROTO;

	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, record.ptr, record.len, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpack_fields(&u.data, v))
		rc = 0;
	msgpack_unpacked_destroy(&u);
	return rc;
}
