/*
 * Settings of an entry instance, from an INI file whose path is given on the
 * command line or in the environment.
 */
#ifndef MP_OPTIONS_INSTANCE_H
#define MP_OPTIONS_INSTANCE_H

#include <glib.h>

#include "core/client_limits.h"
#include "core/mechanisms.h"
#include "misc/buf.h"
#include "options/settings.h"

/* Guarantees to the users, for all instances together. */
struct bounds {
	double drain_ms;       /* until a draining server gets no requests */
	double config_ms;      /* until a version is applied everywhere */
	double grace_s;	       /* SIGTERM to SIGKILL */
	double retry_ratio;    /* extra sends per request */
	double retry_slack;    /* extra sends per window, added to the ratio */
	double retry_window_s; /* length of the window */
	double directory_keep_s; /* how long callers may cache an answer */
	double questions_per_s;	 /* probes to one backend server */
	/* Requests per second to a cold server: the rate times the factor, plus
	   the slack. */
	double slow_start_factor, slow_start_slack;
	/*
	 * Requests of a workspace that are executed in a window: what its quota
	 * allows in it times the factor, plus the slack.
	 */
	double quota_window_s, quota_overshoot, quota_slack;
};

/* What clients may hold, see http/pool.h and core/client_limits.h. */
struct client_limits {
	double transfer_time_s; /* for taking a reply, in addition to the rate */
	double transfer_min_kb_s; /* 0: no limit of the time */
	double header_fields;	  /* header lines of a request */
	double file_fds; /* descriptors that are not used for sockets */
};

struct instance_settings {
	/* [instance] */
	char *name, *dc, *region, *ip;
	char *seeds; /* HOST:PORT, separated by commas; only the hosts count */
	bool first_start; /* of the whole system: startup may take longer */
	double memory_mb; /* of the machine; 0: unknown */
	double max_fds;	  /* descriptors of the process; 0: as it finds */
	bool via;	  /* adds a Via header with name and lifetime */
	/* Replaces the hosts of servers; NULL: as listed. Local only. */
	char *server_host;
	/* [listen] */
	char *callers, *ready, *directory, *peers, *metrics;
	char *own;     /* native API; NULL: not served */
	char *tunnels; /* of peers to servers; NULL: none either way */
	/* [platform] */
	char *store;
	double heartbeat_ms; /* interval of backend servers' records */
	/* [log] */
	char *log_level; /* info or notice */
	struct bounds bounds;
	/* [clients] */
	struct client_limits clients;
	/* [policy] */
	struct mechanisms policy;
};

/* Reloads the settings of a running process. */
struct settings_source {
	/* Logs errors. Returns 0 or a negative errno. */
	int (*load)(void *priv, struct instance_settings *out);
	void *priv;
};

struct deploy;

int instance_settings_from_deploy(const struct deploy *d, const char *name,
				  struct instance_settings *out);
void instance_settings_diff(const struct instance_settings *a,
			    const struct instance_settings *b, struct buf *out);
GArray *instance_settings_seeds(const struct instance_settings *s);
struct socket_limits
instance_settings_sockets(const struct instance_settings *s);
bool instance_settings_is_seed(const struct instance_settings *s);
int instance_settings_load(const char *path, struct instance_settings *out);
void instance_settings_apply_reload(struct instance_settings *s,
				    const struct instance_settings *fresh);

#endif
