/*
 * Settings of one entry instance: an INI file named by the environment or
 * the command line. The options stand beside the struct that they fill.
 */
#ifndef MP_OPTIONS_INSTANCE_H
#define MP_OPTIONS_INSTANCE_H

#include "options/settings.h"
#include "platform/bounds.h"

struct instance_settings {
	/* [instance] */
	char *name, *dc, *region, *ip;
	/* [listen] */
	char *callers, *ready, *directory, *peers, *metrics;
	/* [platform] */
	char *store;
	struct bounds bounds;
};

int instance_settings_load(const char *path, struct instance_settings *out);

#endif
