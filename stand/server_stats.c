#include <inttypes.h>

#include "stand/server.h"

/*
 * server_write_stats() writes the counters as "NAME VALUE" lines and the number
 * of runs of each key as "ran KEY COUNT" lines.
 */
void server_write_stats(struct buf *out, const struct server *s)
{
	GHashTableIter it;
	gpointer k, v;

	buf_printf(out,
		   "calls %" PRIu64 "\nshed %" PRIu64 "\nprobes %" PRIu64
		   "\nlate %" PRIu64 "\n",
		   s->work.calls, s->work.refused, s->work.probes,
		   s->work.late);
	buf_printf(out,
		   "limited_got %" PRIu64 "\nlimited_worst %u\n"
		   "limited_allowed %g\n",
		   s->limit_check.requests, s->limit_check.worst,
		   s->limit_check.allowed);
	buf_printf(out,
		   "cold_got %" PRIu64 "\ncold_worst %u\ncold_allowed %g\n",
		   s->cold_check.requests, s->cold_check.worst,
		   s->cold_check.allowed);
	buf_printf(out,
		   "backoffs %" PRIu64 "\nbackoff_got %" PRIu64
		   "\nbackoff_questions %" PRIu64 "\nbackoff_worst %u\n"
		   "draining_told %" PRIu64 "\ndraining_got %" PRIu64 "\n",
		   s->audit.backoffs, s->audit.backoff_got,
		   s->audit.backoff_questions, s->audit.backoff_worst,
		   s->audit.draining_told, s->audit.draining_got);
	g_hash_table_iter_init(&it, s->work.ran);
	while (g_hash_table_iter_next(&it, &k, &v))
		buf_printf(out, "ran %s %d\n", (char *)k, GPOINTER_TO_INT(v));
}
