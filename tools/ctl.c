#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "conf/values.h"
#include "http/socket.h"
#include "misc/clock.h"
#include "platform/store.h"
#include "tools/ctl_evacuations.h"
#include "tools/ctl_workspaces.h"
#include "tools/fetch.h"
#include "tools/tools.h"

enum {
	RESOLVE_TRIES = 20, /* reads to find out if a patch was written */
	RESOLVE_PAUSE_US = 250 * 1000,
	WAIT_MS = 10000, /* for every entry to apply a version */
	WAIT_PAUSE_US = 20 * 1000,
	METRICS_TIMEOUT_MS = 500,
	EXIT_REJECTED = 1,
	EXIT_UNKNOWN = 2,
	EXIT_UNREACHABLE = 3, /* the store or an entry; nothing was written */
};

/* A store channel with blocking calls. */
struct ctl {
	const struct deploy *deploy;
	struct ev_loop *loop;
	struct store_endpoint endpoint;
	struct store_channel store;
	struct conf_values live;   /* the newest version */
	struct store_position end; /* of the topic at the last read */
	int err;		   /* result of the last call */
	int last;		   /* log: number of versions to print */
	bool print_log; /* print the records instead of decoding them */
	bool writing;	/* the pending call is a write */
};

/*
 * Decodes the newest version of the settings from a page of a listing. A write
 * is conditional on the end of the first page.
 */
static void decode_live(struct ctl *c, const struct store_result *r)
{
	if (!c->store.after.len) {
		conf_clear(&c->live);
		conf_init(&c->live);
		c->end = r->end;
	}
	for (size_t i = 0; i < r->nrecords && !c->err; i++) {
		if (lstr_eq(r->records[i].key, lstr0(CONF_KEY)))
			c->err = conf_read(r->records[i].value, &c->live);
	}
	if (r->incomplete && !c->live.version)
		c->err = -EPROTO;
}

/* Prints the last c->last versions of the topic, one per line. */
static void print_versions(struct ctl *c, const struct store_result *r)
{
	size_t skip = r->nrecords > (size_t)c->last
			      ? r->nrecords - (size_t)c->last
			      : 0;

	for (size_t i = skip; i < r->nrecords; i++) {
		struct conf_values v;

		conf_init(&v);
		if (conf_read(r->records[i].value, &v) == 0)
			printf("%6" PRIu64 "  v%" PRIu64 "  patch %.8s\n",
			       r->records[i].pos.offset, v.version, v.patch_id);
		conf_clear(&v);
	}
}

/* Handles the result of a store call and ends the wait. */
static void on_done(void *priv, const struct store_result *r)
{
	struct ctl *c = priv;

	c->err = r->err;
	if (!r->err && c->print_log)
		print_versions(c, r);
	else if (!r->err && !c->writing)
		decode_live(c, r);
	if (!c->err && r->more) {
		store_list(&c->store, CONF_TOPIC, r->last_key);
		return;
	}
	ev_break(c->loop, EVBREAK_ALL);
}

/* Runs the loop until the pending call is done. Returns its result. */
static int await_call(struct ctl *c)
{
	if (c->store.call != STORE_IDLE)
		ev_run(c->loop, 0);
	return c->err;
}

/* Reads the newest version into c->live. */
static int read_live(struct ctl *c)
{
	store_list(&c->store, CONF_TOPIC, LSTR(""));
	return await_call(c);
}

/* Appends c->live on condition that the topic still ends at c->end. */
static int write_live(struct ctl *c)
{
	struct buf record = {0};
	int rc;

	conf_write(&c->live, &record);
	store_append(&c->store, CONF_TOPIC, lstr0(CONF_KEY), buf_lstr(&record),
		     &c->end);
	buf_free(&record);
	c->writing = true;
	rc = await_call(c);
	c->writing = false;
	return rc;
}

/* Prints all settings, sorted by key. */
static void print_values(const struct conf_values *v)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(v->values),
				  (GCompareFunc)strcmp);

	for (GList *k = keys; k; k = k->next)
		printf("  %s = %s\n", (char *)k->data, conf_get(v, k->data));
	g_list_free(keys);
}

/* Returns the value of a metric, or -1 if the text doesn't have it. */
static double metric_value(const char *metrics, const char *name)
{
	char *key = g_strdup_printf("\n%s ", name);
	const char *at = strstr(metrics, key);
	double v = at ? g_ascii_strtod(at + strlen(key), NULL) : -1;

	g_free(key);
	return v;
}

/* Prints one line per entry instance, short enough for a phone's screen. */
static int print_status(const struct deploy *d)
{
	int unreachable = 0;

	printf("%-8s %7s %7s %5s %5s %5s\n", "entry", "version", "age_ms",
	       "peers", "open", "lost");
	for (guint i = 0; i < d->entries->len; i++) {
		const struct entry_opts *en = d->entries->pdata[i];
		struct buf body = {0};

		buf_add(&body, "\n", 1);
		if (fetch(en->listen, "GET", "/admin/metrics",
			  METRICS_TIMEOUT_MS, &body) != 200) {
			printf("%-8s no response\n", en->name);
			unreachable++;
			buf_free(&body);
			continue;
		}
		buf_add(&body, "", 1);
		/* Instances number the settings file as version 1. */
		printf("%-8s %7.0f %7.0f %5.0f %5.0f %5.0f\n", en->name,
		       metric_value(body.ptr, "config_version") - 1,
		       metric_value(body.ptr, "backend_list_age_ms"),
		       metric_value(body.ptr, "instances"),
		       metric_value(body.ptr, "open_requests"),
		       metric_value(body.ptr, "log_lines_lost"));
		buf_free(&body);
	}
	return unreachable ? EXIT_UNREACHABLE : 0;
}

/* Returns the version that an entry instance has applied; 0: unknown. */
static uint64_t applied_version(const struct entry_opts *en)
{
	static const char name[] = "config_version ";
	struct buf body = {0};
	uint64_t version = 0;
	const char *at;

	if (fetch(en->listen, "GET", "/admin/metrics", METRICS_TIMEOUT_MS,
		  &body) == 200) {
		buf_add(&body, "", 1);
		at = strstr(body.ptr, name);
		if (at)
			version = g_ascii_strtoull(at + strlen(name), NULL, 10);
	}
	buf_free(&body);
	return version;
}

/* Polls all entry instances until they applied a version; up to WAIT_MS. */
static int wait_all_entries(const struct deploy *d, uint64_t version)
{
	int64_t t0 = clock_ms();
	guint applied = 0;

	while (clock_ms() - t0 < WAIT_MS && applied < d->entries->len) {
		applied = 0;
		for (guint i = 0; i < d->entries->len; i++) {
			/* Instances number the settings file as version 1. */
			if (applied_version(d->entries->pdata[i]) >=
			    version + 1)
				applied++;
		}
		if (applied < d->entries->len)
			usleep(WAIT_PAUSE_US);
	}
	printf("applied by %u of %u entries after %" PRId64 " ms\n", applied,
	       d->entries->len, clock_ms() - t0);
	return applied == d->entries->len ? 0 : -ETIMEDOUT;
}

/*
 * Finds out whether a write without a response was applied: it was if the
 * newest version has its patch id, and never will be if another version was
 * written at its offset. Returns 0 if it was applied, -ESTALE if it was not,
 * -EAGAIN if it may be sent again, or -EIO if the store doesn't respond.
 */
static int resolve_write(struct ctl *c, const char *patch_id, uint64_t version,
			 struct store_position end)
{
	for (int i = 0; i < RESOLVE_TRIES; i++) {
		usleep(RESOLVE_PAUSE_US);
		if (read_live(c))
			continue;
		if (!strcmp(c->live.patch_id, patch_id))
			return 0;
		if (c->live.version >= version)
			return -ESTALE;
		/*
		 * Not written yet: send it again with the same condition. A
		 * condition on an earlier era of the store can't be met.
		 */
		if (store_position_cmp(c->end, end) == 0 ||
		    c->end.era != end.era)
			return -EAGAIN;
	}
	return -EIO;
}

/* Reports a patch whose base version is no longer live. */
static int print_rejected(uint64_t base, uint64_t live)
{
	printf("rejected: the patch has base version %" PRIu64
	       ", but version %" PRIu64
	       " is live; run 'ctl show', then patch again\n",
	       base, live);
	return EXIT_REJECTED;
}

/* Writes the patch; looks up a write without a response by its patch id. */
static int send_patch(struct ctl *c, const struct ctl_args *a, uint64_t base,
		      const char *id)
{
	int rc;

	do {
		struct store_position end = c->end;

		rc = conf_apply(&c->live, base, id, a->set_kv, a->unset);
		if (rc)
			return rc;
		rc = write_live(c);
		if (rc && rc != -ESTALE)
			rc = resolve_write(c, id, base + 1, end);
		else if (rc == -ESTALE && !read_live(c) &&
			 !strcmp(c->live.patch_id, id))
			rc = 0; /* an earlier attempt was applied */
	} while (rc == -EAGAIN);
	return rc;
}

/* Runs 'ctl patch'. Returns the exit status or -EINVAL. */
static int do_patch(struct ctl *c, const struct ctl_args *a)
{
	uint64_t base = a->base >= 0 ? (uint64_t)a->base : c->live.version;
	char *id = g_uuid_string_random();
	int rc = send_patch(c, a, base, id);

	g_free(id);
	if (rc == -ESTALE)
		return print_rejected(base, c->live.version);
	if (rc == -EINVAL) {
		fprintf(stderr, "ctl: each change is key=value\n");
		return rc;
	}
	if (rc) {
		printf("unknown: the store did not respond; run 'ctl show' "
		       "later\n");
		return EXIT_UNKNOWN;
	}
	printf("accepted: version %" PRIu64 "\n", base + 1);
	if (a->wait && wait_all_entries(c->deploy, base + 1))
		return EXIT_UNKNOWN;
	return 0;
}

/* Runs one command. Returns the exit status or a negative errno. */
static int run(struct ctl *c, const struct ctl_args *a)
{
	if (!strcmp(a->cmd, "status"))
		return print_status(c->deploy);
	if (!strcmp(a->cmd, "workspaces"))
		return ctl_print_workspaces(c->deploy) ? EXIT_UNREACHABLE : 0;
	if (!strcmp(a->cmd, "evacuations"))
		return ctl_print_evacuations(c->deploy) ? EXIT_UNREACHABLE : 0;
	if (read_live(c)) {
		printf("not sent: cannot read the store: %s\n",
		       g_strerror(-c->err));
		return EXIT_UNREACHABLE;
	}
	if (!strcmp(a->cmd, "patch"))
		return do_patch(c, a);
	if (!strcmp(a->cmd, "show")) {
		printf("live version %" PRIu64 "\n", c->live.version);
		print_values(&c->live);
		return 0;
	}
	c->print_log = true;
	c->last = a->last;
	store_read(&c->store, CONF_TOPIC,
		   (struct store_position){c->end.era, 0}, 0);
	if (await_call(c) == -ERANGE)
		printf("older versions were deleted; version %" PRIu64
		       " is live\n",
		       c->live.version);
	return 0;
}

/*
 * ctl_main() runs one operator command; its output fits a phone's screen.
 * Returns 0, 1 for a rejected patch, 2 for an unknown outcome, 3 if the store
 * can't be read (nothing was sent) or an entry doesn't respond to a status
 * request, or a negative errno.
 */
int ctl_main(const struct deploy *d, const struct ctl_args *a)
{
	struct ctl c = {.deploy = d};
	struct sockaddr_in addr;
	int rc = socket_parse_addr(d->entry.platform, &addr);

	if (rc)
		return rc;
	conf_init(&c.live);
	c.loop = ev_loop_new(EVFLAG_NOENV);
	store_endpoint_init(&c.endpoint, &addr, NULL, NULL);
	store_open(&c.store, c.loop, &c.endpoint, on_done, &c);
	rc = run(&c, a);
	store_cancel(&c.store);
	ev_loop_destroy(c.loop);
	conf_clear(&c.live);
	return rc;
}
