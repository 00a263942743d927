/* A request target split into its path and the items of its query. */
#ifndef MP_STAND_QUERY_H
#define MP_STAND_QUERY_H

#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

struct query {
	GHashTable *items;
};

char *query_split(struct lstr target, struct query *q);
const char *query_text(const struct query *q, const char *name);
int64_t query_int(const struct query *q, const char *name, int64_t fallback);
void query_free(struct query *q);

#endif
