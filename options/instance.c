#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/resource.h>

#include "http/socket.h"
#include "options/deploy.h"
#include "options/instance.h"

#define FIELD(f) offsetof(struct instance_settings, f)

static const struct opt_def instance_opts[] = {
	{"name", OPT_STR, FIELD(name), NULL, 0, 0},
	{"dc", OPT_STR, FIELD(dc), NULL, 0, 0},
	{"region", OPT_STR, FIELD(region), "", 0, 0},
	{"ip", OPT_STR, FIELD(ip), NULL, 0, 0},
	{"seeds", OPT_STR, FIELD(seeds), "", 0, 0},
	{"first_start", OPT_BOOL, FIELD(first_start), "false", 0, 0},
	{"memory_mb", OPT_REAL, FIELD(memory_mb), "0", 0, 0},
	{"max_fds", OPT_REAL, FIELD(max_fds), "0", 0, 0},
	OPT_END,
};

static const struct opt_def clients_opts[] = {
	{"transfer_time_s", OPT_REAL, FIELD(clients.transfer_time_s), "30", 0,
	 0},
	{"transfer_min_kb_s", OPT_REAL, FIELD(clients.transfer_min_kb_s), "4",
	 0, 0},
	{"header_fields", OPT_REAL, FIELD(clients.header_fields), "500", 0, 0},
	{"file_fds", OPT_REAL, FIELD(clients.file_fds), "200", 0, 0},
	OPT_END,
};

static const struct opt_def listen_opts[] = {
	{"callers", OPT_ADDR, FIELD(callers), NULL, 0, 0},
	{"ready", OPT_ADDR, FIELD(ready), NULL, 0, 0},
	{"directory", OPT_ADDR, FIELD(directory), NULL, 0, 0},
	{"peers", OPT_ADDR, FIELD(peers), NULL, 0, 0},
	{"metrics", OPT_ADDR, FIELD(metrics), NULL, 0, 0},
	{"tunnels", OPT_ADDR, FIELD(tunnels), "", 0, 0},
	{"own", OPT_ADDR, FIELD(own), "", 0, 0},
	OPT_END,
};

static const struct opt_def platform_opts[] = {
	{"store", OPT_ADDR, FIELD(store), NULL, 0, 0},
	{"heartbeat_ms", OPT_REAL, FIELD(heartbeat_ms), "1500", 0, 0},
	OPT_END,
};

static const struct opt_def log_opts[] = {
	{"level", OPT_STR, FIELD(log_level), "info", 0, 0},
	OPT_END,
};

/* The defaults are more conservative than the platform's usual values. */
static const struct opt_def bounds_opts[] = {
	{"drain_ms", OPT_REAL, FIELD(bounds.drain_ms), "2000", 0, 0},
	{"config_ms", OPT_REAL, FIELD(bounds.config_ms), "2000", 0, 0},
	{"grace_s", OPT_REAL, FIELD(bounds.grace_s), "6", 0, 0},
	{"retry_ratio", OPT_REAL, FIELD(bounds.retry_ratio), "0.1", 0, 0},
	{"retry_slack", OPT_REAL, FIELD(bounds.retry_slack), "10", 0, 0},
	{"retry_window_s", OPT_REAL, FIELD(bounds.retry_window_s), "10", 0, 0},
	{"directory_keep_s", OPT_REAL, FIELD(bounds.directory_keep_s), "2", 0,
	 0},
	{"questions_per_s", OPT_REAL, FIELD(bounds.questions_per_s), "10", 0,
	 0},
	{"slow_start_factor", OPT_REAL, FIELD(bounds.slow_start_factor), "1", 0,
	 0},
	{"slow_start_slack", OPT_REAL, FIELD(bounds.slow_start_slack), "0", 0,
	 0},
	{"quota_window_s", OPT_REAL, FIELD(bounds.quota_window_s), "5", 0, 0},
	{"quota_overshoot", OPT_REAL, FIELD(bounds.quota_overshoot), "0", 0, 0},
	{"quota_slack", OPT_REAL, FIELD(bounds.quota_slack), "0", 0, 0},
	OPT_END,
};

/* Mechanisms that can be disabled, see core/mechanisms.h. */
static const struct opt_def policy_opts[] = {
	{"ask", OPT_BOOL, FIELD(policy.ask), "true", 0, 0},
	{"learn", OPT_BOOL, FIELD(policy.learn), "true", 0, 0},
	{"shortage", OPT_BOOL, FIELD(policy.shortage), "true", 0, 0},
	{"wait", OPT_BOOL, FIELD(policy.wait), "true", 0, 0},
	{"quick_only", OPT_BOOL, FIELD(policy.quick_only), "true", 0, 0},
	{"late_yield", OPT_BOOL, FIELD(policy.late_yield), "true", 0, 0},
	{"second", OPT_BOOL, FIELD(policy.second), "true", 0, 0},
	{"rescue", OPT_BOOL, FIELD(policy.rescue), "true", 0, 0},
	{"outliers", OPT_BOOL, FIELD(policy.outliers), "true", 0, 0},
	{"idle_first", OPT_BOOL, FIELD(policy.idle_first), "true", 0, 0},
	{"own_dc", OPT_BOOL, FIELD(policy.own_dc), "true", 0, 0},
	{"spill", OPT_BOOL, FIELD(policy.spill), "false", 0, 0},
	{"reserve", OPT_BOOL, FIELD(policy.reserve), "true", 0, 0},
	{"spent", OPT_BOOL, FIELD(policy.spent), "true", 0, 0},
	{"return_time", OPT_BOOL, FIELD(policy.return_time), "true", 0, 0},
	{"quarantine", OPT_BOOL, FIELD(policy.quarantine), "true", 0, 0},
	{"tunnel", OPT_BOOL, FIELD(policy.tunnel), "true", 0, 0},
	OPT_END,
};

/*
 * instance_settings_load() reads and validates a settings file. Every error is
 * logged with its location. Returns 0 or -EINVAL.
 */
int instance_settings_load(const char *path, struct instance_settings *out)
{
	struct findings f;
	struct settings s;
	int rc;

	memset(out, 0, sizeof(*out));
	findings_init(&f);
	if (!path)
		findings_add(&f, "(settings)", 0, NULL,
			     "no settings file: use --settings or "
			     "MIMOSAPITCH_CONFIG");
	else if (!settings_open(&s, path, NULL, &f)) {
		settings_read_group(&s, "instance", instance_opts, out, &f);
		settings_read_group(&s, "listen", listen_opts, out, &f);
		settings_read_group(&s, "platform", platform_opts, out, &f);
		settings_read_group(&s, "bounds", bounds_opts, out, &f);
		settings_read_group(&s, "log", log_opts, out, &f);
		settings_read_group(&s, "clients", clients_opts, out, &f);
		settings_read_group(&s, "policy", policy_opts, out, &f);
		if (strcmp(out->log_level, "info") &&
		    strcmp(out->log_level, "notice"))
			findings_add(&f, path,
				     settings_find_line(s.text, "log", "level"),
				     "level", "'%s' is not info or notice",
				     out->log_level);
		settings_close(&s);
	}
	rc = findings_report(&f);
	findings_clear(&f);
	return rc;
}

/*
 * instance_settings_seeds() returns the addresses of the seeds without this
 * instance's own. All instances use the same port for peers. Returns an array
 * of struct sockaddr_in, to be unreffed.
 */
GArray *instance_settings_seeds(const struct instance_settings *s)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	char **words = g_strsplit(s->seeds, ",", -1);
	struct sockaddr_in own, seed;
	char host[64];
	int port;

	if (socket_parse_addr(s->peers, &own))
		memset(&own, 0, sizeof(own));
	for (char **w = words; *w; w++) {
		if (addr_split(g_strstrip(*w), host, sizeof(host), &port))
			continue;
		seed = own;
		if (inet_pton(AF_INET, host, &seed.sin_addr) == 1 &&
		    seed.sin_addr.s_addr != own.sin_addr.s_addr)
			g_array_append_val(out, seed);
	}
	g_strfreev(words);
	return out;
}

/*
 * instance_settings_sockets() divides the sockets that the process may open: by
 * its settings, or fewer if the system allows fewer.
 */
struct socket_limits
instance_settings_sockets(const struct instance_settings *s)
{
	double fds = s->max_fds;
	struct rlimit files;

	if (!getrlimit(RLIMIT_NOFILE, &files) &&
	    files.rlim_cur != RLIM_INFINITY &&
	    (fds == 0 || (double)files.rlim_cur < fds))
		fds = (double)files.rlim_cur;
	return fds > 0 ? socket_limits_divide(fds, s->clients.file_fds)
		       : (struct socket_limits){0};
}

/* instance_settings_is_seed() returns whether this instance is a seed. */
bool instance_settings_is_seed(const struct instance_settings *s)
{
	char **words = g_strsplit(s->seeds, ",", -1);
	char host[64];
	bool found = false;
	int port;

	for (char **w = words; *w; w++)
		found = found || (!addr_split(g_strstrip(*w), host,
					      sizeof(host), &port) &&
				  !strcmp(host, s->ip));
	g_strfreev(words);
	return found;
}

/* Appends a string that differs. */
static void diff_text(const char *name, const char *a, const char *b,
		      struct buf *out)
{
	if (g_strcmp0(a, b))
		buf_printf(out, " %s=%s->%s", name, a ? a : "-", b ? b : "-");
}

/* Appends a boolean that differs. */
static void diff_bool(const char *name, bool a, bool b, struct buf *out)
{
	if (a != b)
		buf_printf(out, " %s=%s->%s", name, a ? "true" : "false",
			   b ? "true" : "false");
}

/* Appends the options of a table whose values differ. */
static void diff_group(const struct opt_def *opts,
		       const struct instance_settings *a,
		       const struct instance_settings *b, struct buf *out)
{
	for (const struct opt_def *o = opts; o->key; o++) {
		const void *x = (const char *)a + o->offset;
		const void *y = (const char *)b + o->offset;

		if (o->type == OPT_BOOL)
			diff_bool(o->key, *(const bool *)x, *(const bool *)y,
				  out);
		else if (o->type != OPT_REAL)
			diff_text(o->key, *(char *const *)x, *(char *const *)y,
				  out);
		else if (*(const double *)x != *(const double *)y)
			buf_printf(out, " %s=%g->%g", o->key,
				   *(const double *)x, *(const double *)y);
	}
}

/* instance_settings_diff() appends " key=old->new" for each difference. */
void instance_settings_diff(const struct instance_settings *a,
			    const struct instance_settings *b, struct buf *out)
{
	diff_group(instance_opts, a, b, out);
	diff_group(listen_opts, a, b, out);
	diff_group(platform_opts, a, b, out);
	diff_group(log_opts, a, b, out);
	diff_group(bounds_opts, a, b, out);
	diff_group(clients_opts, a, b, out);
	diff_group(policy_opts, a, b, out);
}

/*
 * instance_settings_apply_reload() applies the settings that may change in a
 * running process: the log level and the bounds, except the retry budget's
 * window, since the budget counts in fractions of it. All others need a
 * restart.
 */
void instance_settings_apply_reload(struct instance_settings *s,
				    const struct instance_settings *fresh)
{
	double window_s = s->bounds.retry_window_s;

	s->bounds = fresh->bounds;
	s->bounds.retry_window_s = window_s;
	s->log_level = fresh->log_level;
}

/* Port offsets of a local instance from its native API's port. */
enum {
	PORT_OFFSET_CALLERS = 1000,
	PORT_OFFSET_READY = 2000,
	PORT_OFFSET_DIRECTORY = 3000,
	PORT_OFFSET_METRICS = 4000,
	PORT_OFFSET_PEERS = 5000,
	PORT_OFFSET_TUNNELS = 6000,
};

/*
 * instance_settings_from_deploy() builds the settings of an instance of a local
 * deployment. The native API listens on the address from the deployment, the
 * other servers at offsets from its port. Returns 0 or -ENOENT.
 */
int instance_settings_from_deploy(const struct deploy *d, const char *name,
				  struct instance_settings *out)
{
	const struct entry_opts *en = deploy_entry(d, name);
	char host[64];
	int port;

	memset(out, 0, sizeof(*out));
	if (!en || addr_split(en->listen, host, sizeof(host), &port))
		return -ENOENT;
	out->name = g_strdup(name);
	out->via = true;
	out->dc = g_strdup(en->dc);
	out->region = g_strdup("");
	out->ip = g_strdup(host);
	out->seeds = g_strdup("");
	out->server_host = *en->server_host ? g_strdup(en->server_host) : NULL;
	out->own = g_strdup(en->listen);
	out->callers =
		g_strdup_printf("%s:%d", host, port + PORT_OFFSET_CALLERS);
	out->ready = g_strdup_printf("%s:%d", host, port + PORT_OFFSET_READY);
	out->directory =
		g_strdup_printf("%s:%d", host, port + PORT_OFFSET_DIRECTORY);
	out->metrics =
		g_strdup_printf("%s:%d", host, port + PORT_OFFSET_METRICS);
	out->peers = g_strdup_printf("%s:%d", host, port + PORT_OFFSET_PEERS);
	out->tunnels =
		g_strdup_printf("%s:%d", host, port + PORT_OFFSET_TUNNELS);
	out->store = g_strdup(d->entry.platform);
	out->heartbeat_ms = 1500;
	out->memory_mb = d->entry.memory_mb;
	out->log_level = g_strdup(d->entry.log_level);
	out->policy = mechanisms;
	out->clients = (struct client_limits){.transfer_time_s = 30,
					      .transfer_min_kb_s = 4,
					      .header_fields = 500,
					      .file_fds = 200};
	/*
	 * As the platform sets them today, except the probe rate: stand-ins
	 * serve a request in milliseconds and get many more of them.
	 */
	out->bounds = (struct bounds){
		.drain_ms = 2000,
		.config_ms = 2000,
		.grace_s = d->entry.grace_s,
		.retry_ratio = d->entry.retry_budget_pct / 100.0,
		.retry_slack = 50,
		.retry_window_s = 10,
		.directory_keep_s = d->entry.answer_ttl_s,
		.questions_per_s = 200,
		.slow_start_factor = 1.5,
		.slow_start_slack = 8,
		.quota_window_s = 5,
		.quota_overshoot = 0.1,
		.quota_slack = 20,
	};
	return 0;
}
