#include <errno.h>
#include <string.h>

#include "options/instance.h"

#define FIELD(f) offsetof(struct instance_settings, f)

static const struct opt_def instance_opts[] = {
	{"name", OPT_STR, FIELD(name), NULL, 0, 0},
	{"dc", OPT_STR, FIELD(dc), NULL, 0, 0},
	{"region", OPT_STR, FIELD(region), "", 0, 0},
	{"ip", OPT_STR, FIELD(ip), NULL, 0, 0},
	OPT_END,
};

static const struct opt_def listen_opts[] = {
	{"callers", OPT_ADDR, FIELD(callers), NULL, 0, 0},
	{"ready", OPT_ADDR, FIELD(ready), NULL, 0, 0},
	{"directory", OPT_ADDR, FIELD(directory), NULL, 0, 0},
	{"peers", OPT_ADDR, FIELD(peers), NULL, 0, 0},
	{"metrics", OPT_ADDR, FIELD(metrics), NULL, 0, 0},
	OPT_END,
};

struct platform_group {
	char *store, *bounds;
};

static const struct opt_def platform_opts[] = {
	{"store", OPT_ADDR, offsetof(struct platform_group, store), NULL, 0, 0},
	{"bounds", OPT_STR, offsetof(struct platform_group, bounds), "", 0, 0},
	OPT_END,
};

/*
 * instance_settings_load() reads and checks a settings file. Every problem is
 * logged with its place. Returns 0 or -EINVAL.
 */
int instance_settings_load(const char *path, struct instance_settings *out)
{
	struct platform_group platform = {0};
	struct findings f;
	struct settings s;
	int rc;

	memset(out, 0, sizeof(*out));
	findings_init(&f);
	if (!path)
		findings_add(&f, "(settings)", 0, NULL,
			     "no file named: use --settings or "
			     "MIMOSAPITCH_CONFIG");
	else if (!settings_open(&s, path, NULL, &f)) {
		settings_read_group(&s, "instance", instance_opts, out, &f);
		settings_read_group(&s, "listen", listen_opts, out, &f);
		settings_read_group(&s, "platform", platform_opts, &platform,
				    &f);
		out->store = platform.store;
		bounds_read(platform.bounds ? platform.bounds : "",
			    &out->bounds, path, &f);
		g_free(platform.bounds);
		settings_close(&s);
	}
	rc = findings_report(&f);
	findings_clear(&f);
	return rc;
}
