/*
 * mimosapitch: one binary, one role per process. The first word names the
 * role; popt reads the rest. Every role reads the same settings file (or
 * the embedded default) and refuses to start on any finding.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <popt.h>

#include "common/event.h"
#include "common/signals.h"
#include "entry/run.h"
#include "options/deploy.h"
#include "options/settings.h"
#include "stand/stand.h"
#include "tools/tools.h"

static const char usage_text[] =
	"usage: mimosapitch ROLE [OPTIONS]\n"
	"roles:\n"
	"  entry --name NAME          an entry instance\n"
	"  platform                   the platform stand-in (log, members)\n"
	"  worker --service S --index I [--seed N]\n"
	"                             a backend worker stand-in\n"
	"  ctl show | log | patch [--base N] [--unset K,..] [--wait] K=V ..\n"
	"                             the operator's command line\n"
	"  load [--seconds N] [--rate N] [--concurrency N] [--seed N]\n"
	"       [--service S] [--tenant T] [--direct]\n"
	"                             the load and experiment tool\n"
	"  check                      check the settings and exit\n"
	"  default-settings           print the embedded default settings\n"
	"every role takes --settings FILE (default: the embedded one)\n";

struct cli {
	char *settings, *name, *service, *unset, *tenant;
	int index, seed, base, last, wait, seconds, rate, concurrency, direct;
};

/* Parses argv after the role word; returns 0 or -EINVAL. */
static int parse(int argc, const char **argv, struct cli *o, const char ***rest)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "settings file (INI)", "FILE"},
		{"name", 'n', POPT_ARG_STRING, &o->name, 0, "entry name",
		 "NAME"},
		{"service", 0, POPT_ARG_STRING, &o->service, 0, "service", "S"},
		{"index", 'i', POPT_ARG_INT, &o->index, 0, "worker index", "I"},
		{"seed", 0, POPT_ARG_INT, &o->seed, 0, "random seed", "N"},
		{"base", 'b', POPT_ARG_INT, &o->base, 0,
		 "version the patch is made against", "N"},
		{"unset", 0, POPT_ARG_STRING, &o->unset, 0, "keys to remove",
		 "K,.."},
		{"wait", 'w', POPT_ARG_NONE, &o->wait, 0,
		 "wait until every entry has it", NULL},
		{"last", 0, POPT_ARG_INT, &o->last, 0, "records to list", "N"},
		{"seconds", 0, POPT_ARG_INT, &o->seconds, 0, "run time", "N"},
		{"rate", 0, POPT_ARG_INT, &o->rate, 0, "calls a second", "N"},
		{"concurrency", 0, POPT_ARG_INT, &o->concurrency, 0,
		 "calls in flight at most", "N"},
		{"direct", 0, POPT_ARG_NONE, &o->direct, 0,
		 "load: call the workers straight (a baseline)", NULL},
		{"tenant", 0, POPT_ARG_STRING, &o->tenant, 0,
		 "only this tenant", "T"},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext pc = poptGetContext("mimosapitch", argc, argv, table, 0);
	int rc;

	while ((rc = poptGetNextOpt(pc)) > 0)
		;
	if (rc < -1) {
		fprintf(stderr, "mimosapitch: %s: %s\n",
			poptBadOption(pc, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
		poptFreeContext(pc);
		return -EINVAL;
	}
	const char **args = poptGetArgs(pc);
	GPtrArray *copy = g_ptr_array_new();

	for (; args && *args; args++)
		g_ptr_array_add(copy, g_strdup(*args));
	g_ptr_array_add(copy, NULL);
	*rest = (const char **)g_ptr_array_free(copy, FALSE);
	poptFreeContext(pc);
	return 0;
}

static int run_ctl(const struct deploy *d, struct cli *o, const char **rest)
{
	struct ctl_args a = {.base = o->base,
			     .last = o->last ? o->last : 10,
			     .wait = o->wait};

	if (!rest[0] || (strcmp(rest[0], "show") && strcmp(rest[0], "log") &&
			 strcmp(rest[0], "patch"))) {
		fputs(usage_text, stderr);
		return -EINVAL;
	}
	a.cmd = rest[0];
	a.set_kv = (char **)rest + 1;
	a.unset = o->unset ? g_strsplit(o->unset, ",", -1) : NULL;
	if (!strcmp(a.cmd, "patch") && !a.set_kv[0] && !a.unset) {
		fprintf(stderr, "ctl patch: nothing to change\n");
		return -EINVAL;
	}
	return ctl_main(d, &a);
}

static int run_role(const char *role, const struct deploy *d, struct cli *o,
		    const char **rest)
{
	if (!strcmp(role, "entry"))
		return entry_run(d, o->name ? o->name : "e1");
	if (!strcmp(role, "platform"))
		return stand_platform_main(d);
	if (!strcmp(role, "worker")) {
		if (!o->service) {
			fprintf(stderr, "worker: --service is required\n");
			return -EINVAL;
		}
		return stand_worker_main(d, o->service, o->index,
					 (unsigned)o->seed);
	}
	if (!strcmp(role, "ctl"))
		return run_ctl(d, o, rest);
	if (!strcmp(role, "load")) {
		struct load_args a = {
			o->seconds ? o->seconds : 10,
			o->rate ? o->rate : 500,
			o->concurrency ? o->concurrency : 64,
			(unsigned)o->seed,
			o->tenant,
			o->service,
			o->direct,
		};
		return load_main(d, &a);
	}
	if (!strcmp(role, "check"))
		return 0;
	fputs(usage_text, stderr);
	return -EINVAL;
}

/* Exit status: 0 done, 1 a rejected patch, 2 unknown, 64 usage, 78 config. */
int main(int argc, const char **argv)
{
	struct cli o = {.base = -1};
	const char **rest = NULL;
	struct deploy d;
	int ret;

	if (argc < 2 || !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		fputs(usage_text, argc < 2 ? stderr : stdout);
		return argc < 2 ? 64 : 0;
	}
	if (!strcmp(argv[1], "default-settings")) {
		fputs(settings_default_ini, stdout);
		return 0;
	}
	const char *role = argv[1];

	mp_log_init(role);
	if (parse(argc - 1, argv + 1, &o, &rest))
		return 64;
	signals_block();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (deploy_load(o.settings, &d))
		return 78;
	ret = run_role(role, &d, &o, rest);
	if (ret < 0 && ret != -EINVAL)
		fprintf(stderr, "mimosapitch %s: %s\n", role, g_strerror(-ret));
	return ret == 0 ? 0 : ret > 0 ? ret : ret == -EINVAL ? 64 : 70;
}
