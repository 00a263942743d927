/*
 * A local deployment as described by its settings file: the platform stand-in,
 * the settings shared by all entry instances, each service with its workers,
 * and each entry instance with its address and data centre. All roles read the
 * same file.
 */
#ifndef MP_OPTIONS_DEPLOY_H
#define MP_OPTIONS_DEPLOY_H

#include <stdbool.h>

#include <glib.h>

struct platform_opts {
	char *listen;
	char *dc;
	int append_limit_per_s;
	int member_ttl_ms;
};

struct entry_shared_opts {
	char *platform;
	int answer_ttl_s;
	char *policy;
	int deadline_ms;
	int retry_budget_pct;
	int grace_s;
	char *log_level; /* of entries: info or notice */
	int memory_mb;	 /* of the machine of each entry; 0: unknown */
};

struct service_opts {
	char *name;
	char *tenant;
	int workers;
	int slots;
	int connections;
	int base_port;
	int proxy_offset; /* added to advertised ports; 0: no proxy */
	int work_ms;
	int cold_per_s; /* requests that a cold server tolerates; 0: any */
	bool protected_action;
	bool hangs;	  /* never responds when full, instead of refusing */
	char *fatal_word; /* in a path or body: crashes the server; "": none */
	char **dcs;
};

struct entry_opts {
	char *name;
	char *listen;
	char *dc;
	char *server_host; /* host of its own proxies to servers; "": none */
};

struct deploy {
	struct platform_opts platform;
	struct entry_shared_opts entry;
	GPtrArray *services; /* struct service_opts * */
	GPtrArray *entries;  /* struct entry_opts * */
};

#include "misc/findings.h"

void deploy_read(const char *path, struct deploy *d, struct findings *f);
int deploy_load(const char *path, struct deploy *d);
const struct service_opts *deploy_service(const struct deploy *d,
					  const char *name);
const struct entry_opts *deploy_entry(const struct deploy *d, const char *name);
int deploy_worker_advertised_addr(const struct service_opts *svc, int index,
				  char *buf, size_t len);
int deploy_worker_proxy_addr(const struct service_opts *svc, int index,
			     const char *host, char *buf, size_t len);
int deploy_worker_addr(const struct service_opts *svc, int index, char *buf,
		       size_t len);

#endif
