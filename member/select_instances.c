#include <string.h>

#include "member/select_instances.h"

enum {
	/*
	 * A data centre with this many instances needs no others listed for its
	 * callers. Callers use a response for some seconds, and one of eight
	 * instances survives the loss of 60% of all with a probability of 98%.
	 */
	ENOUGH_LOCAL_INSTANCES = 8,
};

/*
 * Moves `max` randomly chosen ones of the n entries to the front (a partial
 * Fisher-Yates shuffle).
 */
static void shuffle_front(const struct peer_endpoint **list, size_t n,
			  size_t max, GRand *rand)
{
	for (size_t i = 0; i < max && i + 1 < n; i++) {
		size_t k = (size_t)g_rand_int_range(rand, (gint32)i, (gint32)n);
		const struct peer_endpoint *swap = list[i];

		list[i] = list[k];
		list[k] = swap;
	}
}

/*
 * Selects at most `max` of the n instances in `all` for a caller in data centre
 * `dc` (empty if unknown). Writes them to `out` and returns their number.
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
		shuffle_front(list, count, max, rand);
	count = count < max ? count : max;
	for (size_t i = 0; i < count; i++)
		out[i] = list[i];
	g_free(list);
	return count;
}
