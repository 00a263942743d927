#include <string.h>

#include "core/availability.h"
#include "core/path.h"
#include "misc/clock.h"
#include "options/settings.h"
#include "traffic/path_check.h"
#include "traffic/probe.h"
#include "traffic/upstream.h"

/* Interval of the checks, one server of each service. */
static const double CHECK_INTERVAL_S = 0.25;

/* Closes the idle tunnels that must not be used any more. */
static void drop_idle_tunnels(struct traffic *t)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.by_id);
	while (g_hash_table_iter_next(&it, NULL, &v))
		upstream_drop_unlisted(v);
}

/* Returns whether b is to be checked. */
static bool is_candidate(const struct backend *b, int64_t now_ms)
{
	return path_is_broken(b) &&
	       backend_is_available(b, SEND_COMMITTED, now_ms);
}

/* Returns a random server of the service to check, or NULL. */
static struct backend *pick_server(const struct service *s, GRand *rand,
				   int64_t now_ms)
{
	guint n = s->backends->len;
	guint first = n ? (guint)g_rand_int_range(rand, 0, (gint32)n) : 0;

	for (guint i = 0; i < n; i++) {
		struct backend *b =
			g_ptr_array_index(s->backends, (first + i) % n);

		if (is_candidate(b, now_ms))
			return b;
	}
	return NULL;
}

/* Probes a server of each service directly; stops once all are reached. */
static void on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct traffic *t = timer->data;
	int64_t now_ms = clock_ms();
	GHashTableIter it;
	bool any = false;
	gpointer v;

	g_hash_table_iter_init(&it, t->backends.services);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct backend *b = pick_server(v, t->rand, now_ms);

		any = any || b;
		if (b)
			probe_check_path(t, b);
	}
	drop_idle_tunnels(t);
	if (!any)
		ev_timer_stop(loop, timer);
}

void path_check_init(struct traffic *t)
{
	struct tunnel_peers *p = &t->tunnel_peers;
	char host[64];
	int peers = 0, tunnels = 0;

	if (t->settings->tunnels)
		(void)(addr_split(t->settings->peers, host, sizeof(host),
				  &peers) ||
		       addr_split(t->settings->tunnels, host, sizeof(host),
				  &tunnels));
	tunnel_peers_init(p, t->settings->name, t->settings->dc,
			  tunnels - peers);
	ev_timer_init(&t->path_timer, on_timer, CHECK_INTERVAL_S,
		      CHECK_INTERVAL_S);
	t->path_timer.data = t;
}

/* Starts the checks; called when a service is lost. */
void path_check_begin(struct traffic *t)
{
	if (!ev_is_active(&t->path_timer))
		ev_timer_again(t->loop, &t->path_timer);
}

/* Handles a change of the known instances. */
void path_check_peers_changed(struct traffic *t)
{
	tunnel_peers_update(&t->tunnel_peers, t->peers.named);
	drop_idle_tunnels(t);
}
