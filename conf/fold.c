#include "common/event.h"
#include "conf/fold.h"

/* conf_init() starts a reader at offset 0 of an empty log: in sync. */
void conf_init(struct conf_state *st)
{
	st->synced = true;
	st->version = 0;
	st->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	st->next_offset = 0;
}

/* conf_reset() forgets everything folded; the state waits for a snapshot. */
void conf_reset(struct conf_state *st)
{
	g_hash_table_remove_all(st->values);
	st->synced = false;
	st->version = 0;
}

/* conf_free() releases the values. */
void conf_free(struct conf_state *st)
{
	g_hash_table_unref(st->values);
	st->values = NULL;
}

/*
 * conf_gap() is called when the log no longer holds next_offset: records
 * were lost to retention before this reader folded them. It cannot know
 * what they did, so it waits for the next snapshot.
 */
void conf_gap(struct conf_state *st, int64_t first_kept)
{
	if (first_kept <= st->next_offset)
		return;
	if (first_kept > 0)
		conf_reset(st);
	st->next_offset = first_kept;
}

/* Puts every string member of obj into values. */
static void load_values(GHashTable *values, JsonObject *obj)
{
	GList *keys = json_object_get_members(obj);

	for (GList *k = keys; k; k = k->next) {
		const char *v = json_object_get_string_member(obj, k->data);

		g_hash_table_replace(values, g_strdup(k->data),
				     g_strdup(v ? v : ""));
	}
	g_list_free(keys);
}

/* True when obj holds exactly the pairs of values. */
static bool same_values(GHashTable *values, JsonObject *obj)
{
	if (json_object_get_size(obj) != g_hash_table_size(values))
		return false;
	GList *keys = json_object_get_members(obj);
	bool same = true;

	for (GList *k = keys; k && same; k = k->next) {
		const char *mine = g_hash_table_lookup(values, k->data);
		const char *v = json_object_get_string_member(obj, k->data);

		same = mine && v && !g_strcmp0(mine, v);
	}
	g_list_free(keys);
	return same;
}

static enum fold_result fold_patch(struct conf_state *st, JsonObject *rec)
{
	if (!st->synced)
		return FOLD_SKIPPED;
	if (!json_object_has_member(rec, "base"))
		return FOLD_BAD;
	if (json_object_get_int_member(rec, "base") != st->version)
		return FOLD_REJECTED;
	if (json_object_has_member(rec, "set"))
		load_values(st->values,
			    json_object_get_object_member(rec, "set"));
	if (json_object_has_member(rec, "unset")) {
		JsonArray *un = json_object_get_array_member(rec, "unset");

		for (guint i = 0; i < json_array_get_length(un); i++)
			g_hash_table_remove(
				st->values,
				json_array_get_string_element(un, i));
	}
	st->version++;
	return FOLD_ACCEPTED;
}

static enum fold_result fold_snapshot(struct conf_state *st, JsonObject *rec)
{
	int64_t v = json_object_get_int_member(rec, "version");
	JsonObject *vals = json_object_get_object_member(rec, "values");

	if (!vals)
		return FOLD_BAD;
	if (!st->synced) {
		g_hash_table_remove_all(st->values);
		load_values(st->values, vals);
		st->version = v;
		st->synced = true;
		return FOLD_SNAPSHOT_NEW;
	}
	/*
	 * A snapshot restates a version its writer folded from records
	 * before this one, so it can never be ahead of us, and at our own
	 * version it must say exactly what we hold.
	 */
	mp_invariant(v <= st->version,
		     "snapshot of version %lld ahead of folded version %lld",
		     (long long)v, (long long)st->version);
	if (v == st->version)
		mp_invariant(same_values(st->values, vals),
			     "snapshot of version %lld differs from the fold",
			     (long long)v);
	return FOLD_SNAPSHOT_OLD;
}

/*
 * conf_fold() applies the record at offset. Offsets must come in order;
 * one that skips ahead is treated as a gap. Returns what the record did.
 */
enum fold_result conf_fold(struct conf_state *st, int64_t offset,
			   JsonObject *rec)
{
	enum fold_result r = FOLD_BAD;

	if (offset < st->next_offset)
		return FOLD_SKIPPED;
	conf_gap(st, offset);
	st->next_offset = offset + 1;
	const char *kind = rec ? json_object_get_string_member_with_default(
					 rec, "kind", "")
			       : "";

	if (!g_strcmp0(kind, "patch"))
		r = fold_patch(st, rec);
	else if (!g_strcmp0(kind, "snapshot"))
		r = fold_snapshot(st, rec);
	return r;
}

/* conf_get() returns the live value of key, or NULL. */
const char *conf_get(const struct conf_state *st, const char *key)
{
	return g_hash_table_lookup(st->values, key);
}

/* Builds a JSON object node from a hash table of strings. */
static JsonNode *values_node(GHashTable *values)
{
	JsonObject *obj = json_object_new();
	GHashTableIter it;
	gpointer k, v;

	g_hash_table_iter_init(&it, values);
	while (g_hash_table_iter_next(&it, &k, &v))
		json_object_set_string_member(obj, k, v);
	JsonNode *n = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(n, obj);
	return n;
}

/* Serialises an object node and frees it. */
static char *node_text(JsonNode *n)
{
	char *s = json_to_string(n, FALSE);

	json_node_unref(n);
	return s;
}

/* conf_snapshot_json() restates st as a snapshot record (g_free it). */
char *conf_snapshot_json(const struct conf_state *st)
{
	JsonObject *obj = json_object_new();
	JsonNode *n = json_node_new(JSON_NODE_OBJECT);

	json_object_set_string_member(obj, "kind", "snapshot");
	json_object_set_int_member(obj, "version", st->version);
	json_object_set_member(obj, "values", values_node(st->values));
	json_node_take_object(n, obj);
	return node_text(n);
}

/*
 * conf_patch_json() makes a patch record: set_kv holds "key=value" items,
 * unset holds keys; either may be NULL. Returns NULL when an item of set_kv
 * has no '='. g_free the result.
 */
char *conf_patch_json(const char *id, int64_t base, char **set_kv, char **unset)
{
	JsonObject *obj = json_object_new(), *set = json_object_new();
	JsonArray *un = json_array_new();
	JsonNode *n = json_node_new(JSON_NODE_OBJECT);

	json_object_set_string_member(obj, "kind", "patch");
	json_object_set_string_member(obj, "id", id);
	json_object_set_int_member(obj, "base", base);
	for (char **kv = set_kv; kv && *kv; kv++) {
		char *eq = strchr(*kv, '=');

		if (!eq || eq == *kv) {
			json_object_unref(obj);
			json_object_unref(set);
			json_array_unref(un);
			json_node_free(n);
			return NULL;
		}
		char *key = g_strndup(*kv, (gsize)(eq - *kv));

		json_object_set_string_member(set, key, eq + 1);
		g_free(key);
	}
	for (char **k = unset; k && *k; k++)
		json_array_add_string_element(un, *k);
	json_object_set_object_member(obj, "set", set);
	json_object_set_array_member(obj, "unset", un);
	json_node_take_object(n, obj);
	return node_text(n);
}

/* conf_record_is() tells whether rec is the patch with the given id. */
bool conf_record_is(JsonObject *rec, const char *id)
{
	return rec && !g_strcmp0(json_object_get_string_member_with_default(
					 rec, "id", ""),
				 id);
}
