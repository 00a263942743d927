#include <string.h>

#include "core/policy.h"

/*
 * Returns the number of requests that a server is known to have: as it last
 * reported, or as the instances together have in flight, whichever is higher.
 */
static unsigned known_requests(const struct backend *b)
{
	unsigned reported = b->load.running + b->load.waiting;
	unsigned in_flight = b->in_flight + (unsigned)b->peers_in_flight;

	return in_flight > reported ? in_flight : reported;
}

/* Picks a server at random. */
static unsigned pick_random(void *priv, struct backend *const *servers,
			    unsigned n, GRand *rand)
{
	return (unsigned)g_rand_int_range(rand, 0, (gint32)n);
}

/* Picks the least recently picked server. */
static unsigned pick_round_robin(void *priv, struct backend *const *servers,
				 unsigned n, GRand *rand)
{
	unsigned best = 0;

	for (unsigned i = 1; i < n; i++) {
		if (servers[i]->last_picked < servers[best]->last_picked)
			best = i;
	}
	return best;
}

/* Picks the server with the fewest requests of this instance. */
static unsigned pick_least(void *priv, struct backend *const *servers,
			   unsigned n, GRand *rand)
{
	unsigned best = 0;

	for (unsigned i = 1; i < n; i++) {
		if (servers[i]->in_flight < servers[best]->in_flight)
			best = i;
	}
	return best;
}

/*
 * Picks the less loaded of two random servers (power of two choices), so that
 * instances with an outdated report don't all send to the same server.
 */
static unsigned pick_two_choices(void *priv, struct backend *const *servers,
				 unsigned n, GRand *rand)
{
	unsigned a = pick_random(priv, servers, n, rand);
	unsigned b = pick_random(priv, servers, n, rand);

	return known_requests(servers[a]) <= known_requests(servers[b]) ? a : b;
}

/* Picks the least loaded server, at random among equals. */
static unsigned pick_least_known(void *priv, struct backend *const *servers,
				 unsigned n, GRand *rand)
{
	unsigned best = 0, ties = 0;

	for (unsigned i = 0; i < n; i++) {
		unsigned load = known_requests(servers[i]);
		unsigned least = known_requests(servers[best]);

		if (i == 0 || load < least) {
			best = i;
			ties = 1;
		} else if (load == least &&
			   g_rand_int_range(rand, 0, (gint32)++ties) == 0) {
			best = i;
		}
	}
	return best;
}

const struct place_policy place_policies[] = {
	{"load", true, pick_least_known, NULL},
	{"p2c", false, pick_two_choices, NULL},
	{"least", false, pick_least, NULL},
	{"rr", false, pick_round_robin, NULL},
	{"random", false, pick_random, NULL},
	{NULL, false, NULL, NULL},
};

/* place_policy_find() returns the policy of that name, or NULL. */
const struct place_policy *place_policy_find(const char *name)
{
	for (const struct place_policy *p = place_policies; p->name; p++) {
		if (!strcmp(p->name, name))
			return p;
	}
	return NULL;
}
