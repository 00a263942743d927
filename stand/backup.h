/*
 * The store stand-in's copies: it keeps one, and comes back from it with its era one
 * higher. POST /stand/faults?NAME=VALUE:
 *   copy=1          keeps a copy of all topics as they are now
 *   restore=HOW     comes back from it; reads that wait are HOW: reset | silent | answer
 *   era_skip=N      the next restore raises the era by N more
 *   era_named=HOW   the header that names the era is HOW: ok | none | odd | huge
 */
#ifndef MP_STAND_BACKUP_H
#define MP_STAND_BACKUP_H

#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"
#include "stand/query.h"

struct backup {
	GHashTable *copy; /* "topic/part" -> struct log_part * */
	uint64_t era;
	unsigned era_skip;
	char era_header[8];
};

void backup_init(struct backup *d);
void backup_save(struct backup *d, GHashTable *topics);
GHashTable *backup_restore(struct backup *d);
void backup_set(struct backup *d, const struct query *q);
void backup_write_era(const struct backup *d, uint64_t era,
		      struct buf *headers);

#endif
