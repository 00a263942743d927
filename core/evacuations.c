#include <errno.h>
#include <string.h>

#include "core/evacuations.h"
#include "misc/text.h"

/* Returns the index of a data centre, or where it would be inserted. */
static unsigned find(const struct evacuations *e, const char *dc, bool *found)
{
	unsigned i = 0;

	while (i < e->n && strcmp(e->list[i].dc, dc) < 0)
		i++;
	*found = i < e->n && !strcmp(e->list[i].dc, dc);
	return i;
}

/* Copies a data centre's name. Returns false if it is invalid. */
static bool copy_name(char *out, struct lstr dc)
{
	if (dc.len >= BACKEND_NAME_MAX || !text_is_printable(dc))
		return false;
	memcpy(out, dc.ptr, dc.len);
	out[dc.len] = '\0';
	return true;
}

/* evacuations_contains() returns whether a data centre is evacuated. */
bool evacuations_contains(const struct evacuations *e, const char *dc)
{
	bool found;

	find(e, dc, &found);
	return found;
}

/*
 * evacuations_add() adds a data centre, confirmed in an era of the store.
 * Returns 1 if it is new, 0 if it was in the set, or -EINVAL or -ENOSPC.
 */
int evacuations_add(struct evacuations *e, struct lstr dc, uint64_t era)
{
	struct evacuation added = {.era = era};
	bool found;
	unsigned i;

	if (!copy_name(added.dc, dc))
		return -EINVAL;
	i = find(e, added.dc, &found);
	if (found) {
		e->list[i].era = era;
		return 0;
	}
	if (e->n == EVACUATIONS_MAX)
		return -ENOSPC;
	memmove(&e->list[i + 1], &e->list[i], (e->n - i) * sizeof(e->list[0]));
	e->list[i] = added;
	e->n++;
	return 1;
}

/* evacuations_remove() returns whether the data centre was in the set. */
bool evacuations_remove(struct evacuations *e, struct lstr dc)
{
	char name[BACKEND_NAME_MAX];
	bool found = false;
	unsigned i = 0;

	if (copy_name(name, dc))
		i = find(e, name, &found);
	if (!found)
		return false;
	e->n--;
	memmove(&e->list[i], &e->list[i + 1], (e->n - i) * sizeof(e->list[0]));
	return true;
}

/* evacuations_equal() compares the data centres. */
bool evacuations_equal(const struct evacuations *a, const struct evacuations *b)
{
	if (a->n != b->n)
		return false;
	for (unsigned i = 0; i < a->n; i++) {
		if (strcmp(a->list[i].dc, b->list[i].dc))
			return false;
	}
	return true;
}

/* evacuations_hash() returns 0 for the empty set. */
uint32_t evacuations_hash(const struct evacuations *e)
{
	uint32_t h = 0;

	for (unsigned i = 0; i < e->n; i++)
		h = h * 33 + g_str_hash(e->list[i].dc);
	return h;
}
