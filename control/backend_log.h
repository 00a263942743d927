/* Log lines on the list of backend servers. */
#ifndef MP_CONTROL_BACKEND_LOG_H
#define MP_CONTROL_BACKEND_LOG_H

#include "control/backend_list.h"

void backend_log_change(const struct backend_change *ch);
void backend_log_list(const struct backend_list *l);

#endif
