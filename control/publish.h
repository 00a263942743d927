/*
 * Publishes state of the control thread to the traffic thread and the metrics.
 */
#ifndef MP_CONTROL_PUBLISH_H
#define MP_CONTROL_PUBLISH_H

#include "control/control.h"

void control_publish_age(struct control *c);
void control_publish_usage(struct control *c);
void control_publish_peers(struct control *c, int64_t now_ms);

#endif
