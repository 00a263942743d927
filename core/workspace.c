#include <string.h>

#include "core/workspace.h"

enum { DIGEST_BYTES = 32 };

/* A key's digest has uniformly distributed bits. */
static guint digest_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, DIGEST_BYTES);
}

static void compute_digest(struct lstr key, guint8 out[DIGEST_BYTES])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DIGEST_BYTES;

	g_checksum_update(sum, (const guchar *)key.ptr, (gssize)key.len);
	g_checksum_get_digest(sum, out, &len);
	g_checksum_free(sum);
}

/*
 * workspaces_init() makes callers present a key. The list belongs to the
 * caller and must outlive w.
 */
void workspaces_init(struct workspaces *w, struct workspace *list, size_t n)
{
	*w = (struct workspaces){.required = true, .list = list, .n = n};
	w->by_key =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
}

/*
 * workspaces_add_key() adds a key. Returns false if another workspace has it
 * too; the key then identifies neither.
 */
bool workspaces_add_key(struct workspaces *w, struct workspace *owner,
			struct lstr key)
{
	guint8 *digest = g_malloc(DIGEST_BYTES);
	gpointer other;

	compute_digest(key, digest);
	if (g_hash_table_lookup_extended(w->by_key, digest, NULL, &other) &&
	    other != owner) {
		g_hash_table_replace(w->by_key, digest, NULL);
		return false;
	}
	g_hash_table_replace(w->by_key, digest, owner);
	owner->nkeys++;
	return true;
}

/* workspaces_find() returns the workspace that has the key, or NULL. */
const struct workspace *workspaces_find(const struct workspaces *w,
					struct lstr key)
{
	guint8 digest[DIGEST_BYTES];

	if (!key.len)
		return NULL;
	compute_digest(key, digest);
	return g_hash_table_lookup(w->by_key, digest);
}

/*
 * workspaces_key_is_shared() returns whether several workspaces have the key,
 * so that it identifies none.
 */
bool workspaces_key_is_shared(const struct workspaces *w, struct lstr key)
{
	guint8 digest[DIGEST_BYTES];
	gpointer owner;

	compute_digest(key, digest);
	return g_hash_table_lookup_extended(w->by_key, digest, NULL, &owner) &&
	       !owner;
}

/* workspaces_clear() frees the keys. */
void workspaces_clear(struct workspaces *w)
{
	if (w->by_key)
		g_hash_table_unref(w->by_key);
	w->by_key = NULL;
}

/* workspace_id() returns a number for a name, the same on all instances. */
uint32_t workspace_id(struct lstr name)
{
	uint32_t h = 2166136261U;

	for (size_t i = 0; i < name.len; i++)
		h = (h ^ (guint8)name.ptr[i]) * 16777619U;
	return h;
}
