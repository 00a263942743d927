/* The command "ctl workspaces". */
#ifndef MP_TOOLS_CTL_WORKSPACES_H
#define MP_TOOLS_CTL_WORKSPACES_H

#include "options/deploy.h"

int ctl_print_workspaces(const struct deploy *d);

#endif
