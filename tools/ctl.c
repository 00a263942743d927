#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#include "conf/reader.h"
#include "misc/clock.h"
#include "misc/http.h"
#include "tools/tools.h"

enum {
	CTL_TIMEOUT_MS = 2000,
	CTL_RESOLVE_TRIES = 20, /* reads to find our own record, 250 ms apart */
	CTL_WAIT_MS = 10000,
	CTL_EXIT_REJECTED = 1,
	CTL_EXIT_UNKNOWN = 2,
	CTL_EXIT_UNREACHABLE = 3, /* nothing was sent */
};

struct ctl_fold {
	struct conf_state st;
	const char *id;		/* the patch we look for, or NULL */
	int64_t found_at;	/* its offset, -1 until seen */
	enum fold_result found; /* what it did */
	int64_t version_after;
};

static void on_record(void *ctx, int64_t offset, JsonObject *rec)
{
	struct ctl_fold *cf = ctx;
	enum fold_result r = conf_fold(&cf->st, offset, rec);

	if (cf->id && cf->found_at < 0 && conf_record_is(rec, cf->id)) {
		cf->found_at = offset;
		cf->found = r;
		cf->version_after = cf->st.version;
	}
}

static int fold_all(struct plat_client *pc, struct ctl_fold *cf)
{
	return conf_read_new(&cf->st, pc, on_record, NULL, cf);
}

static void print_values(const struct conf_state *st)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(st->values),
				  (GCompareFunc)strcmp);

	for (GList *k = keys; k; k = k->next)
		printf("  %s = %s\n", (char *)k->data,
		       (char *)g_hash_table_lookup(st->values, k->data));
	g_list_free(keys);
}

/* Polls every entry's live version until it reaches version, or timeout. */
static int wait_everywhere(const struct deploy *d, int64_t version)
{
	int64_t t0 = clock_ms();
	CURL *c = http_handle();
	guint have = 0;

	while (clock_ms() - t0 < CTL_WAIT_MS && have < d->entries->len) {
		have = 0;
		for (guint i = 0; i < d->entries->len; i++) {
			const struct entry_opts *en = d->entries->pdata[i];
			char url[96];
			struct http_reply r;

			snprintf(url, sizeof(url), "http://%s/admin/metrics",
				 en->listen);
			http_reply_init(&r);
			if (!http_do(c, "GET", url, NULL, 0, NULL, 500, &r)) {
				const char *v =
					strstr(r.body->str, "\"version\":");

				if (v && g_ascii_strtoll(v + 10, NULL, 10) >=
						 version)
					have++;
			}
			http_reply_clear(&r);
		}
		if (have < d->entries->len)
			usleep(20000);
	}
	curl_easy_cleanup(c);
	printf("in force on %u of %u entries after %lld ms\n", have,
	       d->entries->len, (long long)(clock_ms() - t0));
	return have == d->entries->len ? 0 : -ETIMEDOUT;
}

/*
 * Appends the patch and learns what became of it. The append's answer can
 * be lost after the append took effect, so the outcome is always read back
 * from the log by the patch's id; only when the id is surely absent is the
 * patch sent again (same id, so a late first copy is not applied twice:
 * the second copy's base is then stale).
 */
static int do_patch(const struct deploy *d, struct plat_client *pc,
		    struct ctl_fold *cf, const struct ctl_args *a)
{
	int64_t base = a->base >= 0 ? a->base : cf->st.version;
	char *id = g_uuid_string_random();
	char *rec = conf_patch_json(id, base, a->set_kv, a->unset);
	int ret = -EIO;

	if (!rec) {
		fprintf(stderr, "ctl: each change is key=value\n");
		g_free(id);
		return -EINVAL;
	}
	cf->id = id;
	cf->found_at = -1;
	plat_append(pc, conf_stream, rec, NULL);
	for (int i = 0; i < CTL_RESOLVE_TRIES; i++) {
		ret = fold_all(pc, cf);
		if (cf->found_at >= 0)
			break;
		/*
		 * The whole log was read and our record is not in it: send it
		 * again. Should the first copy still land later, the second
		 * is folded as stale and rejected, so it never applies twice.
		 */
		if (ret == 0)
			plat_append(pc, conf_stream, rec, NULL);
		usleep(250000);
	}
	g_free(rec);
	g_free(id);
	if (cf->found_at < 0) {
		printf("unknown: the log did not answer; run 'ctl show' "
		       "later\n");
		return CTL_EXIT_UNKNOWN;
	}
	if (cf->found != FOLD_ACCEPTED) {
		printf("rejected: patch against version %lld, but version "
		       "%lld was live\nlook with 'ctl show', then patch "
		       "again\n",
		       (long long)base, (long long)cf->version_after);
		return CTL_EXIT_REJECTED;
	}
	printf("accepted: version %lld at offset %lld\n",
	       (long long)cf->version_after, (long long)cf->found_at);
	if (a->wait && wait_everywhere(d, cf->version_after))
		return CTL_EXIT_UNKNOWN;
	return 0;
}

static void on_nothing(void *ctx, int64_t offset, JsonObject *rec)
{
}

static void on_log_record(void *ctx, int64_t offset, JsonObject *rec)
{
	struct ctl_fold *cf = ctx;
	int64_t before = cf->st.version;
	enum fold_result r = conf_fold(&cf->st, offset, rec);
	const char *kind =
		json_object_get_string_member_with_default(rec, "kind", "?");

	if (offset < cf->found_at)
		return;
	if (r == FOLD_ACCEPTED)
		printf("%6lld  v%lld -> v%lld  patch %.8s\n", (long long)offset,
		       (long long)before, (long long)cf->st.version,
		       json_object_get_string_member_with_default(rec, "id",
								  "?"));
	else
		printf("%6lld  %s%s\n", (long long)offset, kind,
		       r == FOLD_REJECTED ? " (rejected: stale base)" : "");
}

/*
 * ctl_main() runs one operator command; output fits a phone screen.
 * Returns 0, 1 for a rejected patch, 2 for an unknown outcome, 3 when the
 * platform's log cannot be read (nothing was sent), or a negative errno.
 */
int ctl_main(const struct deploy *d, const struct ctl_args *a)
{
	struct plat_client pc;
	struct ctl_fold cf = {.found_at = -1};
	int ret;

	conf_init(&cf.st);
	ret = plat_open(&pc, d->entry.platform, CTL_TIMEOUT_MS);
	if (ret)
		return ret;
	if (!strcmp(a->cmd, "log")) {
		int64_t first = 0, next = 0;

		ret = plat_read(&pc, conf_stream, 0, 0, on_nothing, NULL,
				&first, &next);
		cf.found_at = next - a->last;
		if (ret == 0 || ret == -ERANGE)
			ret = conf_read_new(&cf.st, &pc, on_log_record, NULL,
					    &cf);
	} else {
		ret = fold_all(&pc, &cf);
	}
	if (ret) {
		printf("not sent: the platform's log cannot be read (%s)\n",
		       g_strerror(-ret));
		ret = CTL_EXIT_UNREACHABLE;
	} else if (!strcmp(a->cmd, "show")) {
		printf("live version %lld%s\n", (long long)cf.st.version,
		       cf.st.synced ? "" : " (no snapshot yet; unknown)");
		print_values(&cf.st);
	} else if (!strcmp(a->cmd, "patch")) {
		ret = do_patch(d, &pc, &cf, a);
	}
	plat_close(&pc);
	conf_free(&cf.st);
	return ret;
}
