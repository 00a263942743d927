#include <inttypes.h>

#include "misc/clock.h"
#include "stand/server.h"

/* Adds the header that reports the load. */
void server_add_load(struct server *s, struct buf *b)
{
	buf_printf(b, "Server-Load: %u,%u,%u,%u\r\n", s->work.running,
		   s->work.waiting.length, s->work.slots,
		   work_slowdown_pct(&s->work, clock_ms()));
}

/* Adds the header that sets a rate limit, if there is one. */
void server_add_limit(struct server *s, struct buf *b)
{
	if (s->faults.limit_odd)
		buf_printf(b, "Server-Limit: as many as you like\r\n");
	else if (s->limit_check.active)
		buf_printf(b, "Server-Limit: %g\r\n", s->limit_check.per_s);
}

/* Whether responses announce that the server drains. */
bool server_is_draining(const struct server *s)
{
	return s->drain_start_ms || s->faults.draining;
}

/* Returns the lifetime of the sending instance, from the Via header. */
struct lstr server_sender(const struct http_message *m)
{
	struct lstr via = http_find_header(m, LSTR("Via"));

	return via.ptr ? via : LSTR("");
}

/* Adds the header that announces the drain, if the server drains. */
void server_add_draining(struct server *s, struct lstr to, struct buf *b)
{
	if (!server_is_draining(s))
		return;
	buf_printf(b, "Server-Leaving: 1\r\n");
	audit_draining(&s->audit, to, clock_ms());
}

/* Adds the header that asks for a backoff, if a fault says so. */
void server_add_backoff(struct server *s, struct lstr to, struct buf *b)
{
	if (s->faults.backoff_odd) {
		buf_printf(b, "Retry-After: in a while\r\n");
		return;
	}
	if (s->faults.backoff_milli < 0)
		return;
	buf_printf(b, "Retry-After: %g\r\n", s->faults.backoff_milli / 1000.0);
	audit_backoff(&s->audit, to, s->faults.backoff_milli, clock_ms());
}

/* Adds the header that tells for how much longer the server is cold. */
void server_add_cold(struct server *s, struct buf *b)
{
	if (server_cold_ms(s))
		buf_printf(b, "Warmup-Remaining-Ms: %" PRId64 "\r\n",
			   server_cold_ms(s));
}
