/*
 * The store stand-in's copies: it keeps one, and comes back from it with its era one
 * higher. POST /stand/faults?NAME=VALUE:
 *   copy=1          keeps a copy of all topics as they are now
 *   restore=HOW     comes back from it; reads that wait are HOW: reset | silent | answer
 *   era_skip=N      the next restore raises the era by N more
 *   era_named=HOW   the header that names the era is HOW: ok | none | odd | huge
 */
#ifndef MP_STAND_DRILL_H
#define MP_STAND_DRILL_H

#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"
#include "stand/query.h"

struct drill {
	GHashTable *copy; /* "topic/part" -> struct log_part * */
	uint64_t era;
	unsigned skip;
	char named[8];
};

void drill_init(struct drill *d);
void drill_copy(struct drill *d, GHashTable *topics);
GHashTable *drill_restore(struct drill *d);
void drill_set(struct drill *d, const struct query *q);
void drill_write_era(const struct drill *d, uint64_t era, struct buf *headers);

#endif
