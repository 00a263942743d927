/*
 * mimosapitch, as it runs on the users' machines: one entry instance a
 * process, a control thread (the main one) and a traffic thread.
 */
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <popt.h>

#include "common/event.h"
#include "control/control.h"
#include "traffic/traffic.h"

enum { EXIT_USAGE = 64, EXIT_SOFTWARE = 70, EXIT_CONFIG = 78 };

static const char usage_text[] =
	"usage: mimosapitch instance|check [--settings FILE]\n"
	"  instance   run an entry instance\n"
	"  check      check the settings and exit\n"
	"FILE: INI; without it the file that MIMOSAPITCH_CONFIG names\n";

/*
 * Finds the settings file: the option's, or the one that the environment
 * names. Returns 0 or -EINVAL for a bad option.
 */
static int settings_path(int argc, const char **argv, char **path)
{
	struct poptOption table[] = {
		{"settings", 's', POPT_ARG_STRING, path, 0,
		 "settings file (INI)", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND,
	};
	poptContext pc = poptGetContext("mimosapitch", argc, argv, table, 0);
	int rc = poptGetNextOpt(pc);

	if (rc < -1)
		fprintf(stderr, "mimosapitch: %s: %s\n", poptBadOption(pc, 0),
			poptStrerror(rc));
	poptFreeContext(pc);
	if (rc < -1)
		return -EINVAL;
	if (!*path)
		*path = g_strdup(getenv("MIMOSAPITCH_CONFIG"));
	return 0;
}

/* Starts both threads and waits for the planned stop. */
static int run(const struct instance_settings *s)
{
	static struct control control;
	static struct traffic traffic;
	pthread_t thread;

	signal(SIGPIPE, SIG_IGN);
	if (control_init(&control, s, &traffic.in) ||
	    traffic_init(&traffic, s, &control.fresh_ms, &control.in))
		return EXIT_SOFTWARE;
	mp_event(EV_STARTED, G_LOG_LEVEL_MESSAGE,
		 "instance=%s dc=%s callers=%s drain_ms=%g config_ms=%g "
		 "grace_s=%g retry=%gx+%g/%gs keep_s=%g asks_s=%g",
		 s->name, s->dc, s->callers, s->bounds.drain_ms,
		 s->bounds.config_ms, s->bounds.grace_s,
		 s->bounds.retry_ratio, s->bounds.retry_slack,
		 s->bounds.retry_window_s, s->bounds.directory_keep_s,
		 s->bounds.questions_per_s);
	if (pthread_create(&thread, NULL, traffic_run, &traffic))
		return EXIT_SOFTWARE;
	control_run(&control);
	pthread_join(thread, NULL);
	return 0;
}

int main(int argc, const char **argv)
{
	static struct instance_settings settings;
	char *path = NULL;
	bool check;

	if (argc < 2 ||
	    (strcmp(argv[1], "instance") && strcmp(argv[1], "check"))) {
		fputs(usage_text, stderr);
		return EXIT_USAGE;
	}
	check = !strcmp(argv[1], "check");
	mp_log_init(argv[1]);
	mp_log_to_stdout();
	if (settings_path(argc - 1, argv + 1, &path))
		return EXIT_USAGE;
	if (instance_settings_load(path, &settings))
		return EXIT_CONFIG;
	return check ? 0 : run(&settings);
}
