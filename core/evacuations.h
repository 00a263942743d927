/*
 * The data centres that operators have evacuated: their backend servers get no
 * requests until the evacuation is taken back.
 */
#ifndef MP_CORE_EVACUATIONS_H
#define MP_CORE_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/server_state.h"
#include "misc/lstr.h"

/* More would not be listed in a message between instances. */
enum { EVACUATIONS_MAX = 64 };

struct evacuation {
	char dc[BACKEND_NAME_MAX];
	uint64_t era; /* of the store in which it was last confirmed */
};

/* A set, ordered by name. Initialize with zeros. */
struct evacuations {
	struct evacuation list[EVACUATIONS_MAX];
	unsigned n;
};

bool evacuations_contains(const struct evacuations *e, const char *dc);
int evacuations_add(struct evacuations *e, struct lstr dc, uint64_t era);
bool evacuations_remove(struct evacuations *e, struct lstr dc);
bool evacuations_equal(const struct evacuations *a,
		       const struct evacuations *b);
uint32_t evacuations_hash(const struct evacuations *e);

#endif
