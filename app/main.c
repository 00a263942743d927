/*
 * mimosapitch: one binary for all roles, one role per process. The first
 * argument selects the role; popt parses the rest. A process with invalid
 * settings doesn't start.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <popt.h>

#include "app/instance.h"
#include "common/event.h"
#include "options/deploy.h"
#include "options/instance.h"
#include "options/settings.h"
#include "stand/stand.h"
#include "tools/tools.h"

enum { EXIT_USAGE = 64, EXIT_SOFTWARE = 70, EXIT_CONFIG = 78 };

static const char usage_text[] =
	"usage: mimosapitch ROLE [OPTIONS]\n"
	"  instance [--settings FILE]  an entry instance on the platform; the\n"
	"                              file's name may also stand in the\n"
	"                              environment as MIMOSAPITCH_CONFIG\n"
	"  check [--settings FILE]     check such settings and exit\n"
	"  explain ID < LOGS           one request's story from any logs\n"
	"on a local deployment (--deployment FILE; default: the embedded "
	"one):\n"
	"  entry --name NAME           an entry instance\n"
	"  ctl show | log | status | workspaces | evacuations\n"
	"  ctl patch [--base N] [--unset K,..] [--wait] K=V ..\n"
	"                              the operator's command line\n"
	"  store                       stand-in: the platform's store\n"
	"  backend --service S --index I [--seed N]\n"
	"                              stand-in: a backend server\n"
	"  operator --version N [WORKSPACE:RATE:BURST:KEY,..] ..\n"
	"                              stand-in: writes a configuration\n"
	"  callers [--seconds N] [--rate N] [--concurrency N] [--seed N] KEY "
	"..\n"
	"                              stand-in: callers with keys\n"
	"  crowd [--name ENTRY] [--seconds N] [--concurrency N] KIND PORT\n"
	"                              stand-in: clients that don't behave;\n"
	"                              idle, head, body, unread, slow, row or\n"
	"                              leave; callers, ready, directory, "
	"metrics,\n"
	"                              peers, tunnels or own\n"
	"  operator --evacuate DC | --restore DC\n"
	"                              stand-in: evacuates a data centre, or\n"
	"                              takes that back\n"
	"  fill --index FROM --version TO\n"
	"                              stand-in: entries of servers that are\n"
	"                              not there, to measure their cost\n"
	"  proxy [--service S]         stand-in: harms connections to the "
	"store\n"
	"                              or to the servers of a service\n"
	"  load [--seconds N] [--rate N] [--concurrency N] [--seed N]\n"
	"       [--service S] [--tenant T] [--direct] [--entries N]\n"
	"                              the load and experiment tool\n"
	"  check-deployment            check the deployment and exit\n"
	"  default-deployment          print the embedded default\n";

struct cli {
	char *settings, *deployment, *name, *service, *unset, *tenant;
	char *evacuate, *restore;
	int index, seed, base, last, wait, seconds, rate, concurrency, direct,
		patient;
	int entries;
	int version, from_operator;
};

/* Parses the arguments after the role. Returns 0 or -EINVAL. */
static int parse(int argc, const char **argv, struct cli *o, char ***rest)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, &o->settings, 0,
		 "settings of an instance (INI)", "FILE"},
		{"deployment", 'd', POPT_ARG_STRING, &o->deployment, 0,
		 "a local deployment (INI)", "FILE"},
		{"name", 'n', POPT_ARG_STRING, &o->name, 0, "entry name",
		 "NAME"},
		{"from-operator", 0, POPT_ARG_NONE, &o->from_operator, 0,
		 "entry: use the users' operator's configuration", NULL},
		{"service", 0, POPT_ARG_STRING, &o->service, 0, "service", "S"},
		{"index", 'i', POPT_ARG_INT, &o->index, 0, "server index", "I"},
		{"seed", 0, POPT_ARG_INT, &o->seed, 0, "random seed", "N"},
		{"base", 'b', POPT_ARG_INT, &o->base, 0,
		 "version that the patch is based on", "N"},
		{"version", 0, POPT_ARG_INT, &o->version, 0,
		 "operator: version to write", "N"},
		{"evacuate", 0, POPT_ARG_STRING, &o->evacuate, 0,
		 "operator: data centre to evacuate", "DC"},
		{"restore", 0, POPT_ARG_STRING, &o->restore, 0,
		 "operator: data centre that is no longer evacuated", "DC"},
		{"unset", 0, POPT_ARG_STRING, &o->unset, 0, "keys to remove",
		 "K,.."},
		{"wait", 'w', POPT_ARG_NONE, &o->wait, 0,
		 "wait until every entry has applied it", NULL},
		{"last", 0, POPT_ARG_INT, &o->last, 0, "versions to list", "N"},
		{"seconds", 0, POPT_ARG_INT, &o->seconds, 0, "run time", "N"},
		{"rate", 0, POPT_ARG_INT, &o->rate, 0, "calls per second", "N"},
		{"concurrency", 0, POPT_ARG_INT, &o->concurrency, 0,
		 "maximum concurrent calls", "N"},
		{"entries", 0, POPT_ARG_INT, &o->entries, 0,
		 "call only the first N listed entries", "N"},
		{"patient", 0, POPT_ARG_INT, &o->patient, 0,
		 "load: calls with a time limit of 8 s", "PCT"},
		{"direct", 0, POPT_ARG_NONE, &o->direct, 0,
		 "load: call the servers directly (baseline)", NULL},
		{"tenant", 0, POPT_ARG_STRING, &o->tenant, 0,
		 "only this tenant", "T"},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext pc = poptGetContext("mimosapitch", argc, argv, table, 0);
	int rc = poptGetNextOpt(pc);

	if (rc < -1)
		fprintf(stderr, "mimosapitch: %s: %s\n",
			poptBadOption(pc, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
	else
		*rest = g_strdupv((char **)poptGetArgs(pc));
	poptFreeContext(pc);
	return rc < -1 ? -EINVAL : 0;
}

/* Checks the arguments of ctl and runs it. */
static int run_ctl(const struct deploy *d, struct cli *o, char **rest)
{
	static const char *const commands[] = {
		"show",	      "log",	     "patch", "status",
		"workspaces", "evacuations", NULL};
	struct ctl_args a = {.base = o->base,
			     .last = o->last ? o->last : 10,
			     .wait = o->wait};

	if (!rest || !rest[0] || !g_strv_contains(commands, rest[0])) {
		fputs(usage_text, stderr);
		return -EINVAL;
	}
	a.cmd = rest[0];
	a.set_kv = rest + 1;
	a.unset = o->unset ? g_strsplit(o->unset, ",", -1) : NULL;
	if (!strcmp(a.cmd, "patch") && !a.set_kv[0] && !a.unset) {
		fprintf(stderr, "ctl patch: nothing to change\n");
		return -EINVAL;
	}
	return ctl_main(d, &a);
}

/* Runs the load generator; 0 stands for an option's default. */
static int run_load(const struct deploy *d, const struct cli *o)
{
	struct load_args a = {
		.seconds = o->seconds ? o->seconds : 10,
		.rate = o->rate ? o->rate : 500,
		.concurrency = o->concurrency ? o->concurrency : 64,
		.seed = (unsigned)o->seed,
		.only_tenant = o->tenant,
		.only_service = o->service,
		.direct = o->direct,
		.entry = o->name,
		.entries = o->entries,
		.patient_pct = o->patient,
	};

	return load_main(d, &a);
}

/* settings_source.load for an entry of a local deployment. */
static int reload_deployment(void *priv, struct instance_settings *out)
{
	const struct cli *o = priv;
	struct deploy d;
	int rc = deploy_load(o->deployment, &d);

	return rc ? rc : instance_settings_from_deploy(&d, o->name, out);
}

/* Runs an entry instance of a local deployment. */
static int run_entry(const struct deploy *d, struct cli *o)
{
	struct settings_source source = {reload_deployment, o};
	struct instance_settings s;
	int rc;

	o->name = o->name ? o->name : "e1";
	rc = instance_settings_from_deploy(d, o->name, &s);
	mp_log_to_stdout();
	if (rc)
		return rc;
	return instance_run(&s, &source, o->from_operator ? NULL : d, d);
}

/* Runs the stand-in operator. */
static int run_operator(const struct deploy *d, const struct cli *o,
			char **workspaces)
{
	if (o->evacuate)
		return stand_evacuate_main(d, o->evacuate, true);
	if (o->restore)
		return stand_evacuate_main(d, o->restore, false);
	return stand_operator_main(d, (uint64_t)o->version, workspaces);
}

/* Runs the stand-in callers; 0 stands for an option's default. */
static int run_callers(const struct deploy *d, const struct cli *o, char **keys)
{
	struct callers_args a = {
		.seconds = o->seconds ? o->seconds : 10,
		.rate = o->rate ? o->rate : 100,
		.connections = o->concurrency ? o->concurrency : 64,
		.seed = (unsigned)o->seed,
		.keys = keys,
	};

	return stand_callers_main(d, &a);
}

/* Runs clients that don't behave. */
static int run_crowd(const struct deploy *d, const struct cli *o, char **rest)
{
	struct crowd_args a = {
		.entry = o->name ? o->name : "e1",
		.behaviour = rest[0],
		.port = rest[1],
		.seconds = o->seconds ? o->seconds : 10,
		.connections = o->concurrency ? o->concurrency : 64,
	};

	return stand_crowd_main(d, &a);
}

/* Runs a role of a local deployment. */
static int run_local(const char *role, struct cli *o, char **rest)
{
	struct deploy d;

	if (deploy_load(o->deployment, &d))
		return EXIT_CONFIG;
	if (!strcmp(role, "entry"))
		return run_entry(&d, o);
	if (!strcmp(role, "store"))
		return stand_store_main(&d);
	if (!strcmp(role, "operator"))
		return run_operator(&d, o, rest);
	if (!strcmp(role, "callers") && rest && rest[0])
		return run_callers(&d, o, rest);
	if (!strcmp(role, "crowd") && rest && rest[0] && rest[1])
		return run_crowd(&d, o, rest);
	if (!strcmp(role, "fill"))
		return stand_fill_main(&d, o->index, o->version);
	if (!strcmp(role, "backend") && o->service)
		return stand_backend_main(&d, o->service, o->index,
					  (unsigned)o->seed);
	if (!strcmp(role, "proxy"))
		return stand_proxy_main(&d, o->service, o->name);
	if (!strcmp(role, "ctl"))
		return run_ctl(&d, o, rest);
	if (!strcmp(role, "load"))
		return run_load(&d, o);
	if (!strcmp(role, "check-deployment"))
		return 0;
	fputs(usage_text, stderr);
	return -EINVAL;
}

/* settings_source.load for an instance on the platform. */
static int reload_file(void *priv, struct instance_settings *out)
{
	return instance_settings_load(priv, out);
}

/* Runs an instance on the platform, or validates its settings. */
static int run_on_platform(const char *role, const struct cli *o)
{
	const char *path =
		o->settings ? o->settings : getenv("MIMOSAPITCH_CONFIG");
	struct settings_source source = {reload_file, (void *)path};
	struct instance_settings s;

	mp_log_to_stdout();
	if (instance_settings_load(path, &s))
		return EXIT_CONFIG;
	return strcmp(role, "check") ? instance_run(&s, &source, NULL, NULL)
				     : 0;
}

/*
 * Exit status: 0 success, 1 patch rejected, 2 unknown outcome, 64 usage,
 * 70 internal error, 78 invalid settings.
 */
int main(int argc, const char **argv)
{
	struct cli o = {.base = -1};
	char **rest = NULL;
	int rc;

	if (argc < 2 || !strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		fputs(usage_text, argc < 2 ? stderr : stdout);
		return argc < 2 ? EXIT_USAGE : 0;
	}
	if (!strcmp(argv[1], "default-deployment")) {
		fputs(settings_default_ini, stdout);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	mp_log_init(argv[1]);
	if (parse(argc - 1, argv + 1, &o, &rest))
		return EXIT_USAGE;
	if (!strcmp(argv[1], "explain") && rest && rest[0])
		rc = explain_main(rest[0]);
	else if (!strcmp(argv[1], "instance") || !strcmp(argv[1], "check"))
		rc = run_on_platform(argv[1], &o);
	else
		rc = run_local(argv[1], &o, rest);
	if (rc < 0 && rc != -EINVAL)
		fprintf(stderr, "mimosapitch %s: %s\n", argv[1],
			g_strerror(-rc));
	if (rc < 0)
		return rc == -EINVAL ? EXIT_USAGE : EXIT_SOFTWARE;
	return rc;
}
