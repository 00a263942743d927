/* Parser of request targets: path and query parameters. */
#ifndef MP_STAND_QUERY_H
#define MP_STAND_QUERY_H

#include <stdint.h>

#include <glib.h>

#include "misc/lstr.h"

/* The parameters of a query string. */
struct query {
	GHashTable *params; /* name -> GString *, decoded */
};

char *query_split(struct lstr target, struct query *q);
const char *query_text(const struct query *q, const char *name);
struct lstr query_bytes(const struct query *q, const char *name);
int64_t query_int(const struct query *q, const char *name, int64_t fallback);
void query_free(struct query *q);

#endif
