#include <errno.h>

#include "common/event.h"
#include "core/outlier.h"
#include "misc/clock.h"
#include "traffic/probe.h"

/* A server that tells its load does so at once, in a round trip. */
static const double PROBE_TIMEOUT_S = 0.06;

/* No answer to a question is a failure of the server, of full weight. */
static const double PROBE_FAILURE_WEIGHT = 1.0;

static void probe_free(struct probe *a)
{
	backend_unref(a->backend);
	g_free(a);
}

/* Closes the connection of an ask that has ended badly. */
static void probe_close(struct probe *a)
{
	if (a->upstream)
		upstream_drop(a->upstream);
	a->upstream = NULL;
	a->pending = false;
}

/* Ends one ask of a request, or leaves it to end by itself. */
static void probe_detach(struct probe *a)
{
	a->request = NULL;
	if (a->pending)
		return;
	if (a->upstream)
		upstream_put(a->upstream, clock_ms());
	probe_free(a);
}

/* probes_release() leaves all asks of a request's select_reason. */
void probes_release(struct request *r)
{
	for (unsigned i = 0; i < r->nprobes; i++)
		probe_detach(r->probes[i]);
	r->nprobes = 0;
}

static enum http_verdict probe_judge(void *owner,
				     const struct answer_info *info)
{
	struct probe *a = owner;

	/* Only an answer that names its server answers the question. */
	if (info->id.ptr || !info->backend.ptr) {
		a->traffic->counters.foreign_answers++;
		return HTTP_SKIP;
	}
	return HTTP_TAKE;
}

/* Logs the first question that b doesn't answer, and the next that it does. */
static void record_reachability(struct backend *b, int err, int64_t now_ms)
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
static void remove_replaced_backend(struct traffic *t, struct backend *b)
{
	mp_event(EV_MEMBER_GONE, G_LOG_LEVEL_MESSAGE,
		 "backend=%s why=another answers at its address", b->entry.id);
	backend_set_remove(&t->backends, b->entry.id);
}

/*
 * Takes a server's report in; false when it made none. A service counts as one
 * whose servers tell no load only if a healthy one's first answer has none:
 * one that fails or leaves may answer without.
 */
static bool record_load_report(struct probe *a, const struct answer_info *info,
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
static void probe_done(struct probe *a, int64_t now_ms)
{
	if (a->request) {
		a->request->probes_answered += a->answered;
		request_select_step(a->request, now_ms);
		return;
	}
	probe_detach(a);
}

static void probe_response(void *owner, struct http_message *m,
			   const struct answer_info *info)
{
	struct probe *a = owner;
	int64_t now_ms = clock_ms();

	a->pending = false;
	if (!lstr_eq(info->backend, lstr0(a->backend->entry.id))) {
		probe_close(a);
		remove_replaced_backend(a->traffic, a->backend);
	} else {
		record_reachability(a->backend, 0, now_ms);
		if (!a->new_connection)
			place_note_way(a->backend,
				       (double)(now_ms - a->sent_ms));
		a->answered = record_load_report(a, info, m->status, now_ms) &&
			      a->upstream->http.reusable;
		if (!a->answered)
			probe_close(a);
	}
	http_message_free(m);
	probe_done(a, now_ms);
}

static void probe_failed(void *owner, int err, bool sent)
{
	struct probe *a = owner;
	int64_t now_ms = clock_ms();

	a->upstream = NULL;
	a->pending = false;
	a->traffic->counters.probe_failures += err != -ECANCELED;
	/*
	 * A kept connection may be closed at any time, and a question be withdrawn:
	 * nobody's fault.
	 */
	if (err != -EPIPE && err != -ECONNRESET && err != -ECANCELED) {
		record_reachability(a->backend, err, now_ms);
		outlier_note(a->backend, PROBE_FAILURE_WEIGHT, now_ms);
	}
	probe_done(a, now_ms);
}

static const struct upstream_ops probe_ops = {probe_judge, probe_response,
					      probe_failed};

/* probe_start() asks b for its load on behalf of a request. */
void probe_start(struct request *r, struct backend *b)
{
	const struct service_config *sc =
		config_service(r->config, lstr0(r->service->name));
	struct upstream *u = upstream_get(r->traffic, b, 0);
	struct buf bytes = {0};
	struct probe *a;

	if (!u)
		return;
	a = g_new0(struct probe, 1);
	a->request = r;
	a->traffic = r->traffic;
	a->upstream = u;
	a->sent_ms = clock_ms();
	a->new_connection = u->last_used_ms == 0;
	r->probes[r->nprobes++] = a;
	a->backend = backend_ref(b);
	a->pending = true;
	r->traffic->counters.probes++;
	r->probes_sent++;
	exchange_write_probe(&bytes, sc ? sc->health_path : LSTR("/"), b,
			     r->traffic->via);
	upstream_probe(a->upstream, buf_lstr(&bytes), PROBE_TIMEOUT_S,
		       &probe_ops, a);
	buf_free(&bytes);
}
