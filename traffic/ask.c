#include <errno.h>

#include "common/event.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/ask.h"

/* A server that tells its load does so at once, in a round trip. */
static const double ASK_TIMEOUT_S = 0.06;

/* No answer to a question is a failure of the server, of full weight. */
static const double SILENT_TROUBLE = 1.0;

static void free_ask(struct ask *a)
{
	backend_unref(a->backend);
	g_free(a);
}

/* Closes the connection of an ask that has ended badly. */
static void drop_ask(struct ask *a)
{
	if (a->upstream)
		upstream_drop(a->upstream);
	a->upstream = NULL;
	a->pending = false;
}

/* Ends one ask of a request, or leaves it to end by itself. */
static void leave_ask(struct ask *a)
{
	a->request = NULL;
	if (a->pending)
		return;
	if (a->upstream)
		upstream_put(a->upstream, clock_ms());
	free_ask(a);
}

/* ask_release() leaves all asks of a request's placement. */
void ask_release(struct request *r)
{
	for (unsigned i = 0; i < r->nasks; i++)
		leave_ask(r->asks[i]);
	r->nasks = 0;
}

static enum http_match ask_judge(void *owner, const struct answer_info *info)
{
	struct ask *a = owner;

	/* Only an answer that names its server answers the question. */
	if (info->id.ptr || !info->backend.ptr) {
		a->traffic->counters.foreign_answers++;
		return HTTP_UNMATCHED;
	}
	return HTTP_MATCHED;
}

/* Logs the first question that b doesn't answer, and the next that it does. */
static void note_down(struct backend *b, int err, int64_t now_ms)
{
	if (b->down == (err != 0))
		return;
	b->down = err != 0;
	if (err)
		mp_event(EV_BACKEND_DOWN, G_LOG_LEVEL_MESSAGE,
			 "backend=%s service=%s err=%s "
			 "report_age_ms=%" G_GINT64_FORMAT " in_flight=%u",
			 b->entry.id, b->service->name, g_strerror(-err),
			 b->load.at_ms ? now_ms - b->load.at_ms : -1,
			 b->in_flight);
	else
		mp_event(EV_BACKEND_UP, G_LOG_LEVEL_MESSAGE,
			 "backend=%s service=%s", b->entry.id,
			 b->service->name);
}

/* The address belongs to another start by now: this one has ended. */
static void forget_backend(struct traffic *t, struct backend *b)
{
	mp_event(EV_MEMBER_REMOVED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s why=another answers at its address", b->entry.id);
	backend_set_remove(&t->backends, b->entry.id);
}

/*
 * Takes a server's report in; false when it made none. A service counts as one
 * whose servers tell no load only if a healthy one's first answer has none:
 * one that fails or leaves may answer without.
 */
static bool note_report(struct ask *a, const struct answer_info *info,
			unsigned status, int64_t now_ms)
{
	struct service *s = a->backend->service;

	if (info->has_load) {
		s->load_support = LOAD_TOLD;
		a->backend->load = info->load;
		a->backend->load.at_ms = now_ms;
		place_note_offer(a->backend, now_ms);
		return true;
	}
	if (status == 200 && s->load_support == LOAD_UNKNOWN)
		s->load_support = LOAD_NOT_TOLD;
	return false;
}

/* The request goes on, or nobody waits and the ask ends. */
static void ask_over(struct ask *a, int64_t now_ms)
{
	if (a->request) {
		a->request->answered += a->answered;
		request_place_decide(a->request, now_ms);
		return;
	}
	leave_ask(a);
}

static void ask_response(void *owner, struct http_message *m,
			 const struct answer_info *info)
{
	struct ask *a = owner;
	int64_t now_ms = clock_ms();

	a->pending = false;
	if (!lstr_eq(info->backend, lstr0(a->backend->entry.id))) {
		drop_ask(a);
		forget_backend(a->traffic, a->backend);
	} else {
		note_down(a->backend, 0, now_ms);
		if (!a->opened)
			place_note_way(a->backend,
				       (double)(now_ms - a->asked_ms));
		a->answered = note_report(a, info, m->status, now_ms) &&
			      a->upstream->http.reusable;
		if (!a->answered)
			drop_ask(a);
	}
	http_message_free(m);
	ask_over(a, now_ms);
}

static void ask_failed(void *owner, int err, bool sent)
{
	struct ask *a = owner;
	int64_t now_ms = clock_ms();

	a->upstream = NULL;
	a->pending = false;
	a->traffic->counters.ask_failures += err != -ECANCELED;
	/*
	 * A kept connection may be closed at any time, and a question be withdrawn:
	 * nobody's fault.
	 */
	if (err != -EPIPE && err != -ECONNRESET && err != -ECANCELED) {
		note_down(a->backend, err, now_ms);
		outlier_note(a->backend, SILENT_TROUBLE, now_ms);
	}
	ask_over(a, now_ms);
}

static const struct upstream_ops ask_ops = {ask_judge, ask_response,
					    ask_failed};

/* ask_start() asks b for its load on behalf of a request. */
void ask_start(struct request *r, struct backend *b)
{
	const struct service_config *sc =
		config_service(r->config, lstr0(r->service->name));
	struct upstream *u = upstream_get(r->traffic, b, 0);
	struct buf bytes = {0};
	struct ask *a;

	if (!u)
		return;
	a = g_new0(struct ask, 1);
	a->request = r;
	a->traffic = r->traffic;
	a->upstream = u;
	a->asked_ms = clock_ms();
	a->opened = u->used_ms == 0;
	r->asks[r->nasks++] = a;
	a->backend = backend_ref(b);
	a->pending = true;
	r->traffic->counters.asks++;
	r->asked++;
	exchange_write_probe(&bytes, sc ? sc->health_path : LSTR("/"), b,
			     r->traffic->via);
	upstream_ask(a->upstream, buf_lstr(&bytes), ASK_TIMEOUT_S, &ask_ops, a);
	buf_free(&bytes);
}
