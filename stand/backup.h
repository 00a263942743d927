/*
 * Backup of the simulated store. A restore raises the era by one. Parameters
 * of POST /stand/faults?NAME=VALUE:
 *   copy=1         back up all topics
 *   restore=HOW    restore the backup; pending reads are handled as HOW:
 *                  reset (close) | silent (no response) | answer
 *   era_skip=N     the next restore raises the era by N more
 *   era_named=HOW  the Store-Era header is HOW: ok | none | odd | huge
 */
#ifndef MP_STAND_BACKUP_H
#define MP_STAND_BACKUP_H

#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"
#include "stand/query.h"

/* A copy of all topics and the era of the store. */
struct backup {
	GHashTable *copy; /* "topic/part" -> struct log_part * */
	uint64_t era;
	unsigned era_skip;  /* extra eras of the next restore */
	char era_header[8]; /* form of the Store-Era header */
};

void backup_init(struct backup *b);
void backup_save(struct backup *b, GHashTable *topics);
GHashTable *backup_restore(struct backup *b);
void backup_set(struct backup *b, const struct query *q);
void backup_write_era(const struct backup *b, uint64_t era,
		      struct buf *headers);

#endif
