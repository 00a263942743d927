#include <errno.h>

#include "common/event.h"
#include "core/backend.h"
#include "core/reach.h"

enum {
	/*
	 * Servers that fail in a row until the service counts as lost; all of
	 * them if it has fewer. Fewer failures are those of single servers.
	 */
	LOST_SERVERS = 3,
	/* Failures further apart than this are unrelated. */
	FAILURES_APART_MS = 3000,
};

/* reach_is_lost() returns whether no server of the service is reached. */
bool reach_is_lost(const struct reach *r)
{
	return r->lost_ms != 0;
}

/*
 * reach_is_hung() returns whether the service is lost and probes on older
 * connections weren't answered.
 */
bool reach_is_hung(const struct reach *r)
{
	return reach_is_lost(r) && r->hung.servers > 0;
}

/*
 * reach_is_refused() returns whether the service is lost and its servers refuse
 * connections, as they do when they have ended.
 */
bool reach_is_refused(const struct reach *r)
{
	return reach_is_lost(r) && r->open.err == -ECONNREFUSED;
}

/* Counts a failure at b. */
static void add_failure(struct reach_failures *f, const struct backend *b,
			int err, int64_t now_ms)
{
	if (now_ms - f->at_ms > FAILURES_APART_MS)
		*f = (struct reach_failures){0};
	if (f->last != b || !f->servers)
		f->servers++;
	f->last = b;
	f->at_ms = now_ms;
	f->err = err;
}

/* Logs that the service was lost or is reached again. */
static void log_change(const struct backend *b, int err, int64_t lost_for_ms,
		       int64_t now_ms)
{
	const struct reach *r = &b->service->reach;

	if (reach_is_lost(r))
		mp_event(EV_SERVICE_LOST, G_LOG_LEVEL_MESSAGE,
			 "service=%s servers=%u open_failures=%u hung=%u "
			 "last=%s err=%s answered_ago_ms=%" G_GINT64_FORMAT,
			 b->service->name, b->service->backends->len,
			 r->open.servers, r->hung.servers, b->entry.id,
			 g_strerror(-err),
			 r->answered_ms ? now_ms - r->answered_ms : -1);
	else
		mp_event(EV_SERVICE_REACHED, G_LOG_LEVEL_MESSAGE,
			 "service=%s backend=%s lost_ms=%" G_GINT64_FORMAT,
			 b->service->name, b->entry.id, lost_for_ms);
}

/*
 * reach_record() adds the outcome of using a direct connection to b; err is its
 * negative errno, or 0. An answer on an older connection doesn't show that new
 * ones can be opened.
 */
void reach_record(struct backend *b, enum reach_outcome outcome, int err,
		  int64_t now_ms)
{
	struct reach *r = &b->service->reach;
	unsigned needed = MIN(LOST_SERVERS, MAX(b->service->backends->len, 1));
	int64_t lost_ms = r->lost_ms;

	switch (outcome) {
	case REACH_OPENED:
		r->open = (struct reach_failures){0};
		r->hung = (struct reach_failures){0};
		r->answered_ms = now_ms;
		break;
	case REACH_ANSWERED:
		r->hung = (struct reach_failures){0};
		r->answered_ms = now_ms;
		break;
	case REACH_OPEN_FAILED:
		add_failure(&r->open, b, err, now_ms);
		break;
	case REACH_HUNG:
		add_failure(&r->hung, b, err, now_ms);
		break;
	}
	r->lost_ms = r->open.servers < needed && r->hung.servers < needed ? 0
		     : lost_ms ? lost_ms
			       : now_ms;
	if (!lost_ms != !r->lost_ms)
		log_change(b, err, lost_ms ? now_ms - lost_ms : 0, now_ms);
}
