#include <string.h>

#include "member/select_instances.h"

enum {
	/*
	 * Instances of a data centre from which on its callers need no
	 * others: callers keep an answer for some seconds, and of eight one
	 * survives a loss of 60% of all with 98%.
	 */
	ENOUGH_LOCAL_INSTANCES = 8,
};

/* Draws `max` of n at random to the front. */
static void draw(const struct peer_endpoint **list, size_t n, size_t max,
		 GRand *rand)
{
	for (size_t i = 0; i < max && i + 1 < n; i++) {
		size_t k = (size_t)g_rand_int_range(rand, (gint32)i, (gint32)n);
		const struct peer_endpoint *swap = list[i];

		list[i] = list[k];
		list[k] = swap;
	}
}

/*
 * select_instances() chooses at most `max` of the n instances that can be named, for a
 * caller in data centre `dc` (empty: not known). Returns how many it wrote to
 * out.
 */
size_t select_instances(const struct peer_endpoint *all, size_t n,
			const char *dc, GRand *rand,
			const struct peer_endpoint **out, size_t max)
{
	const struct peer_endpoint **list =
		g_new(const struct peer_endpoint *, n);
	size_t own = 0, count;

	for (size_t i = 0; i < n; i++) {
		if (!strcmp(all[i].dc, dc))
			list[own++] = &all[i];
	}
	count = own;
	for (size_t i = 0; i < n && own < ENOUGH_LOCAL_INSTANCES; i++) {
		if (strcmp(all[i].dc, dc))
			list[count++] = &all[i];
	}
	if (count > max)
		draw(list, count, max, rand);
	count = count < max ? count : max;
	for (size_t i = 0; i < count; i++)
		out[i] = list[i];
	g_free(list);
	return count;
}
