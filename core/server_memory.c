#include <string.h>

#include "core/server_memory.h"

/*
 * Instances that a server turned away together don't return together: each stays
 * away for up to this much of the rest longer.
 */
static const double RETURN_SPREAD = 0.25;

/* Longer than any lifetime; larger numbers of milliseconds count as this. */
static const int64_t REST_MAX_MS = INT64_MAX / 4;

static guint hash_start(gconstpointer key)
{
	const struct server_memory *m = key;
	guint64 born = m->born_ms;

	return g_str_hash(m->id) ^ g_int64_hash(&born);
}

static gboolean same_start(gconstpointer a, gconstpointer b)
{
	const struct server_memory *x = a, *y = b;

	return x->born_ms == y->born_ms && !strcmp(x->id, y->id);
}

static void free_memory(gpointer data)
{
	struct server_memory *m = data;

	g_free(m->limit);
	g_free(m);
}

/* server_memories_init() makes an empty table. */
void server_memories_init(struct server_memories *all)
{
	all->all = g_hash_table_new_full(hash_start, same_start, NULL,
					 free_memory);
	g_queue_init(&all->unlisted);
}

/* server_memory_find() finds what is known of a lifetime; NULL: nothing. */
struct server_memory *server_memory_find(struct server_memories *all,
					 const char *id, uint64_t born_ms)
{
	struct server_memory key = {.born_ms = born_ms};

	g_strlcpy(key.id, id, sizeof(key.id));
	return g_hash_table_lookup(all->all, &key);
}

/*
 * server_memory_get() holds what is known of a lifetime for the caller, which gives
 * it back with server_memory_release().
 */
struct server_memory *server_memory_get(struct server_memories *all,
					const char *id, uint64_t born_ms)
{
	struct server_memory *m = server_memory_find(all, id, born_ms);

	if (!m) {
		m = g_new0(struct server_memory, 1);
		g_strlcpy(m->id, id, sizeof(m->id));
		m->born_ms = born_ms;
		m->owner = all;
		g_hash_table_add(all->all, m);
	}
	if (m->unlisted)
		g_queue_remove(&all->unlisted, m);
	m->unlisted = false;
	m->refs++;
	return m;
}

/* Whether it says anything that holds if the lifetime is listed again. */
static bool is_worth_keeping(const struct server_memory *m)
{
	if (m->over)
		return false;
	return m->leaving || m->rest_until_ms ||
	       (m->limit && m->limit->said.named);
}

/* server_memory_release() gives back what server_memory_get() held. */
void server_memory_release(struct server_memory *m)
{
	struct server_memories *all = m->owner;

	if (--m->refs)
		return;
	if (!is_worth_keeping(m)) {
		g_hash_table_remove(all->all, m);
		return;
	}
	m->unlisted = true;
	g_queue_push_head(&all->unlisted, m);
	if (all->unlisted.length > SERVER_MEMORY_UNLISTED_MAX)
		g_hash_table_remove(all->all, g_queue_pop_tail(&all->unlisted));
}

/*
 * server_memory_rest() takes in that the server wants nothing for so many seconds
 * from now on. The latest end counts; `random` in 0..1 spreads returns. Returns
 * whether the rest has become longer.
 */
bool server_memory_rest(struct server_memory *m, double rest_s, double random,
			int64_t now_ms)
{
	double ms = rest_s * 1000;
	double back = ms * (1 + RETURN_SPREAD * random);
	int64_t until =
		now_ms + (ms < (double)REST_MAX_MS ? (int64_t)ms : REST_MAX_MS);

	if (rest_s <= 0 || until <= m->rest_until_ms)
		return false;
	m->rest_until_ms = until;
	m->back_ms = MAX(m->back_ms,
			 now_ms + 1 +
				 (back < (double)REST_MAX_MS ? (int64_t)back
							     : REST_MAX_MS));
	m->returning = true;
	return true;
}

/*
 * server_memory_answered() takes in that the server has answered, without asking for
 * rest, a request that was sent at sent_ms.
 */
void server_memory_answered(struct server_memory *m, int64_t sent_ms)
{
	if (sent_ms >= m->back_ms)
		m->returning = false;
}
