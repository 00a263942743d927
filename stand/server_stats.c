#include <inttypes.h>

#include "stand/server.h"

/*
 * server_write_stats() writes a "name value" line each, and "ran KEY COUNT" for what
 * ran.
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
		   s->need.got, s->need.worst, s->need.allowed);
	buf_printf(out,
		   "rests %" PRIu64 "\nrest_got %" PRIu64
		   "\nrest_questions %" PRIu64 "\nrest_worst %u\n"
		   "leaving_told %" PRIu64 "\nleaving_got %" PRIu64 "\n",
		   s->promises.rests, s->promises.rest_got,
		   s->promises.rest_questions, s->promises.rest_worst,
		   s->promises.leaving_told, s->promises.leaving_got);
	g_hash_table_iter_init(&it, s->work.ran);
	while (g_hash_table_iter_next(&it, &k, &v))
		buf_printf(out, "ran %s %d\n", (char *)k, GPOINTER_TO_INT(v));
}
