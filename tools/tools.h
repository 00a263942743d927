/*
 * Command line tools: the operator's client (ctl), the log reader (explain)
 * and the load generator (load). ctl and load use the same interfaces of the
 * platform and of entry instances as any operator or caller.
 */
#ifndef MP_TOOLS_TOOLS_H
#define MP_TOOLS_TOOLS_H

#include "options/deploy.h"

/* Command line of ctl. */
struct ctl_args {
	const char *cmd; /* show, patch, log, status, workspaces, ... */
	int64_t base;	 /* base version of a patch; -1: the live one */
	char **set_kv;	 /* key=value items to set */
	char **unset;	 /* keys to remove */
	int last;	 /* log: number of versions to print */
	int wait;	 /* patch: wait until every entry applied it */
};

int ctl_main(const struct deploy *d, const struct ctl_args *a);

int explain_main(const char *id);

/* Command line of load. */
struct load_args {
	int seconds;
	int rate;	 /* calls per second, over all services */
	int concurrency; /* most calls in flight */
	unsigned seed;
	const char *only_tenant;  /* NULL: all */
	const char *only_service; /* NULL: all */
	int direct;	   /* call the backend servers, bypassing the entries */
	const char *entry; /* call only this entry; NULL: any */
	int entries;	 /* use only the first N entries of the list; 0: all */
	int patient_pct; /* share of calls with a long time limit */
};

int load_main(const struct deploy *d, const struct load_args *a);

#endif
