#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "core/policy.h"
#include "options/deploy.h"
#include "options/settings.h"

#define P(f) offsetof(struct platform_opts, f)
static const struct opt_def platform_defs[] = {
	{"listen", OPT_ADDR, P(listen), "127.0.0.1:7000", 0, 0},
	{"dc", OPT_STR, P(dc), "hala-cluj", 0, 0},
	{"append_limit_per_s", OPT_INT, P(append_limit_per_s), "300", 1,
	 100000},
	{"member_ttl_ms", OPT_INT, P(member_ttl_ms), "5000", 100, 600000},
	OPT_END,
};
#undef P

#define E(f) offsetof(struct entry_shared_opts, f)
static const struct opt_def entry_shared_defs[] = {
	{"platform", OPT_ADDR, E(platform), "127.0.0.1:7000", 0, 0},
	{"answer_ttl_s", OPT_INT, E(answer_ttl_s), "30", 1, 3600},
	{"policy", OPT_STR, E(policy), "load", 0, 0},
	{"deadline_ms", OPT_INT, E(deadline_ms), "1000", 1, 600000},
	{"retry_budget_pct", OPT_INT, E(retry_budget_pct), "10", 0, 100},
	{"grace_s", OPT_INT, E(grace_s), "6", 1, 600},
	{"log_level", OPT_STR, E(log_level), "info", 0, 0},
	{"memory_mb", OPT_INT, E(memory_mb), "0", 0, 1 << 20},
	OPT_END,
};
#undef E

#define S(f) offsetof(struct service_opts, f)
static const struct opt_def service_defs[] = {
	{"tenant", OPT_STR, S(tenant), NULL, 0, 0},
	{"workers", OPT_INT, S(workers), NULL, 1, 1000},
	{"slots", OPT_INT, S(slots), "2", 1, 1024},
	{"connections", OPT_INT, S(connections), "220", 1, 100000},
	{"base_port", OPT_INT, S(base_port), NULL, 1024, 65000},
	{"proxy_offset", OPT_INT, S(proxy_offset), "0", 0, 30000},
	{"work_ms", OPT_INT, S(work_ms), "4", 0, 60000},
	{"cold_per_s", OPT_INT, S(cold_per_s), "0", 0, 100000},
	{"protected", OPT_BOOL, S(protected_action), "false", 0, 0},
	{"hangs", OPT_BOOL, S(hangs), "false", 0, 0},
	{"fatal_word", OPT_STR, S(fatal_word), "", 0, 0},
	{"dcs", OPT_LIST, S(dcs), "hala-cluj", 0, 0},
	OPT_END,
};
#undef S

#define N(f) offsetof(struct entry_opts, f)
static const struct opt_def entry_defs[] = {
	{"listen", OPT_ADDR, N(listen), NULL, 0, 0},
	{"dc", OPT_STR, N(dc), NULL, 0, 0},
	{"server_host", OPT_STR, N(server_host), "", 0, 0},
	OPT_END,
};
#undef N

static const char *const static_groups[] = {"platform", "entry", NULL};

/* Reads the [service.*] and [entry.*] groups and reports unknown ones. */
static void read_groups(struct settings *s, struct deploy *d,
			struct findings *f)
{
	gchar **groups = g_key_file_get_groups(s->kf, NULL);

	for (gchar **g = groups; *g; g++) {
		if (g_str_has_prefix(*g, "service.")) {
			struct service_opts *svc =
				g_new0(struct service_opts, 1);

			svc->name = g_strdup(*g + strlen("service."));
			settings_read_group(s, *g, service_defs, svc, f);
			g_ptr_array_add(d->services, svc);
		} else if (g_str_has_prefix(*g, "entry.")) {
			struct entry_opts *en = g_new0(struct entry_opts, 1);

			en->name = g_strdup(*g + strlen("entry."));
			settings_read_group(s, *g, entry_defs, en, f);
			g_ptr_array_add(d->entries, en);
		} else if (!g_strv_contains(static_groups, *g)) {
			findings_add(f, s->path,
				     settings_find_line(s->text, *g, NULL),
				     NULL, "unknown section [%s]", *g);
		}
	}
	g_strfreev(groups);
}

/* Checks constraints that go beyond a single key's type and range. */
static void cross_check(struct settings *s, struct deploy *d,
			struct findings *f)
{
	if (d->services->len == 0)
		findings_add(f, s->path, 0, NULL, "no [service.*] section");
	if (d->entries->len == 0)
		findings_add(f, s->path, 0, NULL, "no [entry.*] section");
	if (!place_policy_find(d->entry.policy))
		findings_add(f, s->path,
			     settings_find_line(s->text, "entry", "policy"),
			     "policy",
			     "'%s' is not load, p2c, least, rr or random",
			     d->entry.policy);
}

/*
 * deploy_read() reads the deployment from path (NULL: the embedded default) and
 * adds all errors to f. d must only be used if there are none.
 */
void deploy_read(const char *path, struct deploy *d, struct findings *f)
{
	struct settings s;

	memset(d, 0, sizeof(*d));
	d->services = g_ptr_array_new();
	d->entries = g_ptr_array_new();
	if (settings_open(&s, path, settings_default_ini, f) == 0) {
		settings_read_group(&s, "platform", platform_defs, &d->platform,
				    f);
		settings_read_group(&s, "entry", entry_shared_defs, &d->entry,
				    f);
		read_groups(&s, d, f);
		cross_check(&s, d, f);
	}
	settings_close(&s);
}

/*
 * deploy_load() calls deploy_read() and logs the findings. Returns 0, or
 * -EINVAL if there are any, in which case d must not be used.
 */
int deploy_load(const char *path, struct deploy *d)
{
	struct findings f;
	int ret;

	findings_init(&f);
	deploy_read(path, d, &f);
	ret = findings_report(&f);
	findings_clear(&f);
	return ret;
}

/* deploy_service() returns a service by name, or NULL. */
const struct service_opts *deploy_service(const struct deploy *d,
					  const char *name)
{
	for (guint i = 0; i < d->services->len; i++) {
		const struct service_opts *svc = d->services->pdata[i];

		if (!strcmp(svc->name, name))
			return svc;
	}
	return NULL;
}

/* deploy_entry() returns an entry instance by name, or NULL. */
const struct entry_opts *deploy_entry(const struct deploy *d, const char *name)
{
	for (guint i = 0; i < d->entries->len; i++) {
		const struct entry_opts *en = d->entries->pdata[i];

		if (!strcmp(en->name, name))
			return en;
	}
	return NULL;
}

/*
 * deploy_worker_advertised_addr() formats the address that worker index
 * registers: its proxy's, if the service has one. Returns 0 or -ERANGE.
 */
int deploy_worker_advertised_addr(const struct service_opts *svc, int index,
				  char *buf, size_t len)
{
	return deploy_worker_proxy_addr(svc, index, "127.0.0.1", buf, len);
}

/*
 * deploy_worker_proxy_addr() formats the address of a proxy to worker index at
 * `host`, with the port that the worker registers. Returns 0 or -ERANGE.
 */
int deploy_worker_proxy_addr(const struct service_opts *svc, int index,
			     const char *host, char *buf, size_t len)
{
	if (index < 0 || index >= svc->workers)
		return -ERANGE;
	snprintf(buf, len, "%s:%d", host,
		 svc->base_port + svc->proxy_offset + index);
	return 0;
}

/*
 * deploy_worker_addr() formats the loopback address of worker index. Returns 0,
 * or -ERANGE if the service has no such worker.
 */
int deploy_worker_addr(const struct service_opts *svc, int index, char *buf,
		       size_t len)
{
	if (index < 0 || index >= svc->workers)
		return -ERANGE;
	snprintf(buf, len, "127.0.0.1:%d", svc->base_port + index);
	return 0;
}
