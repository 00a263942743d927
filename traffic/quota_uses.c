/* The quotas that this instance knows; see traffic/quotas.h. */
#include "misc/clock.h"
#include "traffic/limits.h"
#include "traffic/quota_holder.h"
#include "traffic/traffic.h"

/*
 * How long after the first instances are known this process may know only some
 * of them, and take parts of quotas that others hold.
 */
enum { SETTLE_MS = 500 };

/* Returns the quota of a workspace, or NULL if there is none. */
struct quota_use *quota_use_find(const struct traffic *t, uint32_t workspace)
{
	return g_hash_table_lookup(t->quotas.uses, GUINT_TO_POINTER(workspace));
}

/* Returns what this instance knows of a workspace's quota, or NULL. */
const struct quota_use *quotas_use(const struct traffic *t, uint32_t workspace)
{
	return quota_use_find(t, workspace);
}

/* Returns the requests that this instance granted in the current window. */
unsigned quotas_used_here(struct traffic *t, uint32_t workspace)
{
	struct quota_use *u = quota_use_find(t, workspace);

	return u ? quota_bucket_used(&u->bucket, clock_ms()) : 0;
}

/* Returns the state of a quota, created if there is none yet. */
static struct quota_use *add_use(struct traffic *t, const struct workspace *w)
{
	struct quota_use *u = quota_use_find(t, w->id);
	int64_t window_ms = (int64_t)(t->bounds.quota_window_s * 1000);

	if (u)
		return u;
	u = g_new0(struct quota_use, 1);
	u->id = w->id;
	u->name = g_strndup(w->name.ptr, w->name.len);
	/* This process has been there for all that was granted of it. */
	u->starts_full = t->quotas.configured_ms &&
			 clock_ms() - t->quotas.configured_ms > window_ms;
	g_hash_table_insert(t->quotas.uses, GUINT_TO_POINTER(u->id), u);
	return u;
}

/*
 * Forgets quotas that have not been configured for two windows. Until then a
 * workspace that comes back finds what it has used.
 */
static void forget_old(struct traffic *t, int64_t now_ms)
{
	int64_t keep_ms = (int64_t)(2 * t->bounds.quota_window_s * 1000);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->quotas.uses);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct quota_use *u = v;

		if (u->gone_ms && now_ms - u->gone_ms > keep_ms)
			g_hash_table_iter_remove(&it);
	}
}

/* Marks all quotas as not configured. */
static void mark_gone(struct traffic *t, int64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->quotas.uses);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct quota_use *u = v;

		if (!u->gone_ms)
			u->gone_ms = now_ms;
	}
}

/* Applies the quotas of a new configuration. */
void quotas_configure(struct traffic *t)
{
	const struct workspaces *all = &t->config->workspaces;
	int64_t now_ms = clock_ms();

	mark_gone(t, now_ms);
	for (size_t i = 0; i < all->n; i++) {
		struct quota_use *u = add_use(t, &all->list[i]);

		u->gone_ms = 0;
		u->terms.rate_s = all->list[i].rate_s;
		u->terms.burst = all->list[i].burst;
		quota_holder_update(t, u);
	}
	forget_old(t, now_ms);
	if (!t->quotas.configured_ms)
		t->quotas.configured_ms = now_ms;
}

/* Determines holders anew after a change of the instances or settings. */
void quotas_update(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	if (!t->quotas.open_ms && limits_participants(t).n)
		t->quotas.open_ms = clock_ms() + SETTLE_MS;
	g_hash_table_iter_init(&it, t->quotas.uses);
	while (g_hash_table_iter_next(&it, NULL, &v))
		quota_holder_update(t, v);
}

static void free_use(gpointer use)
{
	struct quota_use *u = use;

	g_free(u->name);
	g_free(u);
}

/* Initializes; there are no quotas before the first configuration. */
void quotas_init(struct traffic *t)
{
	t->quotas.uses = g_hash_table_new_full(NULL, NULL, NULL, free_use);
	t->quotas.asking = g_hash_table_new(NULL, NULL);
	/* Not those of this instance's last process. */
	t->quotas.serial = g_rand_int(t->rand);
}
