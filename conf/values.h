/*
 * The product's own configuration: numbered versions of key = value pairs in
 * the platform's store, changed by small patches against the version last
 * seen. One record holds a whole version; a patch is written under the
 * condition that nothing was written since, so of two patches on one version
 * exactly one comes to be, and nothing is ever merged unseen.
 */
#ifndef MP_CONF_VALUES_H
#define MP_CONF_VALUES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"

/* Where versions stand in the store. */
#define CONF_TOPIC "keyed.config"
#define CONF_KEY   "values"

enum { CONF_PATCH_ID_MAX = 64 };

struct conf_values {
	uint64_t version;		  /* 0: nothing was patched yet */
	char patch_id[CONF_PATCH_ID_MAX]; /* of the patch that made it */
	GHashTable *values;		  /* char * -> char * */
};

void conf_init(struct conf_values *v);
void conf_clear(struct conf_values *v);
const char *conf_get(const struct conf_values *v, const char *key);
int conf_apply(struct conf_values *v, uint64_t base, const char *patch_id,
	       char **set_kv, char **unset);
void conf_write(const struct conf_values *v, struct buf *out);
int conf_read(struct lstr record, struct conf_values *v);

#endif
