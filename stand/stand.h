/*
 * Stand-ins for what the system serves and relies on, written by this
 * project from the published behaviour: the platform's log and member list
 * (stand/platform.c) and a backend worker (stand/worker.c). Tests and the
 * local run use them in place of the real things.
 */
#ifndef MP_STAND_STAND_H
#define MP_STAND_STAND_H

#include "options/deploy.h"

int stand_platform_main(const struct deploy *d);
int stand_worker_main(const struct deploy *d, const char *service, int index,
		      unsigned seed);

#endif
