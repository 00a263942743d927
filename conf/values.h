/*
 * Configuration of a local deployment: numbered versions of key = value pairs
 * in the platform's store. One record holds a whole version. Operators patch
 * the version they last read, with an append that fails if anything was written
 * since: of two concurrent patches exactly one succeeds, and patches are never
 * merged silently.
 */
#ifndef MP_CONF_VALUES_H
#define MP_CONF_VALUES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"

/* Store topic and key of the versions. */
#define CONF_TOPIC "keyed.config"
#define CONF_KEY   "values"

enum { CONF_PATCH_ID_MAX = 64 };

struct conf_values {
	uint64_t version;		  /* 0: not patched yet */
	char patch_id[CONF_PATCH_ID_MAX]; /* of the latest patch */
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
