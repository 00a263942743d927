#include <string.h>

#include "core/server_state.h"

/*
 * Jitter, as a share of the backoff: instances that a server refused at the
 * same time must not resume at the same time.
 */
static const double RESUME_JITTER = 0.25;

/* Cap for the conversion to milliseconds; longer than any server runs. */
static const int64_t BACKOFF_MAX_MS = INT64_MAX / 4;

/* Hash function of by_start. */
static guint hash_start(gconstpointer key)
{
	const struct server_state *s = key;
	guint64 start_ms = s->server_start_ms;

	return g_str_hash(s->id) ^ g_int64_hash(&start_ms);
}

/* Equality function of by_start. */
static gboolean same_start(gconstpointer a, gconstpointer b)
{
	const struct server_state *x = a, *y = b;

	return x->server_start_ms == y->server_start_ms &&
	       !strcmp(x->id, y->id);
}

/* Destructor of by_start's elements. */
static void free_state(gpointer data)
{
	struct server_state *s = data;

	g_free(s->limit);
	g_free(s->slow_start);
	g_free(s);
}

/* server_states_init() initialises an empty table. */
void server_states_init(struct server_states *all)
{
	all->by_start =
		g_hash_table_new_full(hash_start, same_start, NULL, free_state);
	g_queue_init(&all->unlisted);
}

/* server_state_find() returns the state of a server's start, or NULL. */
struct server_state *server_state_find(struct server_states *all,
				       const char *id, uint64_t server_start_ms)
{
	struct server_state key = {.server_start_ms = server_start_ms};

	g_strlcpy(key.id, id, sizeof(key.id));
	return g_hash_table_lookup(all->by_start, &key);
}

/*
 * server_state_get() returns a reference to the state of a server's start,
 * created if needed. The caller drops it with server_state_release().
 */
struct server_state *server_state_get(struct server_states *all, const char *id,
				      uint64_t server_start_ms)
{
	struct server_state *s = server_state_find(all, id, server_start_ms);

	if (!s) {
		s = g_new0(struct server_state, 1);
		g_strlcpy(s->id, id, sizeof(s->id));
		s->server_start_ms = server_start_ms;
		s->owner = all;
		g_hash_table_add(all->by_start, s);
	}
	if (s->unlisted)
		g_queue_remove(&all->unlisted, s);
	s->unlisted = false;
	s->refs++;
	return s;
}

/* Returns whether the state would matter if the server were listed again. */
static bool is_in_force(const struct server_state *s)
{
	if (s->superseded)
		return false;
	return s->draining || s->backoff_until_ms ||
	       (s->limit && s->limit->advertised.limited) ||
	       (s->slow_start && s->slow_start->cold_until_ms);
}

/*
 * server_state_release() drops a reference. State that is still in effect is
 * kept after the last one.
 */
void server_state_release(struct server_state *s)
{
	struct server_states *all = s->owner;

	if (--s->refs)
		return;
	if (!is_in_force(s)) {
		g_hash_table_remove(all->by_start, s);
		return;
	}
	s->unlisted = true;
	g_queue_push_head(&all->unlisted, s);
	if (all->unlisted.length > SERVER_STATE_UNLISTED_MAX)
		g_hash_table_remove(all->by_start,
				    g_queue_pop_tail(&all->unlisted));
}

/* Converts a duration to an integer, capped at BACKOFF_MAX_MS. */
static int64_t to_ms(double ms)
{
	return ms < (double)BACKOFF_MAX_MS ? (int64_t)ms : BACKOFF_MAX_MS;
}

/*
 * server_state_back_off() records that the server requested a backoff of
 * backoff_s seconds from now on; the latest end counts. `random`, in 0..1,
 * scales the jitter. Returns whether the end has changed.
 */
bool server_state_back_off(struct server_state *s, double backoff_s,
			   double random, int64_t now_ms)
{
	double ms = backoff_s * 1000;
	int64_t until = now_ms + to_ms(ms);
	int64_t resume = now_ms + 1 + to_ms(ms * (1 + RESUME_JITTER * random));

	if (backoff_s <= 0 || until <= s->backoff_until_ms)
		return false;
	s->backoff_until_ms = until;
	s->resume_ms = MAX(s->resume_ms, resume);
	s->resuming = true;
	return true;
}

/*
 * server_state_answered() records that a request sent at sent_ms was answered
 * without another backoff. Only one sent after the backoff ends the resuming
 * state.
 */
void server_state_answered(struct server_state *s, int64_t sent_ms)
{
	if (sent_ms >= s->resume_ms)
		s->resuming = false;
}
