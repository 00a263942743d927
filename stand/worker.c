#include <errno.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <json-glib/json-glib.h>

#include "common/event.h"
#include "common/signals.h"
#include "misc/clock.h"
#include "misc/httpd.h"
#include "platform/client.h"
#include "stand/stand.h"

enum {
	WORKER_QUEUE_PER_SLOT = 4,
	WORKER_COLD_MS = 2000, /* slow start after boot */
	WORKER_COLD_FACTOR = 3,
	WORKER_NOISE_PERIOD_MS = 1000,
	WORKER_NOISE_PCT = 10, /* chance of a slow spell each period */
	WORKER_NOISE_MS = 300,
	WORKER_NOISE_FACTOR = 6,
	WORKER_LOAD_LAG_MS = 200,     /* the load endpoint shows the past */
	WORKER_DRAIN_MS = 5000,	      /* how long a leaving worker serves on */
	WORKER_LEAVE_BOUND_MS = 3000, /* new calls after this are late */
};

struct worker {
	const struct service_opts *svc;
	char name[64], addr[32], dc[32];
	pthread_mutex_t lock;
	pthread_cond_t freed;
	int busy, queued;
	int64_t started_ms, noise_until_ms, noise_checked_ms;
	int64_t leaving_ms; /* 0 while live */
	int lagged_load[8]; /* load samples, one per 100 ms */
	GRand *rnd;
	GHashTable *ran; /* idempotency key -> count of runs */
	bool fail_fast;
	bool quiet; /* no cold start, no noisy neighbour: for baselines */
	uint64_t calls, shed, probes, late;
};

/* The time factor now: cold start and noisy-neighbour spells (locked). */
static double slow_factor(struct worker *w, int64_t now)
{
	double f = 1;

	if (w->quiet)
		return f;
	if (now - w->started_ms < WORKER_COLD_MS)
		f *= WORKER_COLD_FACTOR;
	if (now - w->noise_checked_ms >= WORKER_NOISE_PERIOD_MS) {
		w->noise_checked_ms = now;
		if (g_rand_int_range(w->rnd, 0, 100) < WORKER_NOISE_PCT)
			w->noise_until_ms = now + WORKER_NOISE_MS;
	}
	if (now < w->noise_until_ms)
		f *= WORKER_NOISE_FACTOR;
	return f;
}

static enum MHD_Result refuse(struct httpd_req *req, unsigned status,
			      const char *why, const char *id)
{
	char body[128];
	const char *hd[] = {"X-Ran", "0", "X-Request-Id", id, "Retry-After",
			    "1",     NULL};

	snprintf(body, sizeof(body), "{\"error\":\"%s\"}", why);
	return httpd_answer(req, status, body, strlen(body), hd);
}

/* Waits for a slot until deadline_ms; false if none came (locked). */
static bool take_slot(struct worker *w, int64_t deadline_ms)
{
	struct timespec ts;

	while (w->busy >= w->svc->slots) {
		int64_t left = deadline_ms - clock_ms();

		if (left <= 0)
			return false;
		clock_gettime(CLOCK_REALTIME, &ts);
		ts.tv_sec += left / 1000;
		ts.tv_nsec += (left % 1000) * 1000000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&w->freed, &w->lock, &ts);
	}
	w->busy++;
	return true;
}

static enum MHD_Result do_work(struct worker *w, struct httpd_req *req)
{
	const char *id = httpd_header(req, "X-Request-Id");
	const char *key = httpd_header(req, "Idempotency-Key");
	const char *dl = httpd_header(req, "X-Deadline-Ms");
	int64_t now = clock_ms();
	int64_t deadline = now + (dl ? g_ascii_strtoll(dl, NULL, 10) : 1000);

	id = id ? id : "-";
	pthread_mutex_lock(&w->lock);
	w->calls++;
	if (w->leaving_ms && now - w->leaving_ms > WORKER_LEAVE_BOUND_MS)
		w->late++;
	if (w->fail_fast ||
	    w->queued >= w->svc->slots * WORKER_QUEUE_PER_SLOT) {
		w->shed++;
		pthread_mutex_unlock(&w->lock);
		return refuse(req, 503, "shed", id);
	}
	w->queued++;
	bool got = take_slot(w, deadline);

	w->queued--;
	if (!got) {
		pthread_mutex_unlock(&w->lock);
		return refuse(req, 504, "deadline passed in queue", id);
	}
	double f = slow_factor(w, now);
	double us = w->svc->work_ms * 1000.0 * f *
		    (0.5 + -log(1.0 - g_rand_double(w->rnd)) * 0.5);

	if (key) {
		gpointer n = g_hash_table_lookup(w->ran, key);

		g_hash_table_replace(w->ran, g_strdup(key),
				     GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
	}
	pthread_mutex_unlock(&w->lock);
	usleep((useconds_t)us);
	pthread_mutex_lock(&w->lock);
	w->busy--;
	int load = w->busy + w->queued;

	pthread_cond_signal(&w->freed);
	pthread_mutex_unlock(&w->lock);

	char body[256], loads[16];

	snprintf(loads, sizeof(loads), "%d", load);
	snprintf(body, sizeof(body),
		 "{\"req\":\"%s\",\"worker\":\"%s\",\"service\":\"%s\"}", id,
		 w->name, w->svc->name);
	const char *hd[] = {"X-Ran", "1", "X-Request-Id", id, "X-Load",
			    loads,   NULL};

	return httpd_answer(req, 200, body, strlen(body), hd);
}

static enum MHD_Result do_stats(struct worker *w, struct httpd_req *req)
{
	GString *out = g_string_new(NULL);
	GHashTableIter it;
	gpointer k, v;
	bool first = true;

	pthread_mutex_lock(&w->lock);
	g_string_printf(out,
			"{\"worker\":\"%s\",\"calls\":%llu,\"shed\":%llu,"
			"\"probes\":%llu,\"late_after_leave\":%llu,\"ran\":{",
			w->name, (unsigned long long)w->calls,
			(unsigned long long)w->shed,
			(unsigned long long)w->probes,
			(unsigned long long)w->late);
	g_hash_table_iter_init(&it, w->ran);
	while (g_hash_table_iter_next(&it, &k, &v)) {
		g_string_append_printf(out, "%s\"%s\":%d", first ? "" : ",",
				       (char *)k, GPOINTER_TO_INT(v));
		first = false;
	}
	pthread_mutex_unlock(&w->lock);
	g_string_append(out, "}}");
	enum MHD_Result ret = httpd_answer(req, 200, out->str, out->len, NULL);

	g_string_free(out, TRUE);
	return ret;
}

static enum MHD_Result do_faults(struct worker *w, struct httpd_req *req)
{
	JsonParser *p;
	JsonObject *o = httpd_body_object(req, &p);

	if (o) {
		pthread_mutex_lock(&w->lock);
		w->fail_fast = json_object_get_boolean_member_with_default(
			o, "fail_fast", w->fail_fast);
		w->quiet = json_object_get_boolean_member_with_default(
			o, "quiet", w->quiet);
		pthread_mutex_unlock(&w->lock);
	}
	g_object_unref(p);
	return httpd_answer(req, 200, "{}", 2, NULL);
}

static enum MHD_Result handle(void *ctx, struct httpd_req *req)
{
	struct worker *w = ctx;

	if (!strcmp(req->url, "/v1/work"))
		return do_work(w, req);
	if (!strcmp(req->url, "/v1/load")) {
		char body[64];

		pthread_mutex_lock(&w->lock);
		w->probes++;
		/* The oldest sample: what a lagging health endpoint shows. */
		snprintf(body, sizeof(body), "{\"load\":%d}",
			 w->lagged_load[0]);
		pthread_mutex_unlock(&w->lock);
		return httpd_answer(req, 200, body, strlen(body), NULL);
	}
	if (!strcmp(req->url, "/v1/stats"))
		return do_stats(w, req);
	if (!strcmp(req->url, "/v1/faults"))
		return do_faults(w, req);
	return httpd_answer(req, 404, "{}", 2, NULL);
}

struct beat {
	struct worker *w;
	const char *platform;
	int stop;
};

/* Keeps the worker on the platform's list and its lagged load sampled. */
static void *beat_main(void *arg)
{
	struct beat *b = arg;
	struct plat_client pc;
	int64_t last = 0;

	plat_open(&pc, b->platform, 500);
	while (!ck_pr_load_int(&b->stop)) {
		struct worker *w = b->w;
		int64_t now = clock_ms();

		pthread_mutex_lock(&w->lock);
		memmove(w->lagged_load, w->lagged_load + 1,
			sizeof(w->lagged_load) - sizeof(int));
		w->lagged_load[7] = w->busy + w->queued;
		const char *state = w->leaving_ms ? "leaving" : "live";

		pthread_mutex_unlock(&w->lock);
		if (now - last >= 1000) {
			struct plat_member m = {w->name, "worker", w->addr,
						w->dc, state};

			plat_member_put(&pc, &m);
			last = now;
		}
		usleep(WORKER_LOAD_LAG_MS * 1000 / 2);
	}
	plat_close(&pc);
	return NULL;
}

/*
 * stand_worker_main() runs worker index of service until SIGTERM; then it
 * says it is leaving, serves on for a drain time, and stops once every
 * call in flight has its answer. Returns 0 or a negative errno.
 */
int stand_worker_main(const struct deploy *d, const char *service, int index,
		      unsigned seed)
{
	const struct service_opts *svc = deploy_service(d, service);
	struct worker w = {.svc = svc};
	struct httpd http;
	pthread_t beat_thread;

	if (!svc || deploy_worker_addr(svc, index, w.addr, sizeof(w.addr)))
		return -ENOENT;
	snprintf(w.name, sizeof(w.name), "%s-%d", service, index);
	g_strlcpy(w.dc, svc->dcs[index % g_strv_length(svc->dcs)],
		  sizeof(w.dc));
	pthread_mutex_init(&w.lock, NULL);
	pthread_cond_init(&w.freed, NULL);
	w.rnd = g_rand_new_with_seed(seed ^ (unsigned)index * 2654435761u);
	w.ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w.started_ms = clock_ms();
	if (httpd_start(&http, w.addr, (unsigned)svc->connections, handle,
			&w)) {
		mp_event(EV_LISTEN_FAILED, G_LOG_LEVEL_CRITICAL,
			 "cannot listen on %s", w.addr);
		return -EADDRINUSE;
	}
	struct beat b = {&w, d->entry.platform, 0};

	pthread_create(&beat_thread, NULL, beat_main, &b);
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE, "worker %s on %s in %s",
		 w.name, w.addr, w.dc);
	signals_wait_stop();
	pthread_mutex_lock(&w.lock);
	w.leaving_ms = clock_ms();
	pthread_mutex_unlock(&w.lock);
	mp_event(EV_STOPPING, G_LOG_LEVEL_MESSAGE,
		 "worker %s leaving; draining for %d ms", w.name,
		 WORKER_DRAIN_MS);
	usleep(WORKER_DRAIN_MS * 1000);
	httpd_quiesce(&http);
	httpd_stop(&http);
	ck_pr_store_int(&b.stop, 1);
	pthread_join(beat_thread, NULL);
	mp_event(EV_STOPPED, G_LOG_LEVEL_MESSAGE,
		 "worker %s stopped: %llu calls, %llu late after leaving",
		 w.name, (unsigned long long)w.calls,
		 (unsigned long long)w.late);
	return 0;
}
