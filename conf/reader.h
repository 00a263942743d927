/*
 * Reading the config stream from where a reader left off, in pages, across
 * the gaps that the log's retention makes. The callback sees every record
 * in order and is expected to fold it (conf_fold) and do its own logging.
 */
#ifndef MP_CONF_READER_H
#define MP_CONF_READER_H

#include "conf/fold.h"
#include "platform/client.h"

extern const char conf_stream[];

/* Called for each gap: offsets from..first-1 expired unread. */
typedef void (*conf_gap_cb)(void *ctx, int64_t from, int64_t first);

int conf_read_new(struct conf_state *st, struct plat_client *pc,
		  plat_record_cb on_record, conf_gap_cb on_gap, void *ctx);

#endif
