/* The command "ctl evacuations". */
#ifndef MP_TOOLS_CTL_EVACUATIONS_H
#define MP_TOOLS_CTL_EVACUATIONS_H

#include "options/deploy.h"

int ctl_print_evacuations(const struct deploy *d);

#endif
