/* The entry role: an entry instance from start to graceful stop. */
#ifndef MP_ENTRY_RUN_H
#define MP_ENTRY_RUN_H

#include "options/deploy.h"

int entry_run(const struct deploy *d, const char *name);

#endif
