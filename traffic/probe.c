#include <errno.h>

#include "common/event.h"
#include "core/outlier.h"
#include "core/path.h"
#include "misc/clock.h"
#include "traffic/probe.h"

/* Servers that report load answer a probe immediately, within a round trip. */
static const double PROBE_TIMEOUT_S = 0.06;

/* A missing probe response counts as one full failure of the server. */
static const double PROBE_FAILURE_WEIGHT = 1.0;

static void probe_free(struct probe *p)
{
	backend_unref(p->backend);
	g_free(p);
}

/* Closes the connection of a failed probe. */
static void probe_close(struct probe *p)
{
	if (p->upstream)
		upstream_drop(p->upstream);
	p->upstream = NULL;
	p->pending = false;
}

/* Frees a finished probe; a pending one is detached and frees itself later. */
static void probe_detach(struct probe *p)
{
	p->request = NULL;
	if (p->pending)
		return;
	if (p->upstream)
		upstream_put(p->upstream, clock_ms());
	probe_free(p);
}

/* Releases all probes of the request's current selection. */
void probes_release(struct request *r)
{
	for (unsigned i = 0; i < r->nprobes; i++)
		probe_detach(r->probes[i]);
	r->nprobes = 0;
}

static enum http_match probe_classify(void *owner,
				      const struct response_info *info)
{
	struct probe *p = owner;

	/* Only a response that names its server answers a probe. */
	if (info->id.ptr || !info->backend_id.ptr) {
		p->traffic->counters.foreign_answers++;
		return HTTP_UNMATCHED;
	}
	return HTTP_MATCHED;
}

/* Logs the first failed probe of b, and the first success after failures. */
static void record_reachability(struct backend *b, int err, int64_t now_ms)
{
	if (b->unreachable == (err != 0))
		return;
	b->unreachable = err != 0;
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

/* Removes a server whose address is now used by another process. */
static void remove_replaced_backend(struct traffic *t, struct backend *b)
{
	mp_event(EV_MEMBER_REMOVED, G_LOG_LEVEL_MESSAGE,
		 "backend=%s why=another answers at its address", b->entry.id);
	backend_set_remove(&t->backends, b->entry.id);
}

/* Estimates the load of a server that reports none from the probe's time. */
static struct load_report timed_load(const struct probe *p, int64_t now_ms)
{
	return (struct load_report){
		.slots = p->backend->entry.slots,
		.slowdown_pct = probe_times_record(
			&p->backend->service->probe_times,
			(double)(now_ms - p->sent_ms), p->new_connection),
	};
}

/*
 * Stores the server's load; returns false if the response doesn't show it. The
 * first response without load marks the service as not reporting, but only if
 * it comes from a healthy server: a failing or draining one may omit its load.
 */
static bool record_load_report(struct probe *p,
			       const struct response_info *info,
			       unsigned status, int64_t now_ms)
{
	struct service *s = p->backend->service;

	if (info->has_load)
		s->load_support = LOAD_REPORTED;
	else if (status == 200 && s->load_support == LOAD_UNKNOWN)
		s->load_support = LOAD_NOT_REPORTED;
	if (!info->has_load &&
	    (service_reports_load(s) || !service_is_probed(s)))
		return false;
	p->backend->load = info->has_load ? info->load : timed_load(p, now_ms);
	p->backend->load.at_ms = now_ms;
	place_record_load(p->backend, now_ms);
	return true;
}

/* Continues the selection that waits for the probe, or frees a detached one. */
static void probe_done(struct probe *p, int64_t now_ms)
{
	if (p->request) {
		p->request->probes_answered += p->answered;
		request_select_step(p->request, now_ms);
		return;
	}
	probe_detach(p);
}

/*
 * Handles a probe response: stores the reported load, or removes a server that
 * another process has replaced.
 */
static void probe_response(void *owner, struct http_message *m,
			   const struct response_info *info)
{
	struct probe *p = owner;
	int64_t now_ms = clock_ms();

	p->pending = false;
	if (!lstr_eq(info->backend_id, lstr0(p->backend->entry.id))) {
		probe_close(p);
		remove_replaced_backend(p->traffic, p->backend);
	} else {
		record_reachability(p->backend, 0, now_ms);
		if (!p->new_connection)
			place_record_rtt(p->backend,
					 (double)(now_ms - p->sent_ms));
		p->answered = record_load_report(p, info, m->status, now_ms) &&
			      p->upstream->http.reusable;
		if (!p->answered)
			probe_close(p);
	}
	http_message_free(m);
	probe_done(p, now_ms);
}

static void probe_failed(void *owner, int err, bool sent)
{
	struct probe *p = owner;
	int64_t now_ms = clock_ms();

	p->upstream = NULL;
	p->pending = false;
	p->traffic->counters.probe_failures += err != -ECANCELED;
	if (err == -ETIMEDOUT)
		spill_record_timeout(
			&p->backend->service->spill.dcs[p->backend->dc_index],
			PROBE_TIMEOUT_S * 1000);
	/*
	 * A kept connection may be closed at any time, and a probe may be
	 * cancelled before it is sent: neither is a failure of the server.
	 */
	if (err != -EPIPE && err != -ECONNRESET && err != -ECANCELED) {
		record_reachability(p->backend, err, now_ms);
		if (!path_is_broken(p->backend))
			outlier_record(p->backend, PROBE_FAILURE_WEIGHT,
				       now_ms);
	}
	probe_done(p, now_ms);
}

static const struct upstream_ops probe_ops = {probe_classify, probe_response,
					      probe_failed};

/* Creates a probe of b on a connection that it takes over. */
static struct probe *new_probe(struct traffic *t, struct backend *b,
			       struct upstream *u)
{
	struct probe *p = g_new0(struct probe, 1);

	p->traffic = t;
	p->upstream = u;
	p->sent_ms = clock_ms();
	p->new_connection = u->last_used_ms == 0;
	p->backend = backend_ref(b);
	p->pending = true;
	return p;
}

/* Returns the path that probes of the service's servers use. */
struct lstr probe_health_path(const struct traffic *t, const struct service *s)
{
	const struct service_config *sc =
		t->config ? config_service(t->config, lstr0(s->name)) : NULL;

	return sc ? sc->health_path : LSTR("/");
}

/* Sends a probe. */
static void probe_send(struct probe *p)
{
	struct traffic *t = p->traffic;
	struct buf bytes = {0};

	t->counters.probes++;
	exchange_write_probe(&bytes, probe_health_path(t, p->backend->service),
			     p->backend, t->via);
	upstream_probe(p->upstream, buf_lstr(&bytes), PROBE_TIMEOUT_S,
		       &probe_ops, p);
	buf_free(&bytes);
}

/* Probes b for its load on behalf of a request. */
void probe_start(struct request *r, struct backend *b)
{
	struct upstream *u = upstream_get(r->traffic, b, 0);
	struct probe *p;

	if (!u)
		return;
	p = new_probe(r->traffic, b, u);
	p->request = r;
	r->probes[r->nprobes++] = p;
	r->probes_sent++;
	probe_send(p);
}

/*
 * Probes b on a new direct connection, to see whether it is reached without a
 * tunnel; within the probe budget.
 */
void probe_check_path(struct traffic *t, struct backend *b)
{
	struct upstream *u;

	if (!probe_budget_take(&t->probe_limiter, &t->probe_rate,
			       traffic_count_backends(t), 1, 0, clock_ms()))
		return;
	u = upstream_open_direct(t, b);
	if (u)
		probe_send(new_probe(t, b, u));
}
