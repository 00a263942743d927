#include "common/event.h"
#include "core/availability.h"
#include "misc/clock.h"
#include "traffic/leaving.h"
#include "traffic/limits.h"
#include "traffic/server_words.h"

enum { TEXT_MAX = 64 }; /* bytes of a value that are logged */

/* A value that is refused changes nothing; told once until one is understood. */
static void log_bad_value(struct traffic *t, const struct backend *b,
			  const char *what, struct lstr text)
{
	t->counters.words_bad++;
	if (b->memory->word_bad)
		return;
	b->memory->word_bad = true;
	mp_event(EV_ANSWER_BAD_VALUE, G_LOG_LEVEL_WARNING,
		 "backend=%s service=%s what=%s value=%.*s", b->entry.id,
		 b->service->name, what, (int)MIN(text.len, TEXT_MAX),
		 text.ptr);
}

static void hear_rest(struct traffic *t, struct backend *b, double rest_s)
{
	struct server_memory *m = b->memory;
	int64_t now_ms = clock_ms();

	m->word_bad = false;
	t->counters.rests++;
	if (!server_memory_rest(m, rest_s, g_rand_double(t->rand), now_ms))
		return;
	/* What it reported before says nothing of when it returns. */
	b->load = (struct load_report){.slots = b->load.slots};
	mp_event(EV_REST_ASKED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s service=%s rest_s=%g ends_in_ms=%" G_GINT64_FORMAT
		 " back_in_ms=%" G_GINT64_FORMAT " in_flight=%u",
		 b->entry.id, b->service->name, rest_s,
		 m->rest_until_ms - now_ms, m->back_ms - now_ms, b->in_flight);
}

/* An answer of another start at the same address says nothing of b. */
static bool is_of(const struct backend *b, const struct answer_info *info)
{
	if (info->misdirected)
		return false;
	return !info->backend.ptr || lstr_eq(info->backend, lstr0(b->entry.id));
}

/* Of an answer that nobody waits for it isn't known when it was asked for. */
static void hear_limit(struct traffic *t, struct backend *b,
		       const struct server_answer *a)
{
	bool own = a->info.sealed || a->info.not_run || a->question;

	if (a->awaited && own)
		limits_answer(t, b, &a->info, a->sent_ms,
			      a->question ? LIMIT_BY_QUESTION
					  : LIMIT_BY_ANSWER);
	else if (!a->awaited && a->info.limit == LIMIT_NAMED)
		limits_answer(t, b, &a->info, 0, LIMIT_BY_ANSWER);
}

/* server_words_hear() takes in what an answer from b's address says of b. */
void server_words_hear(struct traffic *t, struct backend *b,
		       const struct server_answer *a)
{
	const struct answer_info *info = &a->info;

	if (!is_of(b, info))
		return;
	hear_limit(t, b, a);
	if (info->rest == REST_BAD)
		log_bad_value(t, b, "rest", info->rest_text);
	else if (info->rest == REST_ASKED)
		hear_rest(t, b, info->rest_s);
	if (info->leaving == LEAVING_BAD)
		log_bad_value(t, b, "leaving", info->leaving_text);
	else if (info->leaving == LEAVING_SAID)
		leaving_heard(t, b);
}
