/* One entry instance: its two threads from start to planned stop. */
#ifndef MP_APP_INSTANCE_H
#define MP_APP_INSTANCE_H

#include "options/deploy.h"
#include "options/instance.h"

int instance_run(const struct instance_settings *s,
		 const struct settings_source *settings_source,
		 const struct deploy *patched, const struct deploy *own);

#endif
