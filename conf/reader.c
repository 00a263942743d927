#include <errno.h>

#include "conf/reader.h"

enum { CONF_READ_PAGE = 500 };

const char conf_stream[] = "config";

/*
 * conf_read_new() reads every record after st->next_offset and hands each
 * to on_record, which must advance st (conf_fold does). When the log no
 * longer holds next_offset, the state is reset to wait for a snapshot and
 * on_gap is told. Returns 0, or the platform's error; what was read before
 * an error stays folded.
 */
int conf_read_new(struct conf_state *st, struct plat_client *pc,
		  plat_record_cb on_record, conf_gap_cb on_gap, void *ctx)
{
	int64_t first = 0, next = 0;

	for (;;) {
		int64_t from = st->next_offset;
		int ret = plat_read(pc, conf_stream, from, CONF_READ_PAGE,
				    on_record, ctx, &first, &next);

		if (ret == -ERANGE) {
			if (on_gap)
				on_gap(ctx, from, first);
			conf_gap(st, first);
			continue;
		}
		if (ret)
			return ret;
		if (st->next_offset >= next || st->next_offset == from)
			return 0;
	}
}
