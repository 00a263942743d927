/*
 * Settings of one entry instance: an INI file named by the environment or
 * the command line. The options stand beside the struct that they fill.
 */
#ifndef MP_OPTIONS_INSTANCE_H
#define MP_OPTIONS_INSTANCE_H

#include "core/mechanisms.h"
#include "misc/buf.h"
#include "options/settings.h"

/* What the users are promised of the system as a whole. */
struct bounds {
	double drain_ms;	 /* until a leaving server gets no new work */
	double config_ms;	 /* until a version is in force everywhere */
	double grace_s;		 /* SIGTERM to SIGKILL */
	double retry_ratio;	 /* extra sends a request, of all instances */
	double retry_slack;	 /* extra sends a window beside the ratio */
	double retry_window_s;	 /* the window of both */
	double directory_keep_s; /* longest that callers keep an answer */
	double questions_per_s;	 /* to one server, of all instances */
};

struct instance_settings {
	/* [instance] */
	char *name, *dc, *region, *ip;
	bool first_start; /* the whole system starts: no hurry yet */
	bool via;	  /* requests to servers name it and its lifetime */
	/* [listen] */
	char *callers, *ready, *directory, *peers, *metrics;
	char *own; /* the product's own interface; NULL: not served */
	/* [platform] */
	char *store;
	double heartbeat_ms; /* backend servers write their entries so often */
	/* [log] */
	char *log_level; /* info or notice */
	struct bounds bounds;
	/* [policy] */
	struct mechanisms policy;
};

/* Where the settings of a running process are read anew. */
struct settings_source {
	/* Logs what is wrong; returns 0 or a negative errno. */
	int (*load)(void *priv, struct instance_settings *out);
	void *priv;
};

struct deploy;

int instance_settings_from_deploy(const struct deploy *d, const char *name,
				  struct instance_settings *out);
void instance_settings_diff(const struct instance_settings *a,
			    const struct instance_settings *b, struct buf *out);
int instance_settings_load(const char *path, struct instance_settings *out);
void instance_settings_apply_reload(struct instance_settings *s,
				    const struct instance_settings *fresh);

#endif
