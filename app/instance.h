/* Runs an entry instance and its two threads until shutdown. */
#ifndef MP_APP_INSTANCE_H
#define MP_APP_INSTANCE_H

#include "options/deploy.h"
#include "options/instance.h"

int instance_run(const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct deploy *conf_deploy,
		 const struct deploy *api_deploy);

#endif
