#include "control/config_listing.h"

/* Frees a copied record. */
static void free_record(gpointer p)
{
	const struct store_record *rec = p;

	g_free((char *)rec->key.ptr);
	g_free((char *)rec->value.ptr);
}

static struct lstr copy(struct lstr s)
{
	return (struct lstr){g_memdup2(s.ptr, s.len), s.len};
}

/*
 * config_listing_begin() drops the records of an earlier listing. `end` is that
 * of the first page: what was written since isn't on all pages.
 */
void config_listing_begin(struct config_listing *l, struct store_position end)
{
	config_listing_clear(l);
	l->records = g_array_new(FALSE, FALSE, sizeof(struct store_record));
	g_array_set_clear_func(l->records, free_record);
	l->end = end;
}

/* Returns whether a key is that of the configuration or of an evacuation. */
static bool is_wanted(const struct config_source *source, struct lstr key)
{
	const char *prefix = source->evacuation_prefix;

	return lstr_eq(key, lstr0(source->key)) ||
	       (prefix && lstr_starts_with(key, lstr0(prefix)));
}

/* config_listing_add() copies the records of a page that are wanted. */
void config_listing_add(struct config_listing *l,
			const struct config_source *source,
			const struct store_result *page)
{
	for (size_t i = 0; i < page->nrecords; i++) {
		struct store_record rec = page->records[i];

		if (!is_wanted(source, rec.key))
			continue;
		rec.key = copy(rec.key);
		rec.value = copy(rec.value);
		g_array_append_val(l->records, rec);
	}
}

/* config_listing_has_config() returns whether a page had the configuration. */
bool config_listing_has_config(const struct config_listing *l,
			       const struct config_source *source)
{
	for (guint i = 0; i < l->records->len; i++) {
		if (lstr_eq(g_array_index(l->records, struct store_record, i)
				    .key,
			    lstr0(source->key)))
			return true;
	}
	return false;
}

/*
 * config_listing_result() returns the records as the result of one call; it
 * borrows them. `last` is the last page.
 */
struct store_result config_listing_result(const struct config_listing *l,
					  const struct store_result *last)
{
	return (struct store_result){
		.end = l->end,
		.records =
			(const struct store_record *)(void *)l->records->data,
		.nrecords = l->records->len,
		.incomplete = last->incomplete,
	};
}

/* config_listing_clear() frees the records. */
void config_listing_clear(struct config_listing *l)
{
	if (l->records)
		g_array_unref(l->records);
	l->records = NULL;
}
