#include <string.h>

#include "core/quota_pick.h"
#include "core/rendezvous.h"

/* Returns the holder with this id, or NULL. */
struct quota_holder *quota_holders_find(struct quota_holders *h, uint32_t id)
{
	for (unsigned i = 0; i < h->n; i++) {
		if (h->list[i].id == id)
			return &h->list[i];
	}
	return NULL;
}

/* Inserts an instance into the first k by weight. */
static void insert(struct quota_holder *list, uint64_t *weights, unsigned *n,
		   unsigned k, const struct limit_instance *it, uint64_t weight)
{
	unsigned at = *n;

	if (*n == k && weight <= weights[k - 1])
		return;
	if (*n == k)
		at--;
	else
		(*n)++;
	for (; at > 0 && weights[at - 1] < weight; at--) {
		list[at] = list[at - 1];
		weights[at] = weights[at - 1];
	}
	list[at] =
		(struct quota_holder){.id = it->id, .reachable = it->reachable};
	weights[at] = weight;
}

/*
 * Sets the holders to the first k instances in the workspace's order; what was
 * heard of those that were holders before is kept.
 */
void quota_holders_set(struct quota_holders *h, uint32_t workspace, unsigned k,
		       const struct limit_instances *instances)
{
	struct quota_holders next = {.n = 0};
	uint64_t weights[QUOTA_HOLDERS_MAX];

	next.refused_ms = h->refused_ms;
	next.self = instances->n ? instances->list[0].id : 0;
	for (unsigned i = 0; i < instances->n && k; i++)
		insert(next.list, weights, &next.n, k, &instances->list[i],
		       rendezvous_weight(instances->list[i].id, workspace));
	for (unsigned i = 0; i < next.n; i++) {
		const struct quota_holder *before =
			quota_holders_find(h, next.list[i].id);

		if (!before)
			continue;
		next.list[i].empty_until_ms = before->empty_until_ms;
		next.list[i].silent_until_ms = before->silent_until_ms;
	}
	*h = next;
}

/* Notes that a request was refused by all holders that it asked. */
void quota_holders_refused(struct quota_holders *h, int64_t now_ms)
{
	h->refused_ms = now_ms;
}

/* Returns how many holders a request may ask. */
static unsigned asks_max(const struct quota_holders *h, int64_t now_ms)
{
	bool pressed =
		h->refused_ms && now_ms - h->refused_ms < QUOTA_PRESSED_MS;

	return pressed ? QUOTA_ASKS_PRESSED : QUOTA_ASKS_MAX;
}

static bool was_asked(const struct quota_asked *asked, uint32_t id)
{
	for (unsigned i = 0; i < asked->n; i++) {
		if (asked->ids[i] == id)
			return true;
	}
	return false;
}

/*
 * Returns the holder to ask next, or NULL. The instance itself goes first, then
 * a random one that answers. Only when there is none, the silent one whose
 * silence is the oldest.
 */
struct quota_holder *quota_holders_pick(struct quota_holders *h,
					const struct quota_asked *asked,
					int64_t now_ms, uint32_t random)
{
	struct quota_holder *good[QUOTA_HOLDERS_MAX], *silent = NULL;
	unsigned n = 0;

	if (asked->n >= asks_max(h, now_ms))
		return NULL;
	for (unsigned i = 0; i < h->n; i++) {
		struct quota_holder *it = &h->list[i];

		if (now_ms < it->empty_until_ms || was_asked(asked, it->id))
			continue;
		if (it->id == h->self)
			return it;
		if (it->reachable && now_ms >= it->silent_until_ms)
			good[n++] = it;
		else if (!silent ||
			 it->silent_until_ms < silent->silent_until_ms)
			silent = it;
	}
	return n ? good[random % n] : silent;
}

/*
 * Returns the ms until one of the holders that have refused has tokens again;
 * -1: none has.
 */
int64_t quota_holders_empty_ms(const struct quota_holders *h, int64_t now_ms)
{
	int64_t soonest = -1;

	for (unsigned i = 0; i < h->n; i++) {
		int64_t ms = h->list[i].empty_until_ms - now_ms;

		if (ms > 0 && (soonest < 0 || ms < soonest))
			soonest = ms;
	}
	return soonest;
}
