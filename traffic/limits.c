#include "common/event.h"
#include "misc/clock.h"
#include "traffic/limits.h"

static void log_change(const struct backend *b, enum limit_change change,
		       const struct limit_word *w, double before)
{
	const struct server_limit *l = b->limit;

	mp_event(change == LIMIT_ENDED ? EV_LIMIT_ENDED : EV_LIMIT_NAMED,
		 G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s limit_per_s=%g before=%g by=%s "
		 "asked_ago_ms=%" G_GINT64_FORMAT
		 " heard_ago_ms=%" G_GINT64_FORMAT,
		 b->entry.id, b->service->name, l->per_s, before,
		 limit_source_name(w->source), clock_ms() - w->asked_ms,
		 clock_ms() - w->heard_ms);
}

/* A number that is none says neither that there is a limit nor that it ended. */
static void log_bad(struct traffic *t, struct backend *b, struct lstr text)
{
	t->counters.limits_bad++;
	if (b->limit_bad)
		return;
	b->limit_bad = true;
	mp_event(EV_LIMIT_BAD, G_LOG_LEVEL_WARNING,
		 "backend=%s service=%s limit=%.*s; what was known stays in "
		 "force",
		 b->entry.id, b->service->name, (int)MIN(text.len, 64),
		 text.ptr);
}

/* Takes in what a server said, by itself or through a peer. */
static void hear(struct backend *b, const struct limit_word *w)
{
	double before = b->limit ? b->limit->per_s : 0;
	enum limit_change change;

	if (!b->limit && !w->named)
		return;
	if (!b->limit)
		b->limit = g_new0(struct server_limit, 1);
	change = server_limit_hear(b->limit, w, clock_ms());
	if (change != LIMIT_SAME)
		log_change(b, change, w, before);
}

/*
 * limits_answer() takes in what an answer of b says of its limit; it was asked
 * for at asked_ms.
 */
void limits_answer(struct traffic *t, struct backend *b,
		   const struct answer_info *info, int64_t asked_ms,
		   enum limit_source source)
{
	struct limit_word w = {
		.named = info->limit == LIMIT_NAMED,
		.per_s = info->limit_per_s,
		.asked_ms = asked_ms,
		.heard_ms = clock_ms(),
		.source = source,
	};

	if (info->limit == LIMIT_BAD) {
		log_bad(t, b, info->limit_text);
		return;
	}
	b->limit_bad = false;
	hear(b, &w);
}

/* Why a server gets the request, as the rules on limits see it. */
static const char *cause_name(const struct request *r, const struct send *s)
{
	if (!s->extra)
		return "first";
	return extra_cause_name(s->cause);
}

/*
 * limits_log_send() accounts for a send to a server that names a limit. These
 * lines are never held back: added up over all instances they are what the
 * server gets.
 */
void limits_log_send(const struct request *r, const struct send *s)
{
	const struct backend *b = s->backend;
	const struct traffic *t = r->traffic;

	if (!b->limit || !b->limit->named)
		return;
	mp_event(EV_LIMIT_SEND, G_LOG_LEVEL_INFO,
		 "id=%.*s backend=%s service=%s limit_per_s=%g cause=%s "
		 "known_ms=%" G_GINT64_FORMAT " lifetime=%08x "
		 "age_ms=%" G_GINT64_FORMAT " instances=%u",
		 (int)r->call.id.len, r->call.id.ptr, b->entry.id,
		 b->service->name, b->limit->per_s, cause_name(r, s),
		 s->sent_ms - b->limit->since_ms, t->lifetime,
		 s->sent_ms - t->started_ms, t->peers.instances);
}
