/*
 * Data of the simulated store: partitions of numbered records, the newest
 * record of each key, conditional appends and producers. No network I/O.
 */
#ifndef MP_STAND_LOG_H
#define MP_STAND_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "misc/buf.h"

enum { LOG_DEDUP_MAX = 5 }; /* deduplicated appends per producer */

/* A producer and the outcomes of its last appends, a ring of nseqs % size. */
struct log_producer {
	uint64_t epoch;
	uint64_t next_seq;
	uint64_t seqs[LOG_DEDUP_MAX], offsets[LOG_DEDUP_MAX],
		ends[LOG_DEDUP_MAX];
	unsigned nseqs;
};

/* A partition of a topic. */
struct log_part {
	bool keyed;
	uint64_t first;	    /* offset of the first record that isn't deleted */
	GPtrArray *records; /* GBytes, from `first` on */
	GHashTable *newest; /* GBytes, a key -> struct log_newest * */
	GHashTable *producers; /* name -> struct log_producer * */
};

/* The newest record of a key. */
struct log_newest {
	uint64_t offset;
	GBytes *value;
};

/* Conditions of an append; -1 or NULL: no condition. */
struct log_condition {
	int64_t expected_end;
	const char *producer;
	int64_t epoch, seq;
};

/* Result of an operation on a partition. */
enum log_outcome {
	LOG_OK,
	LOG_MALFORMED,	  /* malformed records */
	LOG_CONFLICT,	  /* the partition doesn't end at expected_end */
	LOG_STALE_EPOCH,  /* the producer has a newer epoch */
	LOG_BAD_SEQ,	  /* not the next sequence number */
	LOG_OUT_OF_RANGE, /* the offset is deleted or beyond the end */
};

/* Offset of the first record of an append, and the end after the append. */
struct log_position {
	uint64_t offset, end;
};

struct log_part *log_part_new(bool keyed);
struct log_part *log_part_copy(const struct log_part *p);
uint64_t log_end(const struct log_part *p);
const struct log_newest *log_newest(const struct log_part *p, struct lstr key);
enum log_outcome log_append(struct log_part *p, struct lstr body,
			    const struct log_condition *c,
			    struct log_position *pos);
enum log_outcome log_read(const struct log_part *p, uint64_t from,
			  size_t max_bytes, struct buf *out);
unsigned log_status(enum log_outcome rc);
void log_trim(struct log_part *p, uint64_t before);

#endif
