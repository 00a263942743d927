#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "common/event.h"
#include "conf/reader.h"
#include "entry/core.h"
#include "misc/clock.h"

enum {
	CONTROL_TICK_MS = 10,
	PLATFORM_TIMEOUT_MS = 500,
	DEDUP_MAX_KEYS = 200000, /* about 10 min of bookings at 300/s */
};

/*
 * entry_init() builds the pools for every service of the deployment. No
 * worker is known until the control thread reads the member list.
 */
int entry_init(struct entry *e, const struct deploy *d,
	       const struct entry_opts *me)
{
	memset(e, 0, sizeof(*e));
	e->deploy = d;
	e->me = me;
	e->n_services = d->services->len;
	e->services = g_new0(struct entry_service, e->n_services);
	for (unsigned i = 0; i < e->n_services; i++) {
		e->services[i].opts = d->services->pdata[i];
		e->services[i].policy = route_policy_find(d->entry.policy);
	}
	e->live_version = -1;
	pthread_mutex_init(&e->entries_lock, NULL);
	e->entries_json = g_strdup("[]");
	conf_init(&e->conf);
	dedup_init(&e->dedup, DEDUP_MAX_KEYS);
	if (backend_init(&e->backend))
		return -ENOMEM;
	return plat_open(&e->pc, d->entry.platform, PLATFORM_TIMEOUT_MS);
}

/* entry_service() finds the named service, or NULL. */
struct entry_service *entry_service(struct entry *e, const char *name)
{
	for (unsigned i = 0; i < e->n_services; i++)
		if (!strcmp(e->services[i].opts->name, name))
			return &e->services[i];
	return NULL;
}

/* Marks whether the platform answered, logging only the changes. */
static void platform_seen(struct entry *e, int ret)
{
	if (ret && ret != -EAGAIN && !e->platform_down) {
		e->platform_down = true;
		mp_event(EV_PLATFORM_UNREACHABLE, G_LOG_LEVEL_WARNING,
			 "platform unreachable (%s); serving version %lld",
			 g_strerror(-ret), (long long)e->conf.version);
	} else if (!ret && e->platform_down) {
		e->platform_down = false;
		mp_event(EV_PLATFORM_RECOVERED, G_LOG_LEVEL_MESSAGE,
			 "platform reachable again");
	}
}

static void on_config_record(void *ctx, int64_t offset, JsonObject *rec)
{
	struct entry *e = ctx;
	enum fold_result r = conf_fold(&e->conf, offset, rec);

	switch (r) {
	case FOLD_REJECTED:
		mp_event(EV_CONFIG_PATCH_REJECTED, G_LOG_LEVEL_INFO,
			 "patch %s at offset %lld rejected: base %lld, live "
			 "%lld",
			 json_object_get_string_member_with_default(rec, "id",
								    "?"),
			 (long long)offset,
			 (long long)json_object_get_int_member_with_default(
				 rec, "base", -1),
			 (long long)e->conf.version);
		break;
	case FOLD_SNAPSHOT_NEW:
		mp_event(EV_CONFIG_SNAPSHOT_ADOPTED, G_LOG_LEVEL_MESSAGE,
			 "adopted snapshot of version %lld at offset %lld",
			 (long long)e->conf.version, (long long)offset);
		/* fall through */
	case FOLD_SNAPSHOT_OLD:
		e->snapshot_seen_ms = clock_ms();
		break;
	case FOLD_BAD:
		mp_event(EV_CONFIG_BAD_RECORD, G_LOG_LEVEL_WARNING,
			 "record at offset %lld is not a patch or snapshot",
			 (long long)offset);
		break;
	default:
		break;
	}
}

/* Makes the folded configuration the one traffic threads use. */
static void apply_config(struct entry *e)
{
	char key[128];

	for (unsigned i = 0; i < e->n_services; i++) {
		struct entry_service *s = &e->services[i];

		snprintf(key, sizeof(key), "policy.%s", s->opts->name);
		const char *name = conf_get(&e->conf, key);

		if (!name)
			name = conf_get(&e->conf, "policy");
		const struct route_policy *p =
			name ? route_policy_find(name) : NULL;

		ck_pr_store_ptr(&s->policy,
				p ? p
				  : route_policy_find(e->deploy->entry.policy));
		unsigned n = ck_pr_load_uint(&s->pool.count);

		for (unsigned k = 0; k < n; k++) {
			struct route_worker *w = &s->pool.workers[k];

			snprintf(key, sizeof(key), "drain.%s", w->name);
			ck_pr_store_uint(
				&w->drained,
				!g_strcmp0(conf_get(&e->conf, key), "true"));
		}
	}
	ck_pr_store_64((uint64_t *)&e->live_version, (uint64_t)e->conf.version);
	mp_event(EV_CONFIG_APPLIED, G_LOG_LEVEL_MESSAGE,
		 "configuration version %lld in force",
		 (long long)e->conf.version);
}

static void on_config_gap(void *ctx, int64_t from, int64_t first)
{
	mp_event(EV_CONFIG_GAP, G_LOG_LEVEL_WARNING,
		 "offsets %lld..%lld expired unread; waiting for a snapshot",
		 (long long)from, (long long)first - 1);
}

/* Reads and folds what the config stream gained since the last poll. */
static void poll_config(struct entry *e)
{
	int64_t before = e->conf.synced ? e->conf.version : -1;
	int ret = conf_read_new(&e->conf, &e->pc, on_config_record,
				on_config_gap, e);

	platform_seen(e, ret);
	int64_t live = (int64_t)ck_pr_load_64((uint64_t *)&e->live_version);

	if (e->conf.synced && (e->conf.version != before || live < 0))
		apply_config(e);
}

/* Finds the service a worker belongs to: its name is SERVICE-INDEX. */
static struct entry_service *service_of(struct entry *e, const char *name)
{
	const char *dash = strrchr(name, '-');
	char svc[64];

	if (!dash || (size_t)(dash - name) >= sizeof(svc))
		return NULL;
	memcpy(svc, name, (size_t)(dash - name));
	svc[dash - name] = '\0';
	return entry_service(e, svc);
}

static void on_worker(void *ctx, const struct plat_member *m)
{
	struct entry *e = ctx;
	struct entry_service *s = service_of(e, m->name);

	if (!s)
		return;
	int k = route_pool_find(&s->pool, m->name);

	if (k < 0) {
		k = route_pool_add(&s->pool, m->name, m->addr, m->dc);
		if (k < 0)
			return;
		mp_event(EV_MEMBER_JOINED, G_LOG_LEVEL_INFO,
			 "worker %s at %s in %s", m->name, m->addr, m->dc);
	}
	struct route_worker *w = &s->pool.workers[k];
	unsigned state =
		!g_strcmp0(m->state, "leaving") ? WORKER_LEAVING : WORKER_LIVE;

	if (state == WORKER_LEAVING && ck_pr_load_uint(&w->state) != state)
		mp_event(EV_MEMBER_LEAVING, G_LOG_LEVEL_INFO,
			 "worker %s leaving; no new work", m->name);
	ck_pr_store_uint(&w->state, state);
	s->seen_gen[k] = e->gen;
}

struct entry_list {
	GString *json;
	char lowest[48];
};

static void on_entry(void *ctx, const struct plat_member *m)
{
	struct entry_list *l = ctx;

	if (g_strcmp0(m->state, "live"))
		return;
	g_string_append_printf(l->json,
			       "%s{\"name\":\"%s\",\"addr\":\"%s\","
			       "\"dc\":\"%s\"}",
			       l->json->len > 1 ? "," : "", m->name, m->addr,
			       m->dc);
	if (!l->lowest[0] || strcmp(m->name, l->lowest) < 0)
		g_strlcpy(l->lowest, m->name, sizeof(l->lowest));
}

/* Marks workers that fell off the list as absent. */
static void sweep_workers(struct entry *e)
{
	for (unsigned i = 0; i < e->n_services; i++) {
		struct entry_service *s = &e->services[i];
		unsigned n = ck_pr_load_uint(&s->pool.count);

		for (unsigned k = 0; k < n; k++) {
			struct route_worker *w = &s->pool.workers[k];

			if (s->seen_gen[k] == e->gen ||
			    ck_pr_load_uint(&w->state) == WORKER_ABSENT)
				continue;
			ck_pr_store_uint(&w->state, WORKER_ABSENT);
			mp_event(EV_MEMBER_GONE, G_LOG_LEVEL_INFO,
				 "worker %s off the list", w->name);
		}
	}
}

/*
 * Reads both member lists, each only when it changed (If-None-Match): the
 * lists change a few hundred times a day, while polling them whole at
 * 790 workers cost about 140 KB/s per entry (docs/CAPACITY.md).
 */
static void poll_members(struct entry *e)
{
	struct entry_list l = {g_string_new("["), ""};
	int ret;

	e->gen++;
	ret = plat_members(&e->pc, "worker", e->workers_etag, on_worker, e);
	platform_seen(e, ret < 0 ? ret : 0);
	if (ret == 0)
		sweep_workers(e);
	if (ret >= 0 &&
	    plat_members(&e->pc, "entry", e->entries_etag, on_entry, &l) == 0) {
		g_string_append(l.json, "]");
		pthread_mutex_lock(&e->entries_lock);
		g_free(e->entries_json);
		e->entries_json = g_string_free(l.json, FALSE);
		pthread_mutex_unlock(&e->entries_lock);
		g_strlcpy(e->lowest_entry, l.lowest, sizeof(e->lowest_entry));
		return;
	}
	g_string_free(l.json, TRUE);
}

static void heartbeat(struct entry *e, const char *state)
{
	struct plat_member m = {e->me->name, "entry", e->me->listen, e->me->dc,
				state};

	platform_seen(e, plat_member_put(&e->pc, &m));
}

/*
 * Writes a snapshot when none has been seen for snapshot_every_s, so that
 * retention never takes the live version with it. Only the lowest-named
 * live entry writes, to spare the log's append budget; a duplicate from a
 * race is harmless, since every snapshot of a version says the same.
 */
static void maybe_snapshot(struct entry *e, int64_t now)
{
	int64_t every = (int64_t)e->deploy->entry.snapshot_every_s * 1000;
	int64_t off = 0;

	if (!e->conf.synced || now - e->snapshot_seen_ms < every ||
	    strcmp(e->lowest_entry, e->me->name))
		return;
	char *snap = conf_snapshot_json(&e->conf);
	int ret = plat_append(&e->pc, conf_stream, snap, &off);

	g_free(snap);
	if (ret == 0) {
		e->snapshot_seen_ms = now;
		mp_event(EV_CONFIG_SNAPSHOT_WRITTEN, G_LOG_LEVEL_INFO,
			 "snapshot of version %lld at offset %lld",
			 (long long)e->conf.version, (long long)off);
	}
}

static void account_cost(struct entry *e)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	ck_pr_store_64(&e->cost.cpu_us, (uint64_t)ts.tv_sec * 1000000 +
						(uint64_t)ts.tv_nsec / 1000);
	ck_pr_store_64(&e->cost.bytes_in, e->pc.bytes_in);
	ck_pr_store_64(&e->cost.bytes_out, e->pc.bytes_out);
	ck_pr_store_64(&e->cost.requests, e->pc.requests);
}

static void *control_main(void *arg)
{
	struct entry *e = arg;
	const struct entry_shared_opts *o = &e->deploy->entry;
	int64_t next_conf = 0, next_members = 0, next_beat = 0;

	e->snapshot_seen_ms = clock_ms();
	while (!ck_pr_load_uint(&e->stopping)) {
		int64_t now = clock_ms();

		if (now >= next_beat) {
			heartbeat(e, "live");
			next_beat = now + o->heartbeat_ms;
		}
		if (now >= next_members) {
			poll_members(e);
			next_members = now + o->member_poll_ms;
		}
		if (now >= next_conf) {
			poll_config(e);
			maybe_snapshot(e, now);
			next_conf = now + o->config_poll_ms;
		}
		account_cost(e);
		usleep(CONTROL_TICK_MS * 1000);
	}
	return NULL;
}

/* entry_start_control() starts the control thread. */
int entry_start_control(struct entry *e)
{
	return -pthread_create(&e->control, NULL, control_main, e);
}

/*
 * entry_leave() tells the member list this entry is leaving, so callers
 * that ask stop being sent here; used at the start of a planned stop.
 */
void entry_leave(struct entry *e)
{
	ck_pr_store_uint(&e->stopping, 1);
	pthread_join(e->control, NULL);
	heartbeat(e, "leaving");
}

/* entry_free() releases the pools and clients. */
void entry_free(struct entry *e)
{
	plat_close(&e->pc);
	backend_free(&e->backend);
	dedup_free(&e->dedup);
	conf_free(&e->conf);
	g_free(e->entries_json);
	g_free(e->services);
}
