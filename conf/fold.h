/*
 * The configuration fold. Operators publish patches on the platform's log;
 * every reader folds the same records in the same order with the same rule,
 * so every reader arrives at the same numbered versions (the log acts as
 * the sequencer). The rule: a patch is accepted exactly when its base is
 * the live version at its place in the log; the accepted patch makes the
 * next version. A patch against a stale version is rejected, never merged.
 *
 * Records (JSON objects):
 *   {"kind":"patch","id":S,"base":N,"set":{K:V,...},"unset":[K,...]}
 *   {"kind":"snapshot","version":N,"values":{K:V,...}}
 * Snapshots restate the whole configuration so that the log's retention
 * never takes the live version with it; a reader that starts past the log's
 * first record, or loses records to retention, waits for one.
 */
#ifndef MP_CONF_FOLD_H
#define MP_CONF_FOLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-glib/json-glib.h>

enum fold_result {
	FOLD_ACCEPTED,
	FOLD_REJECTED,	   /* patch against a stale (or future) version */
	FOLD_SNAPSHOT_NEW, /* adopted: the reader was not in sync */
	FOLD_SNAPSHOT_OLD, /* consistent with what was folded */
	FOLD_SKIPPED,	   /* patch seen while not in sync */
	FOLD_BAD,	   /* not a record of ours */
};

struct conf_state {
	bool synced;	     /* version and values are known */
	int64_t version;     /* 0: nothing accepted yet */
	GHashTable *values;  /* char * -> char * */
	int64_t next_offset; /* the next log offset to fold */
};

void conf_init(struct conf_state *st);
void conf_reset(struct conf_state *st);
void conf_free(struct conf_state *st);
enum fold_result conf_fold(struct conf_state *st, int64_t offset,
			   JsonObject *rec);
void conf_gap(struct conf_state *st, int64_t first_kept);
const char *conf_get(const struct conf_state *st, const char *key);
char *conf_snapshot_json(const struct conf_state *st);
char *conf_patch_json(const char *id, int64_t base, char **set_kv,
		      char **unset);
bool conf_record_is(JsonObject *rec, const char *id);

#endif
