#include <string.h>

#include <msgpack.h>

#include "misc/codec.h"
#include "stand/listing.h"

/* Writes one item of the listing. */
static void write_item(msgpack_packer *pk, GBytes *key,
		       const struct log_newest *n)
{
	gsize len;
	const void *value = g_bytes_get_data(n->value, &len);
	char *text = g_base64_encode(value, len);
	struct lstr name = {.ptr = g_bytes_get_data(key, &name.len)};

	msgpack_pack_map(pk, 3);
	codec_pack_cstr(pk, "key");
	codec_pack_lstr(pk, name);
	codec_pack_cstr(pk, "value");
	codec_pack_cstr(pk, text);
	codec_pack_cstr(pk, "offset");
	msgpack_pack_uint64(pk, n->offset);
	g_free(text);
}

/*
 * listing_write() writes the keys after `after`, or the first if it is empty;
 * one page of at most items_max.
 */
void listing_write(const struct log_part *p, struct lstr after,
		   unsigned items_max, struct buf *body)
{
	GList *keys =
		g_list_sort(g_hash_table_get_keys(p->newest), g_bytes_compare);
	GBytes *last = g_bytes_new(after.ptr, after.len);
	msgpack_packer pk;
	GList *l = keys;
	guint n;

	while (after.len && l && g_bytes_compare(l->data, last) <= 0)
		l = l->next;
	n = g_list_length(l);
	msgpack_packer_init(&pk, body, codec_buf_write);
	msgpack_pack_map(&pk, 3);
	codec_pack_cstr(&pk, "items");
	msgpack_pack_array(&pk, MIN(n, items_max));
	for (guint i = 0; l && i < items_max; i++, l = l->next)
		write_item(&pk, l->data,
			   g_hash_table_lookup(p->newest, l->data));
	codec_pack_cstr(&pk, "more");
	if (n > items_max)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	codec_pack_cstr(&pk, "endOffset");
	msgpack_pack_uint64(&pk, log_end(p));
	g_list_free(keys);
	g_bytes_unref(last);
}
