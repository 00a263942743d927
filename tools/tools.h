/*
 * The operator's command line (ctl) and the load and experiment tool
 * (load). Both are clients only: they speak to the platform and to entry
 * instances over the same interfaces any operator or caller would.
 */
#ifndef MP_TOOLS_TOOLS_H
#define MP_TOOLS_TOOLS_H

#include "options/deploy.h"

struct ctl_args {
	const char *cmd; /* show, patch, log, status */
	int64_t base;	 /* -1: the live version */
	char **set_kv;	 /* key=value items */
	char **unset;	 /* keys */
	int last;	 /* for log */
	int wait;	 /* patch: wait until every entry has it */
};

int ctl_main(const struct deploy *d, const struct ctl_args *a);

int explain_main(const char *id);

struct load_args {
	int seconds;
	int rate; /* calls a second, all services together */
	int concurrency;
	unsigned seed;
	const char *only_tenant;  /* NULL: both */
	const char *only_service; /* NULL: all */
	int direct;		  /* call workers straight, no entry */
	int entries;		  /* call the first of the list; 0: all */
};

int load_main(const struct deploy *d, const struct load_args *a);

#endif
